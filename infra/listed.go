package infra

import "time"

// hostStartTimeout is how long the host of a machine may take from when the machine is listed
// with it until the owner of the pool reaches it: one heartbeat of 1.5 s, one read of the host
// records, every 0.3 s, and two seconds' grace.
const hostStartTimeout = 3800 * time.Millisecond

// servingStartTimeout is how long serving tasks that no host can take wait for a host that the owner
// of the pool doesn't reach: one heartbeat and one read of the host records, without grace.
const servingStartTimeout = 1800 * time.Millisecond

// recordsTimeout is the same while the owner of the pool reports no host at all: a new owner may still
// be reading the host records, over a slow link.
const recordsTimeout = 10 * time.Second

// listedHost is a host with which the cloud lists a machine that is up.
type listedHost struct {
	pool string
	host string
	// epoch is that of the pool's owner, or 0 if none has reported. A new owner may need a moment to
	// learn which hosts there are.
	epoch int64
	// since is when this leader first saw the machine with this host, in this pool and epoch.
	since time.Duration
	// usableAt is when the host was last reported as usable, 0 if never.
	usableAt time.Duration
}

// isSame reports whether two are the same host, in the same pool and epoch.
func (l listedHost) isSame(other listedHost) bool {
	return l.pool == other.pool && l.host == other.host && l.epoch == other.epoch
}

// recordListed updates t.listed.
func (t *term) recordListed() {
	listed := make(map[string]listedHost, len(t.machines))
	for _, m := range t.machines {
		if m.State == Up {
			listed[m.Name] = t.nextListed(m)
		}
	}
	t.listed = listed
}

// nextListed returns the entry of a machine that is up.
func (t *term) nextListed(m Machine) listedHost {
	now := t.options.Clock()
	previous, known := t.listed[m.Name]
	current := listedHost{pool: m.Pool, host: m.Host, epoch: previous.epoch, since: now}
	usable := false
	if p := t.pools[m.Pool]; p != nil {
		current.epoch = p.report.Epoch
		usable = p.hosts[m.Host].Usable
	}
	if known && current.isSame(previous) {
		current.since, current.usableAt = previous.since, previous.usableAt
	}
	if usable {
		current.usableAt = now
	}
	return current
}

// mayBeStarting reports whether the host of a machine that is up, and that the pool's owner has not
// reached, may still be starting. Later it counts as gone, for example because it is cut off.
func (t *term) mayBeStarting(machine string) bool {
	timeout := hostStartTimeout
	if p := t.pools[t.listed[machine].pool]; p != nil && len(p.report.Hosts) == 0 {
		timeout = recordsTimeout
	}
	return t.options.Clock()-t.listed[machine].since < timeout
}

// isOverdue reports whether serving tasks wait in vain for the host of a machine that is up, and that
// the pool's owner doesn't reach, even if it may be starting or recover. An owner that knows no host
// may still be reading the records.
func (t *term) isOverdue(machine string) bool {
	listed := t.listed[machine]
	p := t.pools[listed.pool]
	if p == nil || p.report.Unplaced == 0 || len(p.report.Hosts) == 0 {
		return false
	}
	return t.options.Clock()-max(listed.since, listed.usableAt) >= servingStartTimeout
}

// mayRecover reports whether a host that is not usable may soon be: it is starting, or was
// usable a moment ago and may only have missed a heartbeat.
func (t *term) mayRecover(machine string) bool {
	return t.mayBeStarting(machine) || t.options.Clock()-t.listed[machine].usableAt < hostStartTimeout
}

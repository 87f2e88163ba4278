package infra

import "time"

// hostStartTimeout is how long the host of a machine may take from when the machine is listed
// with it until the owner of the pool reports it: one heartbeat of 1.5 s, one read of the host
// records, every 0.3 s, and two seconds' grace.
const hostStartTimeout = 3800 * time.Millisecond

// listedHost is a host with which the cloud lists a machine that is up.
type listedHost struct {
	pool string
	host string
	// epoch is that of the pool's owner, or 0 if none has reported. A new owner may need a moment to
	// learn which hosts there are.
	epoch int64
	// since is when this leader first saw the machine with this host, in this pool and epoch.
	since time.Duration
}

// recordListed updates t.listed.
func (t *term) recordListed() {
	listed := make(map[string]listedHost, len(t.machines))
	for _, m := range t.machines {
		if m.State != Up {
			continue
		}
		previous, known := t.listed[m.Name]
		current := listedHost{pool: m.Pool, host: m.Host, epoch: previous.epoch, since: previous.since}
		if p := t.pools[m.Pool]; p != nil {
			current.epoch = p.report.Epoch
		}
		if !known || current != previous {
			current.since = t.options.Clock()
		}
		listed[m.Name] = current
	}
	t.listed = listed
}

// mayBeStarting reports whether the host of a machine that is up, which the pool's owner does not
// report, may still be starting. Later it counts as gone, for example because it is cut off.
func (t *term) mayBeStarting(machine string) bool {
	return t.options.Clock()-t.listed[machine].since < hostStartTimeout
}

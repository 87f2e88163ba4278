package sched

import (
	"time"

	"rattanpath/lease"
	"rattanpath/pace"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// host is the state of a host as this cell knows it.
type host struct {
	id    string
	info  *pool.Host
	clock lease.Clock
	runs  map[runKey]*run
	// inPool reports whether the pool lists the host.
	inPool bool
	// synced is set once the host has reported its runs to this epoch.
	synced bool
	// reportedAt is the reading of the host's clock in the newest report that was
	// processed, 0 if there is none from the current incarnation.
	reportedAt time.Duration
	// answeredAt is the latest reading of the host's clock in a report or a confirmation
	// of a start, 0 if there is none from the current incarnation.
	answeredAt time.Duration
	// repliedAt is the local time of the last reply to a heartbeat, 0 if there is none.
	repliedAt time.Duration
	// missedHeartbeats counts the failed heartbeats since the last successful
	// one.
	missedHeartbeats int
	// incarnation is that of the last reply, 0 if unknown. restarts counts its
	// changes in this epoch, and the times that the host was forgotten in between;
	// restartedAt is the local time of the last change.
	incarnation int64
	restarts    int64
	restartedAt time.Duration
	// outageAt is when the host was last found to have been down.
	outageAt time.Time
	// retiredIncarnation is the incarnation that the machine controller retired
	// at retiredAt; 0 means none.
	retiredIncarnation int64
	retiredAt          time.Time
	// retiredFor is why the runs of the retired incarnation are lost.
	retiredFor lossReason
	// ackUntil is the local time until which ends that the last report of the current
	// incarnation listed may be acknowledged.
	ackUntil time.Duration
	// ackValid is set once the current incarnation has replied since the host was
	// last idle or unresponsive. Until then, acknowledgedSequence may belong to an
	// earlier incarnation.
	ackValid bool
	// acknowledgedSequence is the sequence number of the last finished run that is
	// persisted, and reportedSequence that of the last one that the host reported.
	acknowledgedSequence int64
	reportedSequence     int64
	// oldestListed is the sequence number of the oldest end that the last report of the current
	// incarnation listed, 0 if the host has forgotten all that had come by then.
	oldestListed int64
	// backoffUntil is when runs may be assigned again after the host refused a
	// command.
	backoffUntil time.Time
	// cordonedUntil is until when the host gets no new runs, and cordonedSince
	// when that began. If evict is set, its runs are evicted.
	cordonedUntil time.Time
	cordonedSince time.Time
	evict         bool
	history       runHistory
	// share is the CPU share of best-effort tasks, in percent of full speed,
	// since pacedAt.
	share   int
	pacedAt time.Time
	// imageShares holds the shares of images where something is known of the interference
	// between them and the serving tasks, and paceUrgent is what pace.IsUrgent returned when
	// the shares were last chosen.
	imageShares map[string]int
	paceUrgent  bool

	// startQueue holds the start commands that wait for one of startSenders senders.
	startQueue   []queuedStart
	startSenders int
	// queuedMembers counts the members of gangs in startQueue.
	queuedMembers int

	wake        chan struct{}
	loopRunning bool
}

// restartSettleTime is how long after a restart a host may well crash again by itself.
const restartSettleTime = 5 * time.Second

// host returns the state of a host, which is created if missing.
func (c *Cell) host(id string) *host {
	h := c.hosts[id]
	if h == nil {
		h = &host{id: id, runs: make(map[runKey]*run), wake: make(chan struct{}, 1), share: pace.FullShare}
		_, forgotten := c.forgotten[id]
		c.inheritLease(h, forgotten)
		h.restarts = c.recallRestarts(id)
		c.hosts[id] = h
	}
	return h
}

// currentIncarnation returns the current incarnation of the host, or 1 if it
// isn't known.
func (h *host) currentIncarnation() int64 {
	switch {
	case h.incarnation != 0:
		return h.incarnation
	case h.info != nil && h.info.Incarnation != 0:
		return h.info.Incarnation
	default:
		return 1
	}
}

// isKnown reports whether the host has a record or has answered. Those of a previous owner may
// have done neither.
func (h *host) isKnown() bool { return h.info != nil || h.incarnation != 0 }

// retirementPeriod is how long a retired incarnation is not used. A host that
// is still listed and replies after that has not left the pool: the maintenance
// of its machine was already over.
const retirementPeriod = 6 * time.Second

// isRetired reports whether the machine controller has retired the current
// incarnation of the host.
func (h *host) isRetired() bool {
	return h.retiredIncarnation != 0 && h.retiredIncarnation == h.currentIncarnation() && time.Since(h.retiredAt) < retirementPeriod
}

// usable reports whether runs can be assigned to the host.
func (h *host) usable() bool { return h.obstacle() == "" }

// The reasons why no runs can be assigned to a host, as they are shown to operators.
const (
	obstacleUnlisted = "its entry is gone"
	obstacleDraining = "draining"
	obstacleSilent   = "does not answer"
	obstacleUnsynced = "has not answered this owner yet"
	obstacleRetired  = "its machine has left the pool"
	obstacleCordoned = "cordoned"
	obstacleRefused  = "refused an order a moment ago"
	// staleRecord means that the host may have shrunk since its record was written.
	staleRecord = "its entry is out of date"
)

// obstacle returns the first reason why no runs can be assigned to the host, or "".
func (h *host) obstacle() string {
	switch {
	case !h.inPool:
		return obstacleUnlisted
	case h.info.Draining:
		return obstacleDraining
	case h.missedHeartbeats > 0:
		return obstacleSilent
	case !h.synced || !h.clock.Synced():
		return obstacleUnsynced
	case h.isRetired():
		return obstacleRetired
	default:
		return ""
	}
}

// updateHost updates a host with the pool's information.
func (c *Cell) updateHost(id string, info *pool.Host) {
	h := c.host(id)
	if h.info != nil && h.info.Incarnation != 0 && info.Incarnation != 0 && info.Incarnation != h.info.Incarnation && h.incarnation != info.Incarnation {
		// The next heartbeat reports which runs survived.
		h.synced = false
		wake(h.wake)
	}
	c.observeMachine(h, info)
	h.info = info
	h.inPool = true
	c.startHostLoop(h)
}

func (c *Cell) startHostLoop(h *host) {
	if h.loopRunning || h.info == nil || c.ctx == nil {
		return
	}
	h.loopRunning = true
	loop := &hostLoop{cell: c, host: h}
	c.spawn(loop.run)
}

// logUnlisted logs that the pool no longer lists a host, if the host has runs. That of a machine
// that is moved has none as a rule.
func (c *Cell) logUnlisted(h *host) {
	if len(h.runs) == 0 {
		return
	}
	c.logger.Info("host with runs left the pool", "host", h.id, "runs", len(h.runs), "serving", h.servingRuns(), "missed", h.missedHeartbeats, "sinceRetired", h.sinceRetired().Round(time.Millisecond))
}

// sinceRetired returns how long ago the machine controller retired the current incarnation of the
// host, 0 if it didn't.
func (h *host) sinceRetired() time.Duration {
	if h.retiredIncarnation == 0 || h.retiredIncarnation != h.currentIncarnation() {
		return 0
	}
	return time.Since(h.retiredAt)
}

// servingRuns returns the number of runs of serving tasks on the host.
func (h *host) servingRuns() int {
	count := 0
	for _, r := range h.runs {
		if r.serves() {
			count++
		}
	}
	return count
}

// used returns the resources that the runs of a host occupy.
func (h *host) used() tasks.Resources {
	var used tasks.Resources
	for _, r := range h.runs {
		used = used.Add(r.resources)
	}
	return used
}

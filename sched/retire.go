package sched

import (
	"context"
	"time"

	"rattanpath/lease"
	"rattanpath/pool"
)

// retireProbeTimeout is how long a retired host may take to show that it has stayed: hosts
// reply within a few milliseconds.
const retireProbeTimeout = 100 * time.Millisecond

// goneProbes is how many calls in a row a host that is gone without an order must leave
// unanswered: a connection may have gone silent while the host lives.
const goneProbes = 3

// RetiredHost is a host whose machine has left the pool or is down for maintenance.
type RetiredHost struct {
	ID string
	// Incarnation is the one that has ended; 0 means the current one.
	Incarnation int64
	// Unordered means that no order took the host out of the pool: it may have crashed.
	Unordered bool
}

// Retire records that hosts have left the pool, and ends the runs on them unless they answer.
func (c *Cell) Retire(hosts []RetiredHost) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() {
		return ErrNotOwner
	}
	for _, retired := range hosts {
		h := c.hosts[retired.ID]
		if h == nil || retired.Incarnation != 0 && h.isKnown() && retired.Incarnation != h.currentIncarnation() {
			// The host is unknown or already back.
			continue
		}
		h.retiredIncarnation, h.retiredAt = h.currentIncarnation(), time.Now()
		if retired.Incarnation != 0 {
			h.retiredIncarnation = retired.Incarnation
		}
		h.retiredFor = lossRetired
		if retired.Unordered {
			h.retiredFor = lossHostGone
		}
		h.synced = false
		c.logger.Info("host retired", "host", h.id, "runs", len(h.runs), "ordered", !retired.Unordered)
		c.probeRetired(h)
	}
	return nil
}

// hasLeft reports whether a run of a previous owner was on an incarnation of the host that the
// machine controller has retired. A host that has a record is called instead.
func (r *run) hasLeft(h *host) bool {
	if r.state != runInherited || h.info != nil || h.retiredIncarnation == 0 {
		return false
	}
	return r.assignedIncarnation() == h.retiredIncarnation
}

// assignedIncarnation returns the incarnation of the host that the run was assigned to, or 0 if
// that isn't known.
func (r *run) assignedIncarnation() int64 {
	if r.entry == nil {
		return 0
	}
	task := r.entry.job.Task(r.id)
	if task == nil || task.Run != r.number {
		return 0
	}
	return task.HostIncarnation
}

// retireProbe is the call that shows whether a retired host has stayed.
type retireProbe struct {
	cell *Cell
	host *host
	info *pool.Host
	// token and restarts are those of the host when it was retired.
	token    int64
	restarts int64
	// calls is how many more calls the host may leave unanswered.
	calls int
}

// probeRetired calls a retired host that has runs. Its machine may have stayed: the cloud
// also accepts an order that was carried out before, and the host may have got runs since
// the machine controller found it idle. Runs on a host without a record, which can't be
// called, end with their leases unless hasLeft shows that they are over. c.mu must be held.
func (c *Cell) probeRetired(h *host) {
	if len(h.runs) == 0 || h.info == nil {
		return
	}
	probe := &retireProbe{cell: c, host: h, info: h.info, token: c.token(h), restarts: h.restarts, calls: 1}
	if h.retiredFor == lossHostGone {
		probe.calls = goneProbes
	}
	c.spawn(probe.run)
}

// run calls the host until the outcome is clear or ctx ends.
func (p *retireProbe) run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := sentCommand{token: p.token, at: p.cell.options.Clock()}
		reply, err := p.call(ctx)
		late := p.cell.options.Clock()-sent.at > retireProbeTimeout+maxTimerLag
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && late:
			// This node is overloaded, and the reply may have arrived.
			continue
		case err != nil && p.calls > 1:
			p.calls--
			continue
		case err != nil || reply.Reason == lease.RefusedIncarnation:
			p.loseRuns()
		case reply.Reason == lease.Accepted:
			p.cell.handleHeartbeat(p.host, reply, sent)
		}
		return
	}
}

// call sends a heartbeat that the host answers at once. It acknowledges nothing.
func (p *retireProbe) call(ctx context.Context) (lease.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, retireProbeTimeout)
	defer cancel()
	return p.cell.options.HostClient.Heartbeat(ctx, p.info, lease.Heartbeat{Token: p.token})
}

// loseRuns ends the runs of the host unless it has reported or restarted since it was
// retired.
func (p *retireProbe) loseRuns() {
	p.cell.mu.Lock()
	defer p.cell.mu.Unlock()
	h := p.host
	if h.synced || h.restarts != p.restarts {
		return
	}
	for _, r := range h.runs {
		if h.retiredFor != lossHostGone || r.isOver() {
			p.cell.loseRun(h, r, h.retiredFor)
		}
	}
}

// isOver reports whether a run ends with the incarnation of its host. One whose start command has got
// no answer may begin on a later incarnation, see hasMissedStart.
func (r *run) isOver() bool {
	return r.state == runPlanned || r.state == runInherited || r.isAnswered()
}

// hasMissedStart reports whether a host that is gone without an order has missed the start command of
// a run: nothing of a later incarnation is known by the time until which one could have got it.
func (h *host) hasMissedStart(r *run, now time.Duration) bool {
	isGone := h.isRetired() && h.retiredFor == lossHostGone && !h.synced && h.missedHeartbeats > 0
	isBack := h.info != nil && h.info.Incarnation > h.retiredIncarnation
	return isGone && !isBack && r.awaitsStart() && now > r.sentAt+lease.MaxDelivery
}

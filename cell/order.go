package cell

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	// doubtTime is the time without an answer after which an order counts as lost
	// until the host's list tells: hosts answer within some milliseconds.
	doubtTime = 250 * time.Millisecond
	// lagTime is how late a timer may be for its node not to count as too busy.
	lagTime = 50 * time.Millisecond
	// sendTime is how long after its record was written a start may be sent.
	sendTime = time.Second
	// stopPause is the time between attempts to stop a run.
	stopPause = 50 * time.Millisecond
	// refusedPause is how long a job waits after a host refused its task.
	refusedPause = 100 * time.Millisecond
)

// sentOrder is what must be known of an order when its answer comes.
type sentOrder struct {
	token int64
	// at is the local time at which it was sent.
	at time.Duration
}

// sendStart tells a host to start a run whose record is in the store. It is
// called with the lock held.
func (c *Cell) sendStart(h *host, r *run) {
	written := c.options.Clock()
	c.goRun(func(ctx context.Context) {
		order, info, ok := c.startOrder(h, r, written)
		if !ok {
			return
		}
		begun, sent := time.Now(), c.options.Clock()
		doubt := time.AfterFunc(doubtTime, func() { c.doubtStart(h, r, sent+doubtTime) })
		reply, err := c.options.Hosts.Start(ctx, info, order)
		doubt.Stop()
		c.options.Meters.Start.UpdateDuration(begun)
		c.started(h, r, sentOrder{token: order.Token, at: sent}, reply, err)
	})
}

// startOrder returns the order for a run and the host as it is now, unless the
// run is not to be started any more.
func (c *Cell) startOrder(h *host, r *run, written time.Duration) (lease.StartCommand, *pool.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	task := r.entry.job.Task(r.name)
	current := h.runs[r.name] == r && task != nil && task.Run == r.number
	if !current {
		return lease.StartCommand{}, nil, false
	}
	if r.entry.job.Phase != tasks.Open || now-written > sendTime || c.isLost() || !h.clock.Synced() || r.stopping {
		c.runOver(h, r, tasks.EndLost, "", "not sent")
		return lease.StartCommand{}, nil, false
	}
	r.sent = true
	return lease.StartCommand{
		Task:        r.name,
		Run:         r.number,
		Spec:        r.entry.job.Plan.Spec,
		Checkpoint:  task.Checkpoint,
		LeaseExpiry: h.clock.Grant(now, c.leaseLength()),
		Token:       c.token(h),
		Ticket:      c.ticket(r.entry, r.name, h, time.Now()),
	}, h.info, true
}

// doubtStart looks whether a host has begun a run whose start it had not answered
// at a local time. If that time is past, this node is too busy to tell: the answer
// may have come.
func (c *Cell) doubtStart(h *host, r *run, due time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.options.Clock(); now-due > lagTime {
		time.AfterFunc(doubtTime, func() { c.doubtStart(h, r, now+doubtTime) })
		return
	}
	c.doubtRun(h, r, "no answer yet")
}

func (c *Cell) doubtRun(h *host, r *run, why string) {
	if h.runs[r.name] != r || r.answered != 0 || r.doubt != 0 {
		return
	}
	r.doubt = c.options.Clock()
	c.lossAt = r.doubt
	c.options.Meters.Doubts.Inc()
	c.logger.Info("start not answered", "job", r.name.Job, "round", r.name.Round, "step", r.name.Step, "index", r.name.Index, "run", r.number, "host", h.id, "why", why)
	c.look(h)
}

// look asks a host for its runs and ends beside the hold that waits for ends. It
// is called with the lock held.
func (c *Cell) look(h *host) {
	if h.info == nil {
		return
	}
	order, info := lease.Heartbeat{Token: c.token(h)}, h.info
	if h.sure {
		order.Acknowledged = h.seen
	}
	c.goRun(func(ctx context.Context) {
		sent := c.options.Clock()
		listing, err := c.options.Hosts.Heartbeat(ctx, info, order)
		if err == nil && listing.Reason == lease.Accepted {
			c.listed(h, listing, sent)
		}
	})
}

// started takes in a host's answer to a start.
func (c *Cell) started(h *host, r *run, sent sentOrder, reply lease.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteClock(h, reply.HostTime, sent.at)
	if h.runs[r.name] != r {
		return
	}
	now := c.options.Clock()
	kick(h.kick)
	if errors.Is(err, lease.ErrNotSent) {
		h.sickUntil = time.Now().Add(sickTime)
		c.runOver(h, r, tasks.EndLost, "", "no connection to the host")
		return
	}
	if err != nil {
		c.doubtRun(h, r, err.Error())
		return
	}
	h.clock.Observe(reply.HostTime, now)
	if reply.Reason == lease.Accepted {
		r.answered, r.doubt = now, 0
		r.entry.job.MarkRunning(r.name, r.number)
		c.stopRest(r.entry)
		return
	}
	c.logger.Info("start refused", "job", r.name.Job, "step", r.name.Step, "index", r.name.Index, "run", r.number, "host", h.id, "reason", reply.Reason.String())
	r.entry.notBefore = time.Now().Add(refusedPause)
	switch reply.Reason {
	case lease.RefusedFenced:
		c.fencedOff(h, sent.token)
	case lease.RefusedLeaseExpired:
		h.clock = lease.Clock{}
		h.fenced = false
	case lease.RefusedTicket:
		r.entry.adviceOf(stepKey{r.name.Round, r.name.Step}).book.Delete(h.permit())
	case lease.RefusedIncarnation, lease.RefusedBusy, lease.RefusedCapacity:
		h.sickUntil = time.Now().Add(sickTime)
	}
	c.runOver(h, r, tasks.EndLost, "", "refused: "+reply.Reason.String())
}

// stopRest stops what still runs of a job that has ended. It is called with the
// lock held.
func (c *Cell) stopRest(e *entry) {
	if e == nil || e.job.Phase == tasks.Open {
		return
	}
	e.job.ForEachActive(func(name tasks.ID, task *tasks.Task) {
		h := c.hosts[task.Host]
		if h == nil {
			return
		}
		if r := h.runs[name]; r != nil && r.number == task.Run {
			c.stopRun(h, r)
		}
	})
}

// stopRun stops a run, over and over until the host has answered. Its room is
// free once the host lists its end. It is called with the lock held.
func (c *Cell) stopRun(h *host, r *run) {
	if r.stopping || r.inherited || !r.sent || h.info == nil {
		return
	}
	r.stopping = true
	kick(h.kick)
	c.goRun(func(ctx context.Context) {
		for {
			c.mu.Lock()
			order, info := lease.StopCommand{Task: r.name, Run: r.number, Token: c.token(h)}, h.info
			c.mu.Unlock()
			sent := sentOrder{token: order.Token, at: c.options.Clock()}
			callCtx, cancel := context.WithTimeout(ctx, doubtTime)
			reply, err := c.options.Hosts.Stop(callCtx, info, order)
			cancel()
			if ctx.Err() != nil || c.stopAnswered(h, r, sent, reply, err) {
				return
			}
			if core.Sleep(ctx, stopPause) != nil {
				return
			}
		}
	})
}

// stopAnswered takes in a host's answer to a stop and reports whether no other
// attempt is due.
func (c *Cell) stopAnswered(h *host, r *run, sent sentOrder, reply lease.Reply, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteClock(h, reply.HostTime, sent.at)
	if h.runs[r.name] != r {
		return true
	}
	if err != nil || reply.Reason == lease.RefusedBusy {
		return false
	}
	h.clock.Observe(reply.HostTime, c.options.Clock())
	kick(h.kick)
	switch reply.Reason {
	case lease.RefusedFenced:
		return c.fencedOff(h, sent.token)
	case lease.RefusedIncarnation:
		c.runOver(h, r, tasks.EndLost, "", "another host answers at the address")
	case lease.Accepted, lease.RefusedStaleRun:
		if r.doubt != 0 {
			// From now on the host refuses a late start. Whether it had come before,
			// the next list shows.
			r.doubt = 0
			r.answered = c.options.Clock()
			c.look(h)
		}
	}
	return true
}

// fencedOff reacts to a host that has seen a higher token than that of an order,
// and reports whether the cell is lost: the order may also be of before the
// host's present life.
func (c *Cell) fencedOff(h *host, token int64) bool {
	if token < c.token(h) {
		return false
	}
	c.lose("host " + h.id + " has seen a higher token")
	return true
}

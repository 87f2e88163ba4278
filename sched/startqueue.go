package sched

import (
	"context"
	"slices"
	"time"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	// maxStartSenders is how many start commands to one host wait for its reply at a time.
	// Each takes a connection of its own, and opening one costs as much as several commands.
	maxStartSenders = 2
	// maxStartDelay is how long after its record was written a run may still be
	// started.
	maxStartDelay = time.Second
)

// queuedStart is a run whose record is persisted, so that its start command may be sent.
type queuedStart struct {
	run *run
	// persistedAt is local time.
	persistedAt time.Duration
}

// queueStart queues the start command of a run whose record is persisted. c.mu must be
// held.
func (c *Cell) queueStart(h *host, r *run) {
	c.countStage(stagePersist, time.Since(r.assignedAt))
	h.startQueue = slices.Insert(h.startQueue, h.queuePosition(r), queuedStart{run: r, persistedAt: c.options.Clock()})
	if r.isGangMember() {
		h.queuedMembers++
	}
	c.addStartSender(h)
}

// queuePosition returns where the start command of a run is queued. Those of serving tasks, which are few,
// go before others: while hosts answer slowly, many of a long queue become too old to be sent.
func (h *host) queuePosition(r *run) int {
	if !r.serves() {
		return len(h.startQueue)
	}
	for i, queued := range h.startQueue {
		if !queued.run.serves() {
			return i
		}
	}
	return len(h.startQueue)
}

// addStartSender starts a further sender for a host if start commands wait for one. c.mu
// must be held.
func (c *Cell) addStartSender(h *host) {
	if len(h.startQueue) == 0 || h.startSenders >= c.maxSenders(h) {
		return
	}
	h.startSenders++
	sender := &startSender{cell: c, host: h}
	c.spawn(sender.run)
}

// startSender sends start commands of a host's queue, one after the other.
type startSender struct {
	cell *Cell
	host *host
	// replaced is set once a reply is overdue: another sender goes on with the queue.
	// Cell.mu guards it.
	replaced bool
}

// run sends commands until none is left, the sender is replaced, or ctx ends.
func (s *startSender) run(ctx context.Context) {
	for {
		next, ok := s.next()
		if !ok || s.send(ctx, next) != nil {
			return
		}
	}
}

// next removes the next command from the queue. It returns false if the sender ends.
func (s *startSender) next() (queuedStart, bool) {
	s.cell.mu.Lock()
	defer s.cell.mu.Unlock()
	h := s.host
	switch {
	case s.replaced:
		return queuedStart{}, false
	case len(h.startQueue) == 0:
		h.startSenders--
		return queuedStart{}, false
	}
	next := h.startQueue[0]
	h.startQueue = h.startQueue[1:]
	if next.run.isGangMember() {
		h.queuedMembers--
		// Replies may take longer than when the members were queued.
		s.cell.addStartSender(h)
	}
	return next, true
}

// send sends one command and handles the reply. It returns an error if ctx ends before.
func (s *startSender) send(ctx context.Context, next queuedStart) error {
	c, h, r := s.cell, s.host, next.run
	if delay := c.options.Link.startDelay(r.entry.startSize()); delay > 0 {
		if err := core.Sleep(ctx, delay); err != nil {
			return err
		}
	}
	command, info, ok := c.startCommand(h, r, next.persistedAt)
	if !ok {
		return ctx.Err()
	}
	start, sent := time.Now(), r.sentAt
	call := &startCall{sender: s, run: r}
	wait := c.replyTime.timeout()
	timeout := time.AfterFunc(wait, func() { call.handleTimeout(sent + wait) })
	reply, err := c.options.HostClient.Start(ctx, info, command)
	timeout.Stop()
	c.options.Metrics.StartSeconds.UpdateDuration(start)
	c.handleStartReply(h, r, sentCommand{token: command.Token, at: sent}, reply, err)
	call.end()
	return ctx.Err()
}

// startCall is a start command that was sent.
type startCall struct {
	sender *startSender
	run    *run
	// ended is set once the call has returned. Cell.mu guards it.
	ended bool
}

func (call *startCall) end() {
	call.sender.cell.mu.Lock()
	defer call.sender.cell.mu.Unlock()
	call.ended = true
}

// handleTimeout handles a start command that got no reply by due, a local time: its
// outcome is unknown, and others to the host no longer wait for it. If the timer fired
// late, this node is overloaded and the reply may have arrived, so it waits once more.
func (call *startCall) handleTimeout(due time.Duration) {
	s := call.sender
	c := s.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.ended {
		return
	}
	if now := c.options.Clock(); now-due > maxTimerLag {
		time.AfterFunc(replyTimeout, func() { call.handleTimeout(now + replyTimeout) })
		return
	}
	c.markUnconfirmed(s.host, call.run, "no reply in time")
	s.replaced = true
	s.host.startSenders--
	c.addStartSender(s.host)
}

// startCommand returns the start command for a run and the current information
// on its host, or false if the run must not be started any more.
func (c *Cell) startCommand(h *host, r *run, persistedAt time.Duration) (lease.StartCommand, *pool.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	task := r.entry.job.Task(r.id)
	current := h.runs[r.key()] == r && task != nil && task.Run == r.number
	if !current {
		return lease.StartCommand{}, nil, false
	}
	if !c.maySendStart(h, r, persistedAt, now) {
		c.dropRun(h, r, "not sent")
		c.abandonGangStart(r)
		return lease.StartCommand{}, nil, false
	}
	r.state, r.sentAt = runStarting, now
	c.activity.starts++
	c.countStage(stageSend, now-persistedAt)
	c.plannedBytes -= r.entry.startSize()
	c.reduceBacklog(r.entry, 1)
	return lease.StartCommand{
		Task:        r.id,
		Run:         r.number,
		Spec:        r.entry.job.Plan.Spec,
		Checkpoint:  task.Checkpoint,
		LeaseExpiry: h.clock.Grant(now, c.leaseLength()),
		Token:       c.token(h),
		Ticket:      c.ticket(r.entry, r.id, h, time.Now()),
	}, h.info, true
}

// maySendStart reports whether the start command of a run whose record was persisted at a
// local time may still be sent now. A host that has restarted since the run was assigned may be of
// another kind, with other labels and for another ticket.
func (c *Cell) maySendStart(h *host, r *run, persistedAt, now time.Duration) bool {
	switch {
	case r.entry.job.Phase != tasks.Open || now-persistedAt > r.maxStartDelay():
		return false
	case !c.ownershipValidAt(now) || !h.synced || !h.clock.Synced():
		return false
	case h.restarts != r.hostRestarts || !h.hasOwnRecord():
		return false
	default:
		return c.hasRoom(h, r, now)
	}
}

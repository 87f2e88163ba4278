package cell

import (
	"context"
	"time"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pace"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// Times of the calls of a host.
const (
	// heartbeatWait is how long a hold waits for an end.
	heartbeatWait = time.Second
	// heartbeatRetryDelay is the time between holds while a host doesn't answer, and while
	// the store keeps its ends from being noted.
	heartbeatRetryDelay = 300 * time.Millisecond
	// ackWait is how long a hold waits for the store to note the last ends.
	ackWait = 500 * time.Millisecond
	// lossyHeartbeatWait is the wait of a hold while hosts leave calls unanswered: ends are
	// hidden for as long as a lost one waits. lossTime is how long after such a call
	// others are expected.
	lossyHeartbeatWait = 300 * time.Millisecond
	lossWindow         = 5 * time.Second
	// refusalBackoff is how long a host that refuses orders gets no more.
	refusalBackoff = time.Second
)

// run is a run that takes room on a host.
type run struct {
	// entry is the job, or nil for a run that no job knows.
	entry     *jobEntry
	name      tasks.Name
	number    int
	resources tasks.Room
	// sent means that the start was or is being sent, and answered is when the
	// host took it.
	sent      bool
	startedAt time.Duration
	// unansweredAt is when the answer to the start was given up on; zero if it wasn't.
	unansweredAt time.Duration
	// stopping means that the run is being stopped.
	stopping bool
	// unverified means that an older owner may have started it.
	unverified bool
	// inherited means that an older owner has started it.
	inherited bool
	// percent is how far the run is, as its host last showed. firstSeen is when it
	// was shown first, and rose when the percent last rose.
	percent         int
	firstReportedAt time.Duration
	progressedAt    time.Duration
	// tailLatency is the response time of a serving task as its host last showed.
	tailLatency time.Duration
	// share is how hard the run works, in percent, and pacing means that an order
	// to change that is under way.
	share       int
	pacePending bool
}

// fullPercent is the percent that a host shows of a serving task that is at work, and
// of any other that is done.
const fullPercent = 100

// host is what a cell knows of a host.
type host struct {
	id    string
	info  *pool.Host
	clock lease.Clock
	runs  map[tasks.Name]*run
	// inPool means that the pool lists the host.
	inPool bool
	// synced means that the host has shown its runs under this epoch.
	synced bool
	// missedHeartbeats counts the holds without an answer since the last one with.
	missedHeartbeats int
	// incarnation is the life that has answered, and lives counts those of this epoch.
	incarnation int64
	restarts    int64
	// retiredIncarnation is the life of the host that the depot has ended, and retiredAt when;
	// 0 is none.
	retiredIncarnation int64
	retiredAt          time.Time
	// ackValid means that the present life has answered since the host was idle or
	// silent. Before, a count of ends may be of an older life.
	ackValid bool
	// acknowledgedEnd is the last end that is noted in the store, and listed the last one
	// that the host has listed.
	acknowledgedEnd int64
	reportedEnd     int64
	// backoffUntil is when the host gets orders again after it refused one.
	backoffUntil time.Time
	// cordonedUntil is until when the host gets no new runs, and cordonedSince the
	// beginning of that. With vacate, its runs are moved away.
	cordonedUntil time.Time
	cordonedSince time.Time
	vacate        bool
	history       runHistory
	// share is how hard tasks that fill are to work, in percent, since pacedAt.
	share   int
	pacedAt time.Time

	wake        chan struct{}
	loopRunning bool
}

// host returns what is known of a host and begins with nothing.
func (c *Cell) host(id string) *host {
	h := c.hosts[id]
	if h == nil {
		h = &host{id: id, runs: make(map[tasks.Name]*run), wake: make(chan struct{}, 1), share: pace.Full}
		c.hosts[id] = h
	}
	return h
}

// currentIncarnation returns when the present life of the host began, or 1 if that isn't
// known.
func (h *host) currentIncarnation() int64 {
	switch {
	case h.incarnation != 0:
		return h.incarnation
	case h.info != nil && h.info.Born != 0:
		return h.info.Born
	default:
		return 1
	}
}

// retirementPeriod is how long a life that the depot has ended counts as over. A host
// that is listed still, and answers, has not gone: the machine had had its
// upkeep before.
const retirementPeriod = 6 * time.Second

// isRetired reports whether the depot has ended the host's present life.
func (h *host) isRetired() bool {
	return h.retiredIncarnation != 0 && h.retiredIncarnation == h.currentIncarnation() && time.Since(h.retiredAt) < retirementPeriod
}

// usable reports whether the host can be given runs.
func (h *host) usable() bool {
	return h.inPool && h.synced && h.missedHeartbeats == 0 && !h.info.Draining && h.clock.Known() && !h.isRetired()
}

// updateHost takes in what a host says of itself.
func (c *Cell) updateHost(id string, info *pool.Host) {
	h := c.host(id)
	if h.info != nil && h.info.Born != 0 && info.Born != 0 && info.Born != h.info.Born && h.incarnation != info.Born {
		// Its list will tell.
		h.synced = false
		wake(h.wake)
	}
	h.info = info
	h.inPool = true
	c.startHost(h)
}

func (c *Cell) startHost(h *host) {
	if h.loopRunning || h.info == nil || c.ctx == nil {
		return
	}
	h.loopRunning = true
	loop := &hostLoop{cell: c, host: h}
	c.spawn(loop.run)
}

// used returns the capacity that the runs of a host take.
func (h *host) used() tasks.Room {
	var used tasks.Room
	for _, r := range h.runs {
		used = used.Add(r.resources)
	}
	return used
}

// hostLoop keeps in touch with one host.
type hostLoop struct {
	cell *Cell
	host *host
}

// run holds the host's lease while there are runs on it, until ctx ends or the
// host is gone and empty.
func (l *hostLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		order, info, wanted := l.nextHeartbeat()
		switch {
		case info == nil:
			return
		case !wanted:
			l.waitIdle(ctx)
			continue
		}
		listing, sent, err := l.sendHeartbeat(ctx, info, order)
		if ctx.Err() != nil {
			return
		}
		if err != nil || listing.Reason != lease.Accepted {
			l.cell.heartbeatFailed(l.host, order.Token, listing.Reason, err)
			_ = core.Sleep(ctx, heartbeatRetryDelay)
			continue
		}
		noted := l.cell.heartbeatAnswered(l.host, listing, sent)
		l.waitPersisted(ctx, noted)
	}
}

// heartbeatResult is the outcome of a hold that was sent at a local time.
type heartbeatResult struct {
	listing lease.Listing
	sent    time.Duration
	err     error
}

// sendHeartbeat sends a hold, and another one if it isn't answered soon after its wait: the
// first may be lost or carried out late. The first good answer counts.
func (l *hostLoop) sendHeartbeat(ctx context.Context, info *pool.Host, order lease.Hold) (lease.Listing, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan heartbeatResult, 2)
	send := func(order lease.Hold) {
		sent := l.cell.options.Clock()
		listing, err := l.cell.options.Hosts.Hold(ctx, info, order)
		answers <- heartbeatResult{listing, sent, err}
	}
	go send(order)
	again := time.NewTimer(order.Wait + answerTimeout)
	defer again.Stop()
	due := l.cell.options.Clock() + order.Wait + answerTimeout
	for underWay := 1; ; {
		select {
		case <-again.C:
			if now := l.cell.options.Clock(); now-due > maxTimerLag {
				// This node is too busy to tell: the answer may have come.
				due = now + answerTimeout
				again.Reset(answerTimeout)
				continue
			}
			l.cell.recordUnanswered()
			order.Wait = 0
			underWay++
			go send(order)
		case a := <-answers:
			underWay--
			if a.err == nil || underWay == 0 {
				return a.listing, a.sent, a.err
			}
		}
	}
}

// recordUnanswered notes that a host has left a call unanswered.
func (c *Cell) recordUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUnansweredAt = c.options.Clock()
}

// waitIdle waits until there is something to ask the host.
func (l *hostLoop) waitIdle(ctx context.Context) {
	select {
	case <-l.host.wake:
	case <-time.After(heartbeatWait):
	case <-ctx.Done():
	}
}

// waitPersisted waits until the listed ends are noted, so that the next hold need
// not list them again.
func (l *hostLoop) waitPersisted(ctx context.Context, noted <-chan struct{}) {
	if noted == nil {
		return
	}
	select {
	case <-noted:
	case <-time.After(ackWait):
	case <-ctx.Done():
	}
}

// nextHeartbeat returns the next hold. No host means that it is gone.
func (l *hostLoop) nextHeartbeat() (lease.Hold, *pool.Host, bool) {
	c, h := l.cell, l.host
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.inPool && len(h.runs) == 0 {
		h.loopRunning = false
		delete(c.hosts, h.id)
		return lease.Hold{}, nil, false
	}
	if len(h.runs) == 0 && (h.isRetired() || h.synced && h.acknowledgedEnd == h.reportedEnd) {
		h.ackValid = false
		return lease.Hold{}, h.info, false
	}
	order := lease.Hold{Token: c.token(h)}
	if h.ackValid {
		order.Seen = h.acknowledgedEnd
	}
	if h.synced && h.missedHeartbeats == 0 {
		order.Wait = heartbeatWait
		if filling, tails := h.sharingTasks(); filling > 0 && len(tails) > 0 {
			order.Wait = paceInterval
		}
		if c.lastUnansweredAt != 0 && c.options.Clock()-c.lastUnansweredAt < lossWindow {
			order.Wait = min(order.Wait, lossyHeartbeatWait)
		}
	}
	if h.acknowledgedEnd < h.reportedEnd {
		order.Wait = 0
	}
	// A host that doesn't answer is not given longer leases: otherwise they would
	// never be sure to have ended.
	if len(h.runs) > 0 && h.missedHeartbeats == 0 && c.ownershipValid() {
		order.Until = h.clock.Until(c.options.Clock(), c.leaseLength())
	}
	return order, h.info, true
}

// tokensPerEpoch is how far apart the tokens of two epochs are.
const tokensPerEpoch = 1000

// token returns the token of orders to a host. It rises with each life of the
// host, so that an order to an earlier one is refused by a later one.
func (c *Cell) token(h *host) int64 {
	return c.epoch*tokensPerEpoch + min(h.restarts, tokensPerEpoch-1)
}

// leaseLength is how long a lease is granted for.
func (c *Cell) leaseLength() time.Duration {
	return min(maxLease, time.Duration(float64(c.options.MaxLease)*leaseFraction))
}

// inheritedLeaseEnd returns when everything that older owners have ordered on a
// host has lapsed.
func (c *Cell) inheritedLeaseEnd(h *host) time.Duration {
	if left, known := c.unexpiredLeases[h.id]; known {
		return c.claimedAt + left
	}
	longest := time.Duration(float64(c.leaseLength())/lease.Slowest) + takeoverMargin
	if c.claim.Before != "" && !c.claim.Released {
		longest += ownershipTimeout
	}
	return c.claimedAt + longest
}

// heartbeatFailed notes that a host did not answer a hold, or refused it.
func (c *Cell) heartbeatFailed(h *host, token int64, reason lease.Reason, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.missedHeartbeats++
	h.ackValid = false
	if h.missedHeartbeats == 1 {
		c.logger.Info("host lost touch", "host", h.id, "runs", len(h.runs), "refusal", reason.String(), "err", errorText(err))
	}
	switch reason {
	case lease.RefusedFence:
		c.handleFenced(h, token)
	case lease.RefusedOther:
		// Another life has the address; this one is over, and with it its runs.
		c.endAllRuns(h, "the address belongs to another host")
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// expireLeases gives up the runs of hosts whose every lease has ended.
func (c *Cell) expireLeases() {
	now := c.options.Clock()
	for id, h := range c.hosts {
		inheritedUntil := c.inheritedLeaseEnd(h)
		over := h.clock.Over(now)
		for _, r := range h.runs {
			switch {
			case r.unverified && now > inheritedUntil:
				c.endRun(h, r, tasks.EndLost, "", "every lease of older owners has ended")
			case !r.unverified && r.sent && over && h.missedHeartbeats > 0:
				c.endRun(h, r, tasks.EndLost, "", "the lease has ended")
			}
		}
		if h.info == nil && len(h.runs) == 0 {
			delete(c.hosts, id)
		}
	}
}

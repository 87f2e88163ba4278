package sched

import (
	"context"
	"time"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pace"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// Timing of the calls to a host.
const (
	// heartbeatWait is how long a heartbeat waits at the host for a run to
	// finish.
	heartbeatWait = time.Second
	// heartbeatRetryDelay is the time between heartbeats while a host doesn't
	// respond.
	heartbeatRetryDelay = 300 * time.Millisecond
	// ackWait is how long the next heartbeat is delayed for the store to persist
	// the runs that the last one reported as finished.
	ackWait = 500 * time.Millisecond
	// lossyHeartbeatWait replaces heartbeatWait for lossWindow after any host did
	// not reply: finished runs go unnoticed for as long as a lost heartbeat
	// waits.
	lossyHeartbeatWait = 300 * time.Millisecond
	lossWindow         = 5 * time.Second
	// refusalBackoff is how long no runs are assigned to a host after it refused
	// a command.
	refusalBackoff = time.Second
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
	// missedHeartbeats counts the failed heartbeats since the last successful
	// one.
	missedHeartbeats int
	// incarnation is that of the last reply, 0 if unknown. restarts counts its
	// changes in this epoch.
	incarnation int64
	restarts    int64
	// retiredIncarnation is the incarnation that the machine controller retired
	// at retiredAt; 0 means none.
	retiredIncarnation int64
	retiredAt          time.Time
	// ackValid is set once the current incarnation has replied since the host was
	// last idle or unresponsive. Until then, acknowledgedSequence may belong to an
	// earlier incarnation.
	ackValid bool
	// acknowledgedSequence is the sequence number of the last finished run that is
	// persisted, and reportedSequence that of the last one that the host reported.
	acknowledgedSequence int64
	reportedSequence     int64
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

	wake        chan struct{}
	loopRunning bool
}

// host returns the state of a host, which is created if missing.
func (c *Cell) host(id string) *host {
	h := c.hosts[id]
	if h == nil {
		h = &host{id: id, runs: make(map[runKey]*run), wake: make(chan struct{}, 1), share: pace.FullShare}
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
func (h *host) usable() bool {
	return h.inPool && h.synced && h.missedHeartbeats == 0 && !h.info.Draining && h.clock.Synced() && !h.isRetired()
}

// updateHost updates a host with the pool's information.
func (c *Cell) updateHost(id string, info *pool.Host) {
	h := c.host(id)
	if h.info != nil && h.info.Incarnation != 0 && info.Incarnation != 0 && info.Incarnation != h.info.Incarnation && h.incarnation != info.Incarnation {
		// The next heartbeat reports which runs survived.
		h.synced = false
		wake(h.wake)
	}
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

// used returns the resources that the runs of a host occupy.
func (h *host) used() tasks.Resources {
	var used tasks.Resources
	for _, r := range h.runs {
		used = used.Add(r.resources)
	}
	return used
}

// onlyInheritedRuns reports whether the host has never answered this owner since it
// took over runs there: this owner has then granted no lease.
func (h *host) onlyInheritedRuns() bool {
	for _, r := range h.runs {
		if r.state != runInherited {
			return false
		}
	}
	return true
}

// hostLoop sends heartbeats to one host.
type hostLoop struct {
	cell *Cell
	host *host
}

// run renews the host's lease while it has runs, until ctx ends or the host has
// left the pool and has no runs.
func (l *hostLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		heartbeat, info, due := l.nextHeartbeat()
		switch {
		case info == nil:
			return
		case !due:
			l.waitIdle(ctx)
			continue
		}
		result := l.sendHeartbeat(ctx, info, heartbeat)
		if ctx.Err() != nil {
			return
		}
		if result.err != nil || result.reply.Reason != lease.Accepted {
			l.cell.handleHeartbeatFailure(l.host, info, heartbeat.Token, result)
			_ = core.Sleep(ctx, heartbeatRetryDelay)
			continue
		}
		persisted := l.cell.handleHeartbeat(l.host, result.reply, result.sent)
		l.waitPersisted(ctx, persisted)
	}
}

// heartbeatResult is the outcome of a heartbeat.
type heartbeatResult struct {
	reply lease.HeartbeatReply
	sent  sentCommand
	err   error
}

// sendHeartbeat sends a heartbeat, and a second one if there is no reply soon
// after its wait: the first may be lost or delayed. It returns the first
// successful reply.
func (l *hostLoop) sendHeartbeat(ctx context.Context, info *pool.Host, heartbeat lease.Heartbeat) heartbeatResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan heartbeatResult, 2)
	send := func(heartbeat lease.Heartbeat) {
		sent := sentCommand{token: heartbeat.Token, at: l.cell.options.Clock()}
		reply, err := l.cell.options.HostClient.Heartbeat(ctx, info, heartbeat)
		results <- heartbeatResult{reply, sent, err}
	}
	go send(heartbeat)
	retryTimer := time.NewTimer(heartbeat.Wait + replyTimeout)
	defer retryTimer.Stop()
	due := l.cell.options.Clock() + heartbeat.Wait + replyTimeout
	for inFlight := 1; ; {
		select {
		case <-retryTimer.C:
			if now := l.cell.options.Clock(); now-due > maxTimerLag {
				// The timer fired late: this node is overloaded, and the reply may have
				// arrived.
				due = now + replyTimeout
				retryTimer.Reset(replyTimeout)
				continue
			}
			l.cell.recordLostReply()
			heartbeat.Wait = 0
			inFlight++
			go send(heartbeat)
		case result := <-results:
			inFlight--
			if result.err == nil || inFlight == 0 {
				return result
			}
		}
	}
}

// recordLostReply records that a host did not reply in time.
func (c *Cell) recordLostReply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLostReplyAt = c.options.Clock()
}

// waitIdle waits until a heartbeat may be due.
func (l *hostLoop) waitIdle(ctx context.Context) {
	select {
	case <-l.host.wake:
	case <-time.After(heartbeatWait):
	case <-ctx.Done():
	}
}

// waitPersisted waits until the reported finished runs are persisted, so that
// the next heartbeat acknowledges them.
func (l *hostLoop) waitPersisted(ctx context.Context, persisted <-chan struct{}) {
	if persisted == nil {
		return
	}
	select {
	case <-persisted:
	case <-time.After(ackWait):
	case <-ctx.Done():
	}
}

// nextHeartbeat returns the next heartbeat, its host, and whether it is due.
// The host is nil if it has left the pool and has no runs.
func (l *hostLoop) nextHeartbeat() (lease.Heartbeat, *pool.Host, bool) {
	c, h := l.cell, l.host
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.inPool && len(h.runs) == 0 {
		h.loopRunning = false
		delete(c.hosts, h.id)
		return lease.Heartbeat{}, nil, false
	}
	if len(h.runs) == 0 && (h.isRetired() || h.synced && h.acknowledgedSequence == h.reportedSequence) {
		h.ackValid = false
		return lease.Heartbeat{}, h.info, false
	}
	heartbeat := lease.Heartbeat{Token: c.token(h)}
	if h.ackValid {
		heartbeat.Acknowledged = h.acknowledgedSequence
	}
	if h.synced && h.missedHeartbeats == 0 {
		heartbeat.Wait = heartbeatWait
		if bestEffort, tailLatencies := h.paceInputs(); bestEffort > 0 && len(tailLatencies) > 0 {
			heartbeat.Wait = paceInterval
		}
		if c.lastLostReplyAt != 0 && c.options.Clock()-c.lastLostReplyAt < lossWindow {
			heartbeat.Wait = min(heartbeat.Wait, lossyHeartbeatWait)
		}
	}
	if h.acknowledgedSequence < h.reportedSequence {
		heartbeat.Wait = 0
	}
	// The lease of a host that doesn't respond is not renewed: otherwise it would
	// never be certain to have expired.
	if len(h.runs) > 0 && h.missedHeartbeats == 0 && c.ownershipValid() {
		heartbeat.LeaseExpiry = h.clock.Grant(c.options.Clock(), c.leaseLength())
	}
	return heartbeat, h.info, true
}

// tokensPerEpoch is the number of fencing tokens of one epoch.
const tokensPerEpoch = 1000

// token returns the fencing token for commands to a host. It rises with each
// incarnation of the host, so that a later one refuses commands to an earlier
// one.
func (c *Cell) token(h *host) int64 {
	return c.epoch*tokensPerEpoch + min(h.restarts, tokensPerEpoch-1)
}

// leaseLength returns the duration of a new lease.
func (c *Cell) leaseLength() time.Duration {
	return min(maxLease, time.Duration(float64(c.options.MaxLease)*leaseFraction))
}

// inheritedLeaseEnd returns when all leases that previous owners granted to a
// host have expired.
func (c *Cell) inheritedLeaseEnd(h *host) time.Duration {
	if remaining, known := c.unexpiredLeases[h.id]; known {
		return c.claimedAt + remaining
	}
	longest := time.Duration(float64(c.leaseLength())/lease.MinClockRate) + takeoverMargin
	if c.claim.PreviousNode != "" && !c.claim.PreviousReleased {
		longest += ownershipTimeout
	}
	return c.claimedAt + longest
}

// handleHeartbeatFailure handles a heartbeat to the host at the address in info
// that was refused or failed.
func (c *Cell) handleHeartbeatFailure(h *host, info *pool.Host, token int64, result heartbeatResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.missedHeartbeats++
	h.ackValid = false
	if h.missedHeartbeats == 1 {
		c.logger.Info("host heartbeat failed", "host", h.id, "runs", len(h.runs), "refusal", result.reply.Reason.String(), "err", errorText(result.err))
	}
	switch {
	case result.reply.Reason == lease.RefusedFenced:
		c.handleFenced(h, token)
	case result.reply.Reason == lease.RefusedIncarnation && h.info.Address == info.Address:
		// Another incarnation has the address, so this one and its runs are gone.
		c.loseAllRuns(h, lossReplaced)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// firstReplyTime is how long after a takeover a host may take to answer its new owner.
const firstReplyTime = 750 * time.Millisecond

// hadTimeToAnswer reports whether a host has not answered this owner although it had
// the time to. A run whose lease has expired may have ended before, which only its host
// can tell.
func (c *Cell) hadTimeToAnswer(h *host) bool {
	return h.missedHeartbeats > 0 || c.options.Clock()-c.claimedAt > firstReplyTime
}

// expireLeases ends the runs of hosts on which every lease has expired.
func (c *Cell) expireLeases() {
	now := c.options.Clock()
	for id, h := range c.hosts {
		inheritedUntil := c.inheritedLeaseEnd(h)
		expired := h.clock.Expired(now)
		for _, r := range h.runs {
			switch {
			case r.state == runInherited && now > inheritedUntil && c.hadTimeToAnswer(h):
				c.loseRun(h, r, lossInheritedLease)
			case r.state != runInherited && r.state != runPlanned && expired && h.missedHeartbeats > 0:
				c.loseRun(h, r, lossLease)
			}
		}
		if h.info == nil && len(h.runs) == 0 {
			delete(c.hosts, id)
		}
	}
}

package sched

import (
	"context"
	"time"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
)

// Timing of the calls to a host.
const (
	// heartbeatWait is how long a heartbeat waits at the host for a run to
	// finish.
	heartbeatWait = time.Second
	// heartbeatRetryDelay is the time between heartbeats while a host doesn't
	// respond.
	heartbeatRetryDelay = 300 * time.Millisecond
	// maxAckAge is how long after a host has made a report the ends in it may be
	// acknowledged: hosts take longer to restart.
	maxAckAge = 100 * time.Millisecond
	// maxReportTime is how long a report that was asked for at once may take to be
	// processed, and nextCallTime how soon the next call follows.
	maxReportTime = time.Second
	nextCallTime  = 10 * time.Millisecond
	// ackWait is how long the next heartbeat is delayed for the store to persist
	// the runs that the last one reported as finished.
	ackWait = 500 * time.Millisecond
	// startReplyWait is how long a heartbeat with an acknowledgement that has become too
	// old is delayed for the reply to a start command in flight.
	startReplyWait = 50 * time.Millisecond
	// lossyHeartbeatWait replaces heartbeatWait for lossWindow after any host did
	// not reply: finished runs go unnoticed for as long as a lost heartbeat
	// waits.
	lossyHeartbeatWait = 300 * time.Millisecond
	lossWindow         = 5 * time.Second
)

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
		if !l.hasAcknowledgement() {
			l.waitPersisted(ctx, persisted)
			l.waitStartReply(ctx)
		}
	}
}

// hasAcknowledgement reports whether the host still lists ends that are persisted. These are
// acknowledged before others are waited for, so that a host that always has new ends isn't left
// with the old ones.
func (l *hostLoop) hasAcknowledgement() bool {
	l.cell.mu.Lock()
	defer l.cell.mu.Unlock()
	return l.host.ackValid && l.host.listsPersisted()
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
	retry := newHeartbeatRetry(ctx, cancel, l, info, heartbeat)
	first := l.callHost(ctx, info, heartbeat)
	if second := retry.stop(first.err != nil); second != nil && second.err == nil {
		return *second
	}
	return first
}

// callHost sends one heartbeat.
func (l *hostLoop) callHost(ctx context.Context, info *pool.Host, heartbeat lease.Heartbeat) heartbeatResult {
	sent := sentCommand{token: heartbeat.Token, at: l.cell.options.Clock(), waits: heartbeat.Wait > 0}
	reply, err := l.cell.options.HostClient.Heartbeat(ctx, info, heartbeat)
	return heartbeatResult{reply, sent, err}
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

// waitStartReply waits for the reply to a start command if that may make a further report
// needless: ends in a report that has become too old can be acknowledged once the host shows
// that it has not restarted since.
func (l *hostLoop) waitStartReply(ctx context.Context) {
	timeout := time.NewTimer(startReplyWait)
	defer timeout.Stop()
	for l.needsStartReply() {
		select {
		case <-l.host.wake:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (l *hostLoop) needsStartReply() bool {
	c, h := l.cell, l.host
	c.mu.Lock()
	defer c.mu.Unlock()
	isStale := h.ackValid && c.options.Clock() > h.ackUntil
	return isStale && h.startSenders > 0 && h.listsPersisted() && h.acknowledgedSequence == h.reportedSequence
}

// isUpToDate reports whether the host has answered and has no end to acknowledge. A host
// that stopped answering is called until it does, or its record is gone: it can't be used
// before, and may still report ends of runs that count as lost.
func (h *host) isUpToDate() bool {
	return h.synced && h.missedHeartbeats == 0 && h.acknowledgedSequence == h.reportedSequence
}

// nextHeartbeat returns the next heartbeat, its host, and whether it is due.
// The host is nil if it has left the pool and has no runs.
func (l *hostLoop) nextHeartbeat() (lease.Heartbeat, *pool.Host, bool) {
	c, h := l.cell, l.host
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.inPool && len(h.runs) == 0 {
		h.loopRunning = false
		c.forgetHost(h)
		return lease.Heartbeat{}, nil, false
	}
	if len(h.runs) == 0 && (h.isRetired() || h.isUpToDate()) {
		h.ackValid = false
		return lease.Heartbeat{}, h.info, false
	}
	now := c.options.Clock()
	heartbeat := lease.Heartbeat{Token: c.token(h), Acknowledged: h.acknowledgement(now)}
	c.activity.heartbeats++
	if h.ackValid && h.listsPersisted() && heartbeat.Acknowledged == 0 {
		c.activity.unackedHeartbeats++
	}
	if h.synced && h.missedHeartbeats == 0 {
		heartbeat.Wait = heartbeatWait
		if bestEffort, tailLatencies := h.paceInputs(); bestEffort > 0 && len(tailLatencies) > 0 {
			heartbeat.Wait = paceInterval
		}
		if c.lastLostReplyAt != 0 && now-c.lastLostReplyAt < lossWindow {
			heartbeat.Wait = min(heartbeat.Wait, lossyHeartbeatWait)
		}
	}
	if h.oldestListed != 0 {
		// A heartbeat that acknowledges ends doesn't wait for others: held up on its way, it may
		// reach the host's next incarnation, and would make that one forget its own as they come.
		heartbeat.Wait = 0
	}
	// The lease of a host that doesn't respond is not renewed: otherwise it would
	// never be certain to have expired. Neither is that of one which hasn't confirmed any of its
	// runs: the start commands have granted one.
	if len(h.runs) > 0 && h.missedHeartbeats == 0 && !h.isUnconfirmed() && c.ownershipValidAt(now) {
		heartbeat.LeaseExpiry = h.clock.Grant(now, c.leaseLength())
	}
	return heartbeat, h.info, true
}

// isUnconfirmed reports whether start commands to the host got no reply in time, and it has no other runs
// than theirs.
func (h *host) isUnconfirmed() bool {
	unconfirmed := false
	for _, r := range h.runs {
		switch r.state {
		case runUnconfirmed:
			unconfirmed = true
		case runPlanned:
		default:
			return false
		}
	}
	return unconfirmed
}

// acknowledgement returns the highest sequence number of a finished run that the host may
// forget, or 0 if there is none that it hasn't forgotten, or if it may have restarted since its
// last report: a new incarnation would forget its own runs.
func (h *host) acknowledgement(now time.Duration) int64 {
	if !h.ackValid || now > h.ackUntil || !h.listsPersisted() {
		return 0
	}
	return h.acknowledgedSequence
}

// listsPersisted reports whether the host's last report listed ends that are persisted by now.
func (h *host) listsPersisted() bool {
	return h.oldestListed != 0 && h.oldestListed <= h.acknowledgedSequence
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

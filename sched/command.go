package sched

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/place"
	"rattanpath/tasks"
)

const (
	// maxTimerLag is how late a timer may fire before this node counts as
	// overloaded.
	maxTimerLag = 50 * time.Millisecond
	// stopRetryDelay is the time between attempts to stop a run.
	stopRetryDelay = 50 * time.Millisecond
	// refusalBackoff is how long no runs are assigned to a host after it refused
	// a command.
	refusalBackoff = time.Second
	// refusalRetryDelay is how long a job waits after a host refused one of its
	// tasks.
	refusalRetryDelay = 100 * time.Millisecond
	// provenReportTime is how long after the reply to a start command even the slowest clock
	// of a host has advanced by place.FreshTime.
	provenReportTime = place.FreshTime*51/50 + 5*time.Millisecond
)

// sentCommand is the token and send time of a command or heartbeat in flight.
type sentCommand struct {
	token int64
	// at is local time. The host acts on the command at that time or later.
	at time.Duration
	// waits is set for a heartbeat whose reply the host may delay.
	waits bool
}

// markUnconfirmed records that it is unknown whether a host has started a run,
// and requests a report from the host. c.mu must be held.
func (c *Cell) markUnconfirmed(h *host, r *run, reason string) {
	if h.runs[r.key()] != r || r.state != runStarting {
		return
	}
	r.state = runUnconfirmed
	r.unconfirmedSince = c.options.Clock()
	c.lastLostReplyAt = r.unconfirmedSince
	c.options.Metrics.UnconfirmedStarts.Inc()
	c.logger.Info("start command not confirmed", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "born", h.incarnation, "why", reason)
	c.requestReport(h)
}

// requestReport sends a heartbeat that the host answers at once, in addition to
// the one whose reply it may be delaying. c.mu must be held.
func (c *Cell) requestReport(h *host) {
	if h.info == nil {
		return
	}
	heartbeat, info := lease.Heartbeat{Token: c.token(h), Acknowledged: h.acknowledgement(c.options.Clock())}, h.info
	c.spawn(func(ctx context.Context) {
		sent := sentCommand{token: heartbeat.Token, at: c.options.Clock()}
		reply, err := c.options.HostClient.Heartbeat(ctx, info, heartbeat)
		if err == nil && reply.Reason == lease.Accepted {
			c.handleHeartbeat(h, reply, sent)
		}
	})
}

// handleStartReply handles a host's reply to a start command.
func (c *Cell) handleStartReply(h *host, r *run, sent sentCommand, reply lease.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	if err == nil {
		c.replyTime.observe(now - sent.at)
		c.startRepliedAt = now
	}
	current := c.observeClock(h, reply.HostTime, sent, now)
	if h.runs[r.key()] != r {
		return
	}
	wake(h.wake)
	switch {
	case errors.Is(err, lease.ErrNotSent):
		h.backoffUntil = time.Now().Add(refusalBackoff)
		// It may have crashed, and must answer before it gets another start.
		h.synced = false
		c.dropRun(h, r, "no connection to the host")
	case err != nil:
		r.startBroke = !isTimeout(err)
		c.markUnconfirmed(h, r, err.Error())
	case reply.Reason == lease.Accepted:
		c.handleStarted(h, r, reply.HostTime, now, current)
	default:
		c.handleStartRefused(h, r, sent.token, reply.Reason)
	}
}

// isTimeout reports whether a call failed because its reply took too long.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// handleStarted handles a host's confirmation at a local time that it has started a run. If
// it isn't current, the host has restarted and the next report shows whether it has
// the run.
func (c *Cell) handleStarted(h *host, r *run, hostTime, now time.Duration, current bool) {
	r.markStarted(now)
	c.countStage(stageConfirm, now-r.sentAt)
	if current {
		h.answeredAt = max(h.answeredAt, hostTime)
		// The host has not restarted since its last report, whose ends may still be
		// acknowledged.
		h.ackUntil = max(h.ackUntil, h.clock.ReadAfter(hostTime)+maxAckAge)
		if r.awaitsStart() {
			r.settle(hostTime)
		}
		c.runProven(h, r, hostTime)
	}
	r.entry.job.MarkRunning(r.id, r.number)
	c.stopEndedJob(r.entry)
	c.applyPace(h, r)
	if r.isUnproven() {
		c.spawn(func(ctx context.Context) { c.proveRun(ctx, h, r) })
	}
}

// proveRun requests a report on a run that needs isolation as soon as one can show that the run
// hasn't crashed its host. Until then nothing else is started on the host.
func (c *Cell) proveRun(ctx context.Context, h *host, r *run) {
	if core.Sleep(ctx, provenReportTime) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.runs[r.key()] == r && r.isUnproven() {
		c.requestReport(h)
	}
}

// handleStartRefused handles a host's refusal to start a run.
func (c *Cell) handleStartRefused(h *host, r *run, token int64, reason lease.Reason) {
	c.logger.Info("start command refused", "job", r.id.Job, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "reason", reason.String())
	r.entry.retryAfter = time.Now().Add(refusalRetryDelay)
	switch reason {
	case lease.RefusedFenced:
		c.handleFenced(h, token)
	case lease.RefusedLeaseExpired:
		c.resetClock(h)
		h.synced = false
	case lease.RefusedTicket:
		r.entry.adviceOf(stepKey{r.id.Round, r.id.Step}).cache.Delete(h.ticketHost())
	case lease.RefusedIncarnation, lease.RefusedBusy, lease.RefusedCapacity:
		h.backoffUntil = time.Now().Add(refusalBackoff)
	}
	c.dropRun(h, r, "refused: "+reason.String())
}

// stopEndedJob stops the remaining runs of a job if it has ended. c.mu must be
// held.
func (c *Cell) stopEndedJob(e *jobEntry) {
	if e == nil || e.job.Phase == tasks.Open {
		return
	}
	e.job.ForEachActive(func(taskID tasks.ID, task *tasks.Task) {
		h := c.hosts[task.Host]
		if h == nil {
			return
		}
		if r := h.runs[runKey{taskID, task.Run}]; r != nil {
			c.stopRun(h, r)
		}
	})
}

// stopRun sends stop commands for a run until the host has replied. Its
// resources are freed once the host reports the end. c.mu must be held.
func (c *Cell) stopRun(h *host, r *run) {
	if r.stopping || !r.isVerified() || r.state == runPlanned || h.info == nil {
		return
	}
	r.stopping = true
	wake(h.wake)
	c.spawn(func(ctx context.Context) {
		for {
			c.mu.Lock()
			command, info := lease.StopCommand{Task: r.id, Run: r.number, Token: c.token(h)}, h.info
			c.mu.Unlock()
			sent := sentCommand{token: command.Token, at: c.options.Clock()}
			callCtx, cancel := context.WithTimeout(ctx, c.replyTime.timeout())
			reply, err := c.options.HostClient.Stop(callCtx, info, command)
			cancel()
			if ctx.Err() != nil || c.handleStopReply(h, r, sent, reply, err) {
				return
			}
			if core.Sleep(ctx, stopRetryDelay) != nil {
				return
			}
		}
	})
}

// handleStopReply handles a host's reply to a stop command and reports whether
// to stop retrying.
func (c *Cell) handleStopReply(h *host, r *run, sent sentCommand, reply lease.Reply, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.observeClock(h, reply.HostTime, sent, c.options.Clock())
	if h.runs[r.key()] != r {
		return true
	}
	if err != nil {
		return false
	}
	switch reply.Reason {
	case lease.RefusedFenced:
		wake(h.wake)
		return c.handleFenced(h, sent.token)
	case lease.RefusedIncarnation:
		c.loseRun(h, r, lossReplaced)
	case lease.Accepted, lease.RefusedStaleRun:
		c.handleStopped(h, r, reply.HostTime, current)
	default:
		// The run may still begin.
		return false
	}
	wake(h.wake)
	return true
}

// handleStopped handles a host's confirmation of a stop command. From now on the
// host refuses a delayed start, so the next report shows whether the start had
// arrived before.
func (c *Cell) handleStopped(h *host, r *run, hostTime time.Duration, current bool) {
	if current && r.awaitsStart() {
		r.settle(hostTime)
		c.requestReport(h)
	}
}

// handleFenced handles a host's refusal of an outdated token and reports
// whether the cell is lost. It is not if the command was for an earlier
// incarnation of the host, or the cell has forgotten the host since.
func (c *Cell) handleFenced(h *host, token int64) bool {
	if c.hosts[h.id] != h || token < c.token(h) {
		return false
	}
	c.markLost("host " + h.id + " has seen a higher token")
	return true
}

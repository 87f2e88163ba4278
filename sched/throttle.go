package sched

import (
	"context"
	"time"

	"rattanpath/lease"
	"rattanpath/pace"
)

// paceInterval is the time between two changes of the share of best-effort
// tasks. A change affects the tail latencies of the next half second.
const paceInterval = 700 * time.Millisecond

// unknownShare is the share of a run that a previous owner may have throttled.
const unknownShare = -1

// adjustPace adjusts the share of the best-effort tasks on a host to the tail
// latencies that it has just reported. c.mu must be held.
func (c *Cell) adjustPace(h *host, now time.Time) {
	bestEffort, tailLatencies := h.paceInputs()
	if bestEffort == 0 {
		h.share, h.imageShares, h.paceUrgent = pace.FullShare, nil, false
		return
	}
	if now.Sub(h.pacedAt) >= paceInterval {
		before := h.share
		h.share = pace.NextShare(h.share, tailLatencies)
		h.pacedAt = now
		if h.share != before {
			c.options.Metrics.PaceChanges.Inc()
			c.logger.Info("best-effort share changed", "host", h.id, "share", h.share, "before", before, "filling", bestEffort, "serving", len(tailLatencies))
		}
		c.adjustImageShares(h, tailLatencies, before)
	}
	for _, r := range h.runs {
		c.applyPace(h, r)
	}
}

// applyPace sets the share of a run if it is a best-effort one and has another. A run begins
// at full share, which would slow the serving tasks down until the next report. A command
// that reaches the host before the run has started has no effect.
func (c *Cell) applyPace(h *host, r *run) {
	if r.entry == nil || !r.entry.job.Step(r.id).Fills || r.startedBy == 0 || r.pacePending || r.stopping {
		return
	}
	if share := h.shareOf(r.entry.job.Step(r.id)); r.share != share {
		c.sendPace(h, r, share)
	}
}

// paceInputs returns the number of best-effort tasks on a host, and the tail
// latencies of the ready serving tasks on it that have a target.
func (h *host) paceInputs() (bestEffort int, tailLatencies []pace.TailLatency) {
	for _, r := range h.runs {
		if r.entry == nil {
			continue
		}
		switch {
		case r.entry.job.Step(r.id).Fills:
			bestEffort++
		case r.isReadyWithTarget():
			tailLatencies = append(tailLatencies, r.tailLatency())
		}
	}
	return bestEffort, tailLatencies
}

// sendPace sets the share of a run. If there is no reply, the command is
// repeated after the next report.
func (c *Cell) sendPace(h *host, r *run, share int) {
	r.pacePending = true
	command, info := lease.PaceCommand{Task: r.id, Run: r.number, Share: share, Token: c.token(h)}, h.info
	c.spawn(func(ctx context.Context) {
		reply, err := c.options.HostClient.Pace(ctx, info, command)
		c.mu.Lock()
		defer c.mu.Unlock()
		r.pacePending = false
		switch {
		case err != nil:
		case reply.Reason == lease.Accepted:
			r.share = share
		case reply.Reason == lease.RefusedFenced:
			c.handleFenced(h, command.Token)
		}
	})
}

package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanpath/coloc"
	"rattanpath/core"
	"rattanpath/pace"
	"rattanpath/place"
	"rattanpath/tasks"
	"rattanpath/views"
)

const (
	// evidenceInterval is the time between two updates of the evidence on interference:
	// hosts report half a second at a time.
	evidenceInterval = 500 * time.Millisecond
	// maxRelativeCPU is the CPU in use, as a multiple of what a task requests, beyond which
	// the figure of a host isn't believed.
	maxRelativeCPU = 16
)

// interference is what a cell has learned of images that slow each other down. It isn't
// stored: a new owner learns it anew within seconds.
type interference struct {
	estimator *coloc.Estimator
	evidence  coloc.Evidence
	// updatedAt is when the evidence was last updated, a local time.
	updatedAt time.Duration
}

// compareKinds orders kinds of tasks by image.
func compareKinds(a, b coloc.Kind) int {
	return cmp.Or(cmp.Compare(a.Image, b.Image), core.CompareBools(a.BestEffort, b.BestEffort))
}

// isReadyWithTarget reports whether the run is a serving task that is ready and has a limit
// for its response time.
func (r *run) isReadyWithTarget() bool {
	if r.entry == nil {
		return false
	}
	step := r.entry.job.Step(r.id)
	return step.Serves() && step.Target > 0 && r.percent >= fullPercent
}

// activity returns how active a run is, 1 at full speed: by the CPU that it uses, if its host
// reports that, or else by its share. It returns false if that isn't known.
func (r *run) activity(step *tasks.Step) (float64, bool) {
	switch {
	case step.Serves():
		return 1, true
	case r.load != 0 && step.Room.CPU > 0:
		relative := r.load / float64(step.Room.CPU)
		return relative, relative > 0 && relative <= maxRelativeCPU
	default:
		return float64(r.share) / pace.FullShare, r.share >= 0
	}
}

// activityAtFullShare returns the activity that a best-effort run would have at full share.
func (r *run) activityAtFullShare(step *tasks.Step) float64 {
	activity, known := r.activity(step)
	if !known || activity <= 0 || r.share <= 0 {
		return 1
	}
	return activity * pace.FullShare / float64(r.share)
}

// observeInterference records what the newest report of a host shows of the tasks that run
// side by side there. c.mu must be held.
func (c *Cell) observeInterference(h *host, now time.Duration) {
	if !h.hasVictim() {
		return
	}
	loads := make(map[coloc.Kind]float64)
	for _, r := range h.runs {
		if r.entry == nil || r.startedBy == 0 {
			continue
		}
		step := r.entry.job.Step(r.id)
		activity, known := r.activity(step)
		if !known {
			return
		}
		loads[place.KindOf(step)] += activity
	}
	for _, r := range h.runs {
		if r.isReadyWithTarget() {
			c.observeVictim(r, loads, now)
		}
	}
}

// hasVictim reports whether a run of the host has a tail latency from which something can be
// learned.
func (h *host) hasVictim() bool {
	for _, r := range h.runs {
		if r.isReadyWithTarget() && r.load > 0 && r.entry.job.Step(r.id).Image != "" {
			return true
		}
	}
	return false
}

// observeVictim records the tail latency of a serving task beside the loads of its host, of
// which it is a part itself.
func (c *Cell) observeVictim(r *run, loads map[coloc.Kind]float64, now time.Duration) {
	step := r.entry.job.Step(r.id)
	own := place.KindOf(step)
	var others []coloc.Load
	for kind, activity := range loads {
		if kind == own {
			activity--
		}
		if activity > 0 {
			others = append(others, coloc.Load{Kind: kind, Activity: activity})
		}
	}
	slices.SortFunc(others, func(a, b coloc.Load) int { return compareKinds(a.Kind, b.Kind) })
	tail := r.load * float64(time.Millisecond) / float64(step.Target)
	c.interference.estimator.Observe(now, step.Image, tail, others)
}

// updateEvidence updates what counts as known of interference, at a local time. c.mu must be
// held.
func (c *Cell) updateEvidence(now time.Duration) {
	learned := &c.interference
	if now-learned.updatedAt < evidenceInterval || learned.estimator.IsEmpty() {
		return
	}
	before := learned.evidence
	learned.updatedAt = now
	learned.evidence = coloc.Judge(learned.estimator.Estimates(now), before)
	for pair, finding := range learned.evidence {
		if finding.Verdict != before[pair].Verdict {
			c.options.Metrics.recordVerdict(finding.Verdict)
			c.logger.Info("interference learned", "serving", pair.Victim, "image", pair.Other.Image, "filling", pair.Other.BestEffort, "verdict", finding.Verdict.String(), "slowdown", round(finding.Estimate.Slowdown), "confidence", round(finding.Confidence()))
		}
	}
	for pair, finding := range before {
		if _, known := learned.evidence[pair]; !known {
			c.options.Metrics.recordVerdict(coloc.Unknown)
			c.logger.Info("interference no longer known", "serving", pair.Victim, "image", pair.Other.Image, "filling", pair.Other.BestEffort, "before", finding.Verdict.String(), "seen", (now - finding.Estimate.Seen).Round(time.Millisecond))
		}
	}
}

// round rounds a figure for logs and views.
func round(figure float64) float64 { return math.Round(figure*100) / 100 }

// viewInterference returns the pairs of which something is known.
func (c *Cell) viewInterference() []views.Interference {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	var all []views.Interference
	for pair, finding := range c.interference.evidence {
		all = append(all, views.Interference{
			Serving: pair.Victim, Image: pair.Other.Image, BestEffort: pair.Other.BestEffort,
			Verdict: finding.Verdict.String(), Slowdown: round(finding.Estimate.Slowdown),
			Confidence: round(finding.Confidence()), Age: now - finding.Estimate.Seen,
		})
	}
	slices.SortFunc(all, func(a, b views.Interference) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Image, b.Image), core.CompareBools(a.BestEffort, b.BestEffort))
	})
	return all
}

// paceGroup is the best-effort tasks of one image on a host.
type paceGroup struct {
	image string
	// atFullShare is the sum of the activities that they would have at full share.
	atFullShare float64
}

// paceGroups returns the best-effort tasks of a host by image.
func (h *host) paceGroups() []paceGroup {
	var groups []paceGroup
	for _, r := range h.runs {
		if r.entry == nil || !r.entry.job.Step(r.id).Fills {
			continue
		}
		step := r.entry.job.Step(r.id)
		i := slices.IndexFunc(groups, func(g paceGroup) bool { return g.image == step.Image })
		if i < 0 {
			i = len(groups)
			groups = append(groups, paceGroup{image: step.Image})
		}
		groups[i].atFullShare += r.activityAtFullShare(step)
	}
	slices.SortFunc(groups, func(a, b paceGroup) int { return cmp.Compare(a.image, b.image) })
	return groups
}

// toThrottleFor returns the serving tasks of a host that best-effort tasks are throttled for: those
// close to their targets, or else all.
func (h *host) toThrottleFor() []*run {
	var near, all []*run
	for _, r := range h.runs {
		if !r.isReadyWithTarget() {
			continue
		}
		all = append(all, r)
		if pace.IsNear(r.tailLatency()) {
			near = append(near, r)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// describe returns a group for the choice of its share: what is known of it is known for all
// of the given serving tasks.
func (c *Cell) describe(g paceGroup, share int, serving []*run) pace.Group {
	described := pace.Group{Share: share, Known: len(serving) > 0}
	for _, r := range serving {
		pair := coloc.Pair{Victim: r.entry.job.Step(r.id).Image, Other: coloc.Kind{Image: g.image, BestEffort: true}}
		finding := c.interference.evidence[pair]
		switch finding.Verdict {
		case coloc.Unknown:
			described.Known = false
		case coloc.Disturbs:
			described.Slowdown = max(described.Slowdown, finding.Estimate.Slowdown*g.atFullShare)
		}
	}
	return described
}

// adjustImageShares chooses the shares of the images of a host's best-effort tasks where
// something is known of one of them. h.share is the common share, which was before until now.
func (c *Cell) adjustImageShares(h *host, tailLatencies []pace.TailLatency, before int) {
	urgent := h.paceUrgent
	h.paceUrgent = pace.IsUrgent(tailLatencies)
	if len(c.interference.evidence) == 0 || len(tailLatencies) == 0 {
		h.imageShares = nil
		return
	}
	groups, serving := h.paceGroups(), h.toThrottleFor()
	described := make([]pace.Group, len(groups))
	anyKnown := false
	for i, g := range groups {
		share, chosen := h.imageShares[g.image]
		if !chosen {
			share = before
		}
		described[i] = c.describe(g, share, serving)
		anyKnown = anyKnown || described[i].Known
	}
	if !anyKnown {
		h.imageShares = nil
		return
	}
	shares := make(map[string]int, len(groups))
	for i, share := range pace.NextShares(described, tailLatencies, h.share, urgent) {
		shares[groups[i].image] = share
		if share != described[i].Share && described[i].Known {
			c.options.Metrics.PaceChanges.Inc()
			c.logger.Info("best-effort share of an image changed", "host", h.id, "image", groups[i].image, "share", share, "before", described[i].Share, "slowdown", round(described[i].Slowdown), "urgent", urgent)
		}
	}
	h.imageShares = shares
}

// shareOf returns the share of the best-effort tasks of a step on the host.
func (h *host) shareOf(step *tasks.Step) int {
	if share, chosen := h.imageShares[step.Image]; chosen {
		return share
	}
	return h.share
}

package place

import (
	"rattanpath/coloc"
	"rattanpath/tasks"
)

// Costs of a known disturbance. The least of them outweighs a pair of tasks of which nothing
// is known, and the worst two of these.
const (
	disturbanceCost = 2 * colocationCost
	// maxSlowdown is the slow-down, as a fraction of the target, beyond which more makes
	// no difference.
	maxSlowdown = 1.0
)

// taskGroup counts tasks of a host that have the same effect on others, and suffer the same.
type taskGroup struct {
	kind    coloc.Kind
	serving bool
	// hasTarget means that the serving tasks have a limit for their response time.
	hasTarget bool
	count     int
}

// KindOf returns the kind of the tasks of a step.
func KindOf(step *tasks.Step) coloc.Kind {
	return coloc.Kind{Image: step.Image, BestEffort: step.Fills}
}

// groupOf returns the group of a task of a step, which is alone in it.
func groupOf(step *tasks.Step) taskGroup {
	serving := step.Lasting && !step.Fills
	return taskGroup{kind: KindOf(step), serving: serving, hasTarget: serving && step.Target > 0, count: 1}
}

// countGroup counts a task of a step in its group.
func (h *Host) countGroup(step *tasks.Step) {
	added := groupOf(step)
	for i := range h.groups {
		if g := &h.groups[i]; g.kind == added.kind && g.serving == added.serving && g.hasTarget == added.hasTarget {
			g.count++
			return
		}
	}
	h.groups = append(h.groups, added)
}

// interferenceCost returns the cost of running a task beside those of a host. Without
// evidence, best-effort and serving tasks are kept apart, whatever their images are.
func interferenceCost(req Requirements, host *Host) float64 {
	step := req.Step
	cost := 0.0
	if len(req.Evidence) == 0 || !host.CountGroups {
		if step.Fills {
			cost += colocationCost * float64(host.ServingTasks)
		}
		if step.Target > 0 {
			cost += colocationCost * float64(host.BestEffortTasks)
		}
		return cost
	}
	own := KindOf(step)
	for _, g := range host.groups {
		if g.serving {
			unknown := 0.0
			if step.Fills {
				unknown = colocationCost
			}
			cost += float64(g.count) * pairCost(req.Evidence, g.hasTarget, coloc.Pair{Victim: g.kind.Image, Other: own}, unknown)
		}
		if step.Target > 0 {
			unknown := 0.0
			if g.kind.BestEffort {
				unknown = colocationCost
			}
			cost += float64(g.count) * pairCost(req.Evidence, true, coloc.Pair{Victim: step.Image, Other: g.kind}, unknown)
		}
	}
	return cost
}

// pairCost returns the cost of a serving task and one beside it, which is unknown if there is
// no evidence.
func pairCost(evidence coloc.Evidence, hasTarget bool, pair coloc.Pair, unknown float64) float64 {
	finding := evidence[pair]
	switch {
	case !hasTarget || finding.Verdict == coloc.Unknown:
		return unknown
	case finding.Verdict == coloc.Harmless:
		return 0
	default:
		return disturbanceCost * (1 + min(finding.Estimate.Slowdown, maxSlowdown))
	}
}

package place

import (
	"rattanpath/coloc"
	"rattanpath/tasks"
)

// Costs of a pair of tasks that is known to interfere. The smallest exceeds the cost of a pair
// without evidence, colocationCost; the largest is five times colocationCost.
const (
	disturbanceCost = 1.25 * colocationCost
	// maxSlowdown is the slow-down, as a fraction of the target, beyond which more makes
	// no difference.
	maxSlowdown = 3.0
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

// groupOf returns a group of one task of a step.
func groupOf(step *tasks.Step) taskGroup {
	serving := step.Serves()
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
func interferenceCost(req *Requirements, host *Host) float64 {
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
			pair := coloc.Pair{Victim: g.kind.Image, Other: own}
			cost += float64(g.count) * pairCost(req.Evidence, g.hasTarget, pair, unknown, host.slowdownOf(g.kind.Image, req.Evidence))
		}
		if step.Target > 0 {
			unknown := 0.0
			if g.kind.BestEffort {
				unknown = colocationCost
			}
			cost += float64(g.count) * pairCost(req.Evidence, true, coloc.Pair{Victim: step.Image, Other: g.kind}, unknown, 0)
		}
	}
	return cost
}

// slowdownOf returns by how much the tasks of the host are known to slow serving tasks of an
// image down already.
func (h *Host) slowdownOf(image string, evidence coloc.Evidence) float64 {
	sum := 0.0
	for _, g := range h.groups {
		if finding := evidence[coloc.Pair{Victim: image, Other: g.kind}]; finding.Verdict == coloc.Disturbs {
			sum += float64(g.count) * finding.Estimate.Slowdown
		}
	}
	return sum
}

// pairCost returns the cost of a serving task and one beside it, which is unknown if there is
// no evidence. before is by how much the serving task is slowed down already: one that is far
// from its target is disturbed less.
func pairCost(evidence coloc.Evidence, hasTarget bool, pair coloc.Pair, unknown, before float64) float64 {
	finding := evidence[pair]
	switch {
	case !hasTarget || finding.Verdict == coloc.Unknown:
		return unknown
	case finding.Verdict == coloc.Harmless:
		return 0
	default:
		return disturbanceCost * (1 + min(before+finding.Estimate.Slowdown, maxSlowdown))
	}
}

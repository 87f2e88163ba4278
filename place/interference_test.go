package place

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"rattanpath/coloc"
	"rattanpath/tasks"
)

// drawStep returns a step of one of few kinds.
func drawStep(t *rapid.T) *tasks.Step {
	step := &tasks.Step{Image: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "image"), Fills: rapid.Bool().Draw(t, "fills"), Lasting: rapid.Bool().Draw(t, "lasting")}
	if step.Lasting && rapid.Bool().Draw(t, "hasTarget") {
		step.Target = 100
	}
	return step
}

// referenceCost is the reference implementation of interferenceCost: it goes over all pairs of
// the task with others, one by one.
func referenceCost(evidence coloc.Evidence, step *tasks.Step, others []*tasks.Step) float64 {
	cost := 0.0
	find := func(victim, other *tasks.Step) coloc.Finding {
		return evidence[coloc.Pair{Victim: victim.Image, Other: coloc.Kind{Image: other.Image, BestEffort: other.Fills}}]
	}
	pair := func(victim, other *tasks.Step, before float64) {
		finding := find(victim, other)
		switch {
		case victim.Target > 0 && finding.Verdict == coloc.Disturbs:
			cost += 25 + 25*math.Min(3, before+finding.Estimate.Slowdown)
		case victim.Target > 0 && finding.Verdict == coloc.Harmless:
		case other.Fills:
			cost += 20
		}
	}
	for _, other := range others {
		if other.Lasting && !other.Fills {
			before := 0.0
			for _, third := range others {
				if finding := find(other, third); finding.Verdict == coloc.Disturbs {
					before += finding.Estimate.Slowdown
				}
			}
			pair(other, step, before)
		}
		if step.Target > 0 {
			pair(step, other, 0)
		}
	}
	return cost
}

// TestInterferenceCostMatchesReference compares the cost by groups with that of all pairs, and
// without evidence with the constant for each pair.
func TestInterferenceCostMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := make(coloc.Evidence)
		for range rapid.IntRange(0, 6).Draw(t, "pairs") {
			victim, other := drawStep(t), drawStep(t)
			evidence[coloc.Pair{Victim: victim.Image, Other: KindOf(other)}] = coloc.Finding{
				Verdict:  rapid.SampledFrom([]coloc.Verdict{coloc.Disturbs, coloc.Harmless}).Draw(t, "verdict"),
				Estimate: coloc.Estimate{Slowdown: rapid.Float64Range(0.05, 2).Draw(t, "slowdown")},
			}
		}
		counted, plain := &Host{CountGroups: true}, &Host{}
		var others []*tasks.Step
		for range rapid.IntRange(0, 8).Draw(t, "others") {
			other := drawStep(t)
			others = append(others, other)
			counted.CountTask(other)
			plain.CountTask(other)
		}
		step := drawStep(t)
		if got, want := interferenceCost(&Requirements{Step: step, Evidence: evidence}, counted), referenceCost(evidence, step, others); math.Abs(got-want) > 1e-9 {
			t.Fatalf("got cost %v, want %v", got, want)
		}
		constant := 0.0
		if step.Fills {
			constant += 20 * float64(plain.ServingTasks)
		}
		if step.Target > 0 {
			constant += 20 * float64(plain.BestEffortTasks)
		}
		for _, host := range []*Host{counted, plain} {
			if got := interferenceCost(&Requirements{Step: step}, host); got != constant {
				t.Fatalf("got cost %v without evidence, want %v", got, constant)
			}
		}
	})
}

// TestInterferenceOnlyRanksHosts guards against a task that waits because it would disturb
// others: evidence changes the order of hosts, and never whether one is feasible.
func TestInterferenceOnlyRanksHosts(t *testing.T) {
	best := &tasks.Step{Image: "loud", Fills: true}
	evidence := make(coloc.Evidence)
	hosts := make([]*Host, 3)
	for i, slowdown := range []float64{0.8, 0.2, 0.5} {
		serving := &tasks.Step{Image: fmt.Sprint("serve", i), Lasting: true, Target: 100}
		hosts[i] = &Host{ID: fmt.Sprint("h", i), CountGroups: true}
		hosts[i].CountTask(serving)
		evidence[coloc.Pair{Victim: serving.Image, Other: KindOf(best)}] = coloc.Finding{Verdict: coloc.Disturbs, Estimate: coloc.Estimate{Slowdown: slowdown}}
	}
	req := Requirements{Step: best, Evidence: evidence, SiblingsByHost: map[string]int{}}
	if got := Pick(req, hosts); got != hosts[1] {
		t.Errorf("got host %v, want the one that is disturbed least", got)
	}
	free := &Host{ID: "free", CountGroups: true, Capacity: tasks.Resources{CPU: 1000}, Free: tasks.Resources{CPU: 1000}}
	if got := Pick(req, append(hosts, free)); got != free {
		t.Errorf("got host %v, want the one without serving tasks", got)
	}
	if got := Pick(req, hosts[:1]); got != hosts[0] {
		t.Errorf("got host %v, want the only one", got)
	}
}

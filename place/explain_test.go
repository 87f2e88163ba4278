package place

import (
	"testing"

	"pgregory.net/rapid"

	"rattanpath/tasks"
)

// Guards against a reason that differs from the decision: each host is changed so that it fails
// exactly one requirement, and FirstObstacle must name that one.
func TestFirstObstacle(t *testing.T) {
	step := tasks.Step{Room: tasks.Resources{CPU: 1000}, Label: "a", MaxPerHost: 1}
	withoutCPU := tasks.Step{MaxPerHost: 1}
	tests := []struct {
		want   Obstacle
		change func(req *Requirements, host *Host)
	}{
		{NoObstacle, func(*Requirements, *Host) {}},
		{NoRoom, func(_ *Requirements, host *Host) { host.Free.CPU = 999 }},
		{NoLabel, func(_ *Requirements, host *Host) { host.Labels = []string{"b"} }},
		{NotAllowed, func(req *Requirements, _ *Host) { req.AllowedHosts = map[string]bool{"other": true} }},
		{TooManyWithoutCPU, func(req *Requirements, host *Host) { req.Step, host.TasksWithoutCPU = &withoutCPU, MaxTasksWithoutCPU }},
		{TooManySiblings, func(req *Requirements, _ *Host) { req.SiblingsByHost = map[string]int{"h": 1} }},
		{NotQuiet, func(req *Requirements, host *Host) { req.Isolated, host.QuietIn = true, 1 }},
		{ReservedHost, func(_ *Requirements, host *Host) { host.Reserved = true }},
	}
	for _, test := range tests {
		req := Requirements{Step: &step}
		host := &Host{ID: "h", Labels: []string{"a"}, Free: tasks.Resources{CPU: 1000}, Capacity: tasks.Resources{CPU: 1000}}
		test.change(&req, host)
		if got := FirstObstacle(req, host); got != test.want || Feasible(req, host) != (test.want == NoObstacle) {
			t.Errorf("got %q and feasible %t, want %q", got, Feasible(req, host), test.want)
		}
	}
}

// summedCost sums the costs one after the other, as Cost did before it had parts.
func summedCost(req Requirements, host *Host) float64 {
	cost := idleCPUShare(req.Step, host)
	if req.Isolated {
		cost = 1 - cost
	}
	switch probed := host.NeedsProbe && req.MayProbe && !req.Isolated && !req.LastAttempt; {
	case host.Slow && probed:
		cost -= probeGain
	case host.Slow:
		cost += slowHostCost
	}
	if req.Step.DataRack != "" && host.Rack != req.Step.DataRack {
		cost += remoteDataCost
	}
	if req.AvoidHost == host.ID {
		cost += avoidedHostCost
	}
	weight := recentFailureCost
	if req.LastAttempt {
		weight *= 2
	}
	cost += weight * float64(host.RecentFailures)
	if req.Step.Lasting {
		cost += siblingCost * float64(req.SiblingsByHost[host.ID])
	}
	return cost + interferenceCost(&req, host)
}

// Guards against parts whose sum differs from the sum by which hosts were ranked before, even in
// the last bit: ties would be decided otherwise.
func TestCostMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := &tasks.Step{
			Room:     tasks.Resources{CPU: rapid.Int64Range(0, 3000).Draw(t, "cpu")},
			DataRack: rapid.SampledFrom([]string{"", "r1-1"}).Draw(t, "dataRack"),
			Lasting:  rapid.Bool().Draw(t, "lasting"), Fills: rapid.Bool().Draw(t, "fills"),
		}
		req := Requirements{Step: step, AvoidHost: "h0", SiblingsByHost: map[string]int{"h1": 2}}
		req.MayProbe = rapid.Bool().Draw(t, "mayProbe")
		req.LastAttempt, req.Isolated = rapid.Bool().Draw(t, "lastAttempt"), rapid.Bool().Draw(t, "isolated")
		for _, host := range generateHosts(t) {
			if got, want := Cost(req, host), summedCost(req, host); got != want {
				t.Fatalf("got cost %v of %+v, want %v", got, host, want)
			}
		}
	})
}

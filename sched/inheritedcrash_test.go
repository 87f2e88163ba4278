package sched

import (
	"fmt"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// Guards against runs of a previous owner that count as just started when their host has answered
// the new owner once, and is lost or can't be reached right after that: their tasks then start
// again one after the other, each alone on a host.
func TestLossAfterTakeoverIsNoCrash(t *testing.T) {
	lose := func(tc *testCluster, n *node, host string) {
		incarnation := tc.runners[host].Info().Incarnation
		tc.runners[host].Crash()
		if err := n.cell.Retire([]RetiredHost{{ID: host, Incarnation: incarnation, Unordered: true}}); err != nil {
			tc.t.Fatal(err)
		}
	}
	// The host lives, and its runs end when the lease expires.
	cutOff := func(tc *testCluster, _ *node, host string) {
		tc.runners[host].SetUnresponsive(true)
		time.Sleep(maxLease)
	}
	tests := []struct {
		name     string
		takeover bool
		fault    func(tc *testCluster, n *node, host string)
	}{
		{"host lost", false, lose},
		{"host lost after a takeover", true, lose},
		{"host cut off", false, cutOff},
		{"host cut off after a takeover", true, cutOff},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) { tc.checkRestarts(test.takeover, test.fault) })
		})
	}
}

// checkRestarts injects a fault of a host with many serving tasks that have run for long, at once
// or right after a takeover, and checks that all of them run again in time.
func (tc *testCluster) checkRestarts(takeover bool, fault func(tc *testCluster, n *node, host string)) {
	const (
		jobs = 48
		// maxGap is how long a serving task may be without a run.
		maxGap = 9 * time.Second
	)
	tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	n := tc.claim("a")
	time.Sleep(100 * time.Millisecond)
	for i := range jobs {
		tc.mustSubmit(n, fmt.Sprint("job", i), servingPlan(1, 50))
	}
	time.Sleep(10 * time.Second)
	host := n.hostOf("job0", 0)
	if takeover {
		tc.kill(n)
		time.Sleep(time.Second)
		n = tc.claim("b")
		time.Sleep(100 * time.Millisecond)
	}
	fault(tc, n, host)
	time.Sleep(maxGap)
	without := 0
	for i := range jobs {
		if tc.checker.ActiveRuns(tasks.ID{Job: fmt.Sprint("job", i)}) == 0 {
			without++
		}
	}
	if without > 0 {
		tc.t.Errorf("got %d serving tasks without a run %s after their runs ended, want 0", without, maxGap)
	}
}

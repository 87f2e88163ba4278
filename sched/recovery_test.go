package sched

import (
	"slices"
	"sync"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// Guards against work that was started and then waits, after an outage of the store, for work
// that wasn't: its first part is wasted if the rest comes too late. Without an outage, a late
// job yields to one that can still meet its objective.
func TestStartedWorkGoesFirstAfterOutage(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		want   []string
	}{
		{"outage", 2 * time.Second, []string{"started", "started", "in time", "late"}},
		{"no outage", 0, []string{"started", "in time", "started", "late"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 1, func(tc *testCluster) {
				var mu sync.Mutex
				var starts []string
				tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
					mu.Lock()
					defer mu.Unlock()
					starts = append(starts, taskID.Job)
					return fake.RunProfile{Duration: 1800 * time.Millisecond}
				}
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				// Each task takes the whole host. The first one ends during the outage.
				tc.policy.Target = 100 * time.Millisecond
				started := simplePlan(1, hostCPU)
				started.Steps = append(started.Steps, tasks.Step{Count: 1, Room: tasks.Resources{CPU: hostCPU}, After: []int{0}, Estimate: 500 * time.Millisecond})
				tc.mustSubmit(n, "started", started)
				tc.mustSubmit(n, "late", simplePlan(1, hostCPU))
				tc.policy.Target = time.Minute
				tc.mustSubmit(n, "in time", simplePlan(1, hostCPU))
				time.Sleep(300 * time.Millisecond)
				tc.store.SetFailure("a", fake.Rejecting)
				time.Sleep(test.outage)
				tc.store.SetFailure("a", fake.NoFailure)
				time.Sleep(9 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				if !slices.Equal(starts, test.want) {
					t.Errorf("got starts of %v, want %v", starts, test.want)
				}
			})
		})
	}
}

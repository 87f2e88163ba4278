package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestUnplacedServingTasksAreReported guards against a pool that isn't enlarged for a serving task
// which waits although hosts are idle, or is to be stopped for maintenance: the planner must know that no
// host can take it.
func TestUnplacedServingTasksAreReported(t *testing.T) {
	batch := simplePlan(1, 2*hostCPU)
	tests := []struct {
		name string
		plan tasks.Plan
		// silent cuts h0 off from the store, and vacated vacates the host of a task.
		silent, vacated bool
		want            int
	}{
		{"each host takes one", servingPlan(3, 1000), false, false, 0},
		{"each host has a sibling", servingPlan(5, 1000), false, false, 2},
		{"hosts are too small", servingPlan(2, 2*hostCPU), false, false, 2},
		{"hosts are too small for a batch task", batch, false, false, 0},
		{"one host is cut off from the store", servingPlan(3, 1000), true, false, 1},
		{"one host is vacated, others have siblings", servingPlan(3, 1000), false, true, 1},
		{"one host is vacated, others can take its task", servingPlan(1, 1000), false, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 3, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Minute} }
				n := tc.claim("a")
				tc.runners["h0"].SetSilent(test.silent)
				time.Sleep(fake.CapacityGrace + time.Second)
				tc.mustSubmit(n, "job", test.plan)
				time.Sleep(500 * time.Millisecond)
				if test.vacated {
					if _, err := n.cell.Cordon([]string{n.hostOf("job", 0)}, 4*time.Second, true); err != nil {
						t.Fatal(err)
					}
				}
				report, err := n.cell.Report()
				if err != nil || report.Unplaced != test.want {
					t.Errorf("got %d tasks that no host can take and error %v, want %d", report.Unplaced, err, test.want)
				}
			})
		})
	}
}

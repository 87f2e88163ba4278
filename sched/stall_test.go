package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// planWithEstimate returns a plan with one step and an estimate of its run time.
func planWithEstimate(count int, estimate time.Duration) tasks.Plan {
	plan := simplePlan(count, 1000)
	plan.Steps[0].Estimate = estimate
	return plan
}

// Guards against a task of minutes that is stopped as stalled again and again, and never done,
// because its caller gave no estimate or one that is far too low.
func TestLongRunWithoutUsefulEstimateIsDone(t *testing.T) {
	const duration = 8 * time.Minute
	tests := []struct {
		name     string
		estimate time.Duration
		profile  fake.RunProfile
		count    int
		takeover bool
	}{
		{"no estimate", 0, fake.RunProfile{Duration: duration}, 1, false},
		{"low estimate", 500 * time.Millisecond, fake.RunProfile{Duration: duration}, 1, false},
		{"several tasks", 500 * time.Millisecond, fake.RunProfile{Duration: duration}, 4, false},
		{"no progress reported", 0, fake.RunProfile{Duration: duration, Silent: true}, 2, false},
		{"new owner", 500 * time.Millisecond, fake.RunProfile{Duration: duration}, 2, true},
		{"new owner, no progress reported", 0, fake.RunProfile{Duration: duration, Silent: true}, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return test.profile }
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.mustSubmit(n, "job", planWithEstimate(test.count, test.estimate))
				time.Sleep(duration/2 + 1100*time.Millisecond)
				if test.takeover {
					n.stop()
					n = tc.claim("b")
				}
				time.Sleep(duration/2 + 2*time.Second)
				tc.wantPhase(n, "job", tasks.Completed)
				if got := tc.checker.Starts(); got != test.count {
					t.Errorf("got %d starts, want %d", got, test.count)
				}
			})
		})
	}
}

// silentFirstRun makes the first run of the first task of a job hang without progress.
func silentFirstRun(job string) func(tasks.ID, int) fake.RunProfile {
	return func(taskID tasks.ID, run int) fake.RunProfile {
		if taskID.Job == job && taskID.Index == 0 && run == 1 {
			return fake.RunProfile{Duration: time.Hour, Silent: true}
		}
		return fake.RunProfile{Duration: 500 * time.Millisecond}
	}
}

// Guards against a run that hangs from its start and isn't found although the queue's runs
// with such an estimate, or the others of its step, show that it should have advanced.
func TestHangingRunOfKnownKindIsMoved(t *testing.T) {
	for _, estimate := range []time.Duration{0, 500 * time.Millisecond} {
		runCluster(t, 2, func(tc *testCluster) {
			tc.profileOf = silentFirstRun("hanging")
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			tc.mustSubmit(n, "before", planWithEstimate(1, estimate))
			time.Sleep(2 * time.Second)
			tc.mustSubmit(n, "hanging", planWithEstimate(1, estimate))
			time.Sleep(5 * time.Second)
			tc.wantPhase(n, "hanging", tasks.Completed)
		})
		runCluster(t, 2, func(tc *testCluster) {
			tc.profileOf = silentFirstRun("hanging")
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			tc.mustSubmit(n, "hanging", planWithEstimate(6, estimate))
			time.Sleep(5 * time.Second)
			tc.wantPhase(n, "hanging", tasks.Completed)
		})
	}
}

// Guards against a long task in a queue whose other tasks are short: the first run may be taken
// for stalled, but not every further one.
func TestLongRunAmongShortOnesIsDone(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "long" {
				return fake.RunProfile{Duration: 4 * time.Minute, Silent: true}
			}
			return fake.RunProfile{Duration: 500 * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "short", simplePlan(4, 1000))
		time.Sleep(2 * time.Second)
		tc.mustSubmit(n, "long", simplePlan(1, 1000))
		time.Sleep(7 * time.Minute)
		tc.wantPhase(n, "long", tasks.Completed)
	})
}

// Guards against a serving task that starts up slowly and is stopped before it is ready, at
// each try.
func TestSlowServingTaskGetsReady(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile {
			return fake.RunProfile{Serving: true, StartupTime: 8 * time.Minute}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "serve", servingPlan(1, 1000))
		time.Sleep(9 * time.Minute)
		detail, err := n.cell.Explain("serve")
		if err != nil || detail.Tasks[0].Percent != fullPercent {
			t.Errorf("got %+v and error %v, want a task that is ready", detail.Tasks, err)
		}
	})
}

package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestAdvisorLimitsHosts runs tasks on the few hosts that the advisor allows,
// with tickets that expire soon.
func TestAdvisorLimitsHosts(t *testing.T) {
	runCluster(t, 8, func(tc *testCluster) {
		tc.useAdvisor(&fake.Advisor{
			Allows:    func(host string) bool { return host == "h5" || host == "h6" },
			Latency:   40 * time.Millisecond,
			TicketTTL: 600 * time.Millisecond,
		})
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simplePlan(40, 2000)
		plan.Steps = append(plan.Steps, tasks.Step{Count: 2, Room: tasks.Resources{CPU: 500}, After: []int{0}})
		if err := tc.submit(n, "job", plan); err != nil {
			t.Fatal(err)
		}
		// 40 tasks of 0.5 s, 8 at a time, in 5 waves, and the second step.
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
		if got := tc.checker.InvalidTickets(); got != 0 {
			t.Errorf("got %d starts without a valid ticket, want 0", got)
		}
		if got := tc.advisor.Queries(); got > 14 {
			t.Errorf("got %d queries for tickets valid for 0.6 s, want at most 14 in 3 s", got)
		}
	})
}

// TestAdvisorTimeoutIsRetried runs a job while the advisor doesn't respond: it
// must start once the advisor does.
func TestAdvisorTimeoutIsRetried(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.useAdvisor(&fake.Advisor{Allows: func(string) bool { return true }, Latency: time.Hour, TicketTTL: time.Minute})
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "job", tasks.Open)
		tc.advisor.SetLatency(time.Millisecond)
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestBestEffortTasksAreThrottled runs best-effort tasks on the host of a serving
// task, whose tail latency may exceed its target for a short time only. The
// best-effort tasks must still make progress.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	const target = 100 * time.Millisecond
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "fill" {
				return fake.RunProfile{Duration: time.Minute, Interference: 1}
			}
			return fake.RunProfile{Serving: true, TailLatency: func(interference float64) time.Duration {
				return 50*time.Millisecond + time.Duration(interference*float64(60*time.Millisecond))
			}}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		servingJob, bestEffortJob := servingPlan(1, 1000), simplePlan(3, 1000)
		servingJob.Steps[0].Target = target
		bestEffortJob.Steps[0].Fills = true
		if err := tc.submit(n, "serve", servingJob); err != nil {
			t.Fatal(err)
		}
		if err := tc.submit(n, "fill", bestEffortJob); err != nil {
			t.Fatal(err)
		}
		servingTask := tasks.ID{Job: "serve"}
		time.Sleep(time.Second)
		if got := tc.runners["h0"].TailLatency(servingTask); got <= target {
			t.Fatalf("got a tail latency of %v at first, want more than %v", got, target)
		}
		time.Sleep(3 * time.Second)
		for range 60 {
			if got := tc.runners["h0"].TailLatency(servingTask); got > target {
				t.Fatalf("got a tail latency of %v after 4 s, want at most %v", got, target)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if got := tc.runners["h0"].TailLatency(servingTask); got <= 50*time.Millisecond {
			t.Errorf("got a tail latency of %v, want more than 50ms since best-effort tasks run", got)
		}
		// The new owner doesn't know the share at which they run.
		tc.claim("b")
		time.Sleep(4 * time.Second)
		if got := tc.runners["h0"].TailLatency(servingTask); got > target {
			t.Errorf("got a tail latency of %v 4 s after a takeover, want at most %v", got, target)
		}
	})
}

// TestStalledRunsAreMoved stalls every run on one host: the tasks must finish
// elsewhere, and later tasks must avoid the host while others have capacity.
func TestStalledRunsAreMoved(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.stallingHost = "h0"
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"one", "two"} {
			if err := tc.submit(n, id, simplePlan(12, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			tc.wantPhase(n, id, tasks.Completed)
		}
		if got := tc.checker.Ends(tasks.EndStopped); got == 0 || got > 8 {
			t.Errorf("got %d runs stopped, want some of the first job, and at most the 8 that the host has capacity for", got)
		}
	})
}

// TestIsStalled checks after what time without progress a run counts as
// stalled.
func TestIsStalled(t *testing.T) {
	tests := []struct {
		name string
		run  progress
		want bool
	}{
		{"advancing", progress{percent: 40, active: 400 * time.Millisecond, idle: 200 * time.Millisecond, estimate: time.Second}, false},
		{"short run stalled", progress{percent: 40, active: 400 * time.Millisecond, idle: 1600 * time.Millisecond, estimate: time.Second}, true},
		{"long run advancing at one percent per second", progress{percent: 10, active: 10 * time.Second, idle: 5 * time.Second, estimate: time.Second}, false},
		{"long run stalled", progress{percent: 10, active: 10 * time.Second, idle: 9 * time.Second, estimate: time.Second}, true},
		{"long estimate without progress yet", progress{idle: 5 * time.Second, estimate: 100 * time.Second}, false},
		{"run of unknown kind without an estimate", progress{idle: 5 * time.Minute}, false},
		{"run of unknown kind with a low estimate", progress{idle: 5 * time.Minute, estimate: time.Second}, false},
		{"run of unknown kind for too long", progress{idle: 11 * time.Minute, estimate: time.Second}, true},
		{"run of a short kind", progress{idle: 1600 * time.Millisecond, estimate: time.Second, observed: time.Second}, true},
		{"run of a long kind", progress{idle: 5 * time.Second, estimate: time.Second, observed: 100 * time.Second}, false},
		{"run of a long kind stalled", progress{idle: 9 * time.Second, estimate: time.Second, observed: 100 * time.Second}, true},
		{"task that stalled before", progress{idle: 5 * time.Second, observed: time.Second, stalls: 1}, false},
		{"task that stalled before, again", progress{idle: 7 * time.Second, observed: time.Second, stalls: 1}, true},
		{"serving task that doesn't get ready", progress{idle: 1600 * time.Millisecond, lasting: true}, true},
		{"inherited run, its pace unknown", progress{percent: 51, base: 50, active: 50 * time.Millisecond, idle: 5 * time.Second, estimate: time.Second}, false},
		{"inherited slow run", progress{percent: 52, base: 50, active: 2 * time.Second, idle: 15 * time.Second, estimate: time.Second}, false},
		{"inherited slow run stalled", progress{percent: 52, base: 50, active: 2 * time.Second, idle: 17 * time.Second, estimate: time.Second}, true},
		{"ready serving task", progress{percent: 100, idle: time.Hour, estimate: time.Second}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.run.isStalled(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

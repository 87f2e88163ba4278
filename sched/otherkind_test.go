package sched

import (
	"fmt"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// labelledPlan returns a plan whose tasks require a label.
func labelledPlan(count int, cpu int64, label string) tasks.Plan {
	plan := simplePlan(count, cpu)
	plan.Steps[0].Label = label
	return plan
}

// otherKinds are what the host of these tests may be after its restart: it can't run the tasks then.
var otherKinds = map[string]struct {
	labels   []string
	capacity tasks.Resources
}{
	"without the label": {[]string{"b", "r1-h0"}, cpu(hostCPU)},
	"too small":         {[]string{"a", "r1-h0"}, cpu(500)},
}

// Guards against a start on a host that lacks the label or the capacity: the run was assigned to its
// former incarnation, and waited for the store while the host started again as another kind.
func TestPlannedStartIsNotForNextIncarnation(t *testing.T) {
	for name, kind := range otherKinds {
		for downFor := 50 * time.Millisecond; downFor <= 800*time.Millisecond; downFor *= 2 {
			t.Run(fmt.Sprint(name, " after ", downFor), func(t *testing.T) {
				runCluster(t, 1, func(tc *testCluster) {
					n := tc.claim("a")
					time.Sleep(5 * time.Second)
					// The owner calls the host because of this one.
					tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Minute} }
					tc.mustSubmit(n, "other", simplePlan(1, 100))
					time.Sleep(time.Second)
					starts := tc.checker.Starts()
					tc.store.SetFailure("a", fake.Unresponsive)
					accepted := make(chan error, 1)
					go func() { accepted <- tc.submit(n, "job", labelledPlan(2, 1000, "a")) }()
					time.Sleep(100 * time.Millisecond)
					tc.runners["h0"].Crash()
					time.Sleep(downFor)
					tc.runners["h0"].RestartAs(kind.labels, kind.capacity)
					time.Sleep(600 * time.Millisecond)
					tc.store.SetFailure("a", fake.NoFailure)
					time.Sleep(2500 * time.Millisecond)
					// The job of one task of 100 may start again.
					if got := tc.checker.Starts() - starts; got > 1 {
						t.Errorf("got %d starts on the next incarnation of the host, want at most that of the other job", got)
					}
					tc.runners["h0"].Crash()
					tc.runners["h0"].RestartAs([]string{"a", "r1-h0"}, cpu(hostCPU))
					if <-accepted != nil {
						tc.mustSubmit(n, "job", labelledPlan(2, 1000, "a"))
					}
					time.Sleep(15 * time.Second)
					if got := tc.checker.ActiveRuns(tasks.ID{Job: "job"}); got != 1 {
						t.Errorf("got %d runs once the host can run the task, want 1", got)
					}
				})
			})
		}
	}
}

// Guards against the same where an idle host, which the owner doesn't call, has refused a connection: it
// must answer before it gets another start.
func TestStartWithoutConnectionIsNotForNextIncarnation(t *testing.T) {
	for name, kind := range otherKinds {
		for downFor := 300 * time.Millisecond; downFor <= 2*time.Second; downFor += 50 * time.Millisecond {
			t.Run(fmt.Sprint(name, " after ", downFor), func(t *testing.T) {
				runCluster(t, 1, func(tc *testCluster) {
					n := tc.claim("a")
					// Between two looks whether a heartbeat is due.
					time.Sleep(5*time.Second + heartbeatWait/2)
					tc.runners["h0"].Crash()
					// Its next incarnation writes its first record later.
					tc.runners["h0"].SetSilent(true)
					time.AfterFunc(downFor+time.Second, func() { tc.runners["h0"].SetSilent(false) })
					tc.mustSubmit(n, "job", labelledPlan(1, 1000, "a"))
					time.Sleep(downFor)
					tc.runners["h0"].RestartAs(kind.labels, kind.capacity)
					time.Sleep(4 * time.Second)
					if got := tc.checker.Starts(); got > 0 {
						t.Errorf("got %d starts on the next incarnation of the host, want none", got)
					}
					tc.runners["h0"].Crash()
					tc.runners["h0"].RestartAs([]string{"a", "r1-h0"}, cpu(hostCPU))
					time.Sleep(8 * time.Second)
					tc.wantPhase(n, "job", tasks.Completed)
				})
			})
		}
	}
}

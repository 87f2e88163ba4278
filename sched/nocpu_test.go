package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/place"
	"rattanpath/tasks"
)

// Guards against a job that is accepted and never started because its tasks request memory
// only, or nothing at all: it has no backlog of CPU time.
func TestTasksWithoutCPUAreStarted(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "memory", simplePlan(4, 0))
		nothing := simplePlan(4, 0)
		nothing.Steps[0].Room = tasks.Resources{}
		tc.mustSubmit(n, "nothing", nothing)
		later := simplePlan(2, 1000)
		later.Steps = append(later.Steps, tasks.Step{Count: 2, Room: tasks.Resources{MemMB: 100}, After: []int{0}})
		tc.mustSubmit(n, "later", later)
		time.Sleep(3 * time.Second)
		for _, id := range []string{"memory", "nothing", "later"} {
			tc.wantPhase(n, id, tasks.Completed)
		}
	})
}

// Guards against a pool that gets no machines, and is taken for one with hosts to spare, while tasks
// that request no CPU wait. Best-effort tasks use what is left and aren't counted.
func TestWaitingTasksWithoutCPUAreReported(t *testing.T) {
	for name, step := range map[string]tasks.Step{
		"GPU":         {Room: tasks.Resources{GPU: 1}},
		"nothing":     {Label: "none"},
		"best-effort": {Label: "none", Fills: true, Room: tasks.Resources{MemMB: 10}},
	} {
		runCluster(t, 2, func(tc *testCluster) {
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			step.Count = 3
			tc.mustSubmit(n, "job", tasks.Plan{Steps: []tasks.Step{step}})
			time.Sleep(time.Second)
			report, err := n.cell.Report()
			if want := name != "best-effort"; err != nil || report.IsShort() != want {
				t.Errorf("%s: got %d waiting tasks and error %v, want the pool short of hosts: %t", name, report.WaitingTasks, err, want)
			}
		})
	}
}

// Guards against a host that is given any number of tasks because nothing that they request
// runs out.
func TestTasksWithoutCPUAreBoundedPerHost(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 5 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simplePlan(place.MaxTasksWithoutCPU+10, 0)
		plan.Steps[0].Room = tasks.Resources{}
		plan.Steps[0].Estimate = 5 * time.Second
		tc.mustSubmit(n, "job", plan)
		time.Sleep(4500 * time.Millisecond)
		if got, want := tc.checker.Starts(), place.MaxTasksWithoutCPU; got != want {
			t.Errorf("got %d starts on the host at first, want %d", got, want)
		}
		detail, err := n.cell.Explain("job")
		if want := "each host has as many tasks without CPU as it may"; err != nil || detail.Why != want {
			t.Errorf("got reason %q and error %v for the others, want %q", detail.Why, err, want)
		}
		time.Sleep(10 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// Guards against a job that has nothing running, or a serving task without a run, because other
// tasks that request no CPU are as many on each host as they may be.
func TestJobWithoutCPUIsNotHeldUpByOthers(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(id tasks.ID, _ int) fake.RunProfile {
			if id.Job == "job" {
				return fake.RunProfile{Duration: time.Second}
			}
			return fake.RunProfile{Duration: time.Minute}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		many := simplePlan(place.MaxTasksWithoutCPU+10, 0)
		many.Steps[0].Room, many.Steps[0].Estimate = tasks.Resources{}, time.Minute
		tc.mustSubmit(n, "many", many)
		time.Sleep(4500 * time.Millisecond)
		tc.mustSubmit(n, "job", simplePlan(3, 0))
		serving := simplePlan(2, 0)
		serving.Steps[0].Lasting = true
		tc.mustSubmit(n, "serving", serving)
		time.Sleep(6 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
		if got, want := tc.checker.Starts(), place.MaxTasksWithoutCPU+5; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

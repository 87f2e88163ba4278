package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/sink"
	"rattanpath/tasks"
)

// TestServingRunsAreLoggedInCrowd guards against a serving task of which no line tells that it was
// assigned, lost or ended, because more runs of other tasks than the limit of a message were
// assigned and ended in the same second.
func TestServingRunsAreLoggedInCrowd(t *testing.T) {
	const crowd = 800
	runCluster(t, 4, func(tc *testCluster) {
		log := tc.useServingTasks()
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			return fake.RunProfile{Duration: 300 * time.Millisecond, Serving: taskID.Job == "job"}
		}
		writer := sink.New(log)
		defer writer.Close()
		tc.configure = func(o *Options) { o.Logger = writer.Logger("a") }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "crowd", simplePlan(crowd, 1)); err != nil {
			tc.t.Fatal(err)
		}
		if err := tc.submit(n, "job", servingPlan(2, 100)); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if err := tc.submit(n, "crowd2", simplePlan(crowd, 1)); err != nil {
			tc.t.Fatal(err)
		}
		if _, err := n.cell.Cordon([]string{n.hostOf("job", 1)}, time.Minute, true); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		tc.lose(n, 0)
		time.Sleep(3 * time.Second)
		if got := log.lines("log lines dropped"); len(got) == 0 {
			tc.t.Error("got no dropped lines, want some of the crowd")
		}
		for message, want := range map[string]int{"run assigned": 4, "run lost": 1, "run ended": 1} {
			got := 0
			for _, line := range log.lines(message) {
				if line["job"] == "job" && line["serving"] == "true" {
					got++
				}
			}
			if got != want {
				tc.t.Errorf("got %d lines %q of the serving tasks, want %d", got, message, want)
			}
		}
	})
}

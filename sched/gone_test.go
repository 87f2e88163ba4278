package sched

import (
	"slices"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// Guards against a task that waits for the leases on a host that is gone, and against a crash that
// isn't counted because the host is reported as gone before its lease has expired.
func TestRunsOfGoneHostStartElsewhere(t *testing.T) {
	tests := []struct {
		name string
		// lifetime is how long the run lasts before its host crashes.
		lifetime time.Duration
		crashes  int
	}{
		{"right after the start", 100 * time.Millisecond, 1},
		{"later", 4 * time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.mustSubmit(n, "job", servingPlan(1, 1000))
				time.Sleep(test.lifetime)
				host := n.hostOf("job", 0)
				incarnation := tc.runners[host].Info().Incarnation
				tc.runners[host].Crash()
				if err := n.cell.Retire([]RetiredHost{{ID: host, Incarnation: incarnation, Unordered: true}}); err != nil {
					t.Fatal(err)
				}
				// A run that goes on for longer clears the count.
				time.Sleep(300 * time.Millisecond)
				if got := n.crashesOf(tasks.ID{Job: "job"}); got != test.crashes {
					t.Errorf("got %d crashes, want %d", got, test.crashes)
				}
				time.Sleep(time.Second)
				if got := n.hostOf("job", 0); got == host || got == "" {
					t.Errorf("got the task on host %q after %q was reported as gone, want it on the other one", got, host)
				}
			})
		})
	}
}

// Guards against an owner that gives up runs because a report that their host is gone is wrong or
// about an earlier incarnation, while the host answers.
func TestReportedHostThatAnswersKeepsItsRuns(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "job", servingPlan(2, 1000))
		time.Sleep(time.Second)
		info := tc.runners["h0"].Info()
		for _, incarnation := range []int64{info.Incarnation, info.Incarnation - 1} {
			if err := n.cell.Retire([]RetiredHost{{ID: info.ID, Incarnation: incarnation, Unordered: true}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(8 * time.Second)
		}
		if got := tc.checker.Starts(); got != 2 {
			t.Errorf("got %d starts of 2 tasks, want 2", got)
		}
	})
}

// Guards against a new owner that doesn't tell the machine controller on which hosts it can't reach
// the runs of a previous one, so that nobody looks whether these hosts still exist.
func TestUnrecordedHostsAreReported(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "job", servingPlan(2, 1000))
		time.Sleep(time.Second)
		host := n.hostOf("job", 0)
		want := []UnrecordedHost{{host, tc.runners[host].Info().Incarnation}}
		tc.store.SetFailure("a", fake.Unresponsive)
		n.stop()
		tc.runners[host].Crash()
		next := tc.claimWithout("b", host)
		time.Sleep(500 * time.Millisecond)
		report, err := next.cell.Report()
		if err != nil || !slices.Equal(report.Unrecorded, want) {
			t.Errorf("got unrecorded hosts %v and error %v, want %v", report.Unrecorded, err, want)
		}
		if err := next.cell.Retire([]RetiredHost{{ID: host, Incarnation: want[0].Incarnation, Unordered: true}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := next.hostOf("job", 0); got == host || got == "" {
			t.Errorf("got the task on host %q a second after %q was reported as gone, want it on another one", got, host)
		}
		if got := next.crashesOf(tasks.ID{Job: "job"}); got != 0 {
			t.Errorf("got %d crashes for a run of a previous owner, want 0", got)
		}
	})
}

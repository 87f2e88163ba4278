package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestStalledRunIsRestartedAfterTakeover guards against a task that stands still for minutes because
// its owner was lost: the next one doesn't know how long each percent took.
func TestStalledRunIsRestartedAfterTakeover(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		runCluster(t, 2, func(tc *testCluster) {
			tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 2 * time.Second} }
			first := true
			tc.profileOn = func(_ string, _ tasks.ID, profile fake.RunProfile) fake.RunProfile {
				profile.Stalls = first
				first = false
				return profile
			}
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
				t.Fatal(err)
			}
			submitted := time.Now()
			time.Sleep(1500 * time.Millisecond)
			if takeover {
				tc.kill(n)
				time.Sleep(2500 * time.Millisecond)
				tc.claim("b")
			}
			for tc.checker.Starts() < 2 && time.Since(submitted) < 20*time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("takeover %t: restarted %v after it was submitted", takeover, time.Since(submitted))
			if took := time.Since(submitted); took > 30*time.Second {
				t.Errorf("got the stalled run restarted after %v with a takeover (%t), want at most 30s", took, takeover)
			}
		})
	}
}

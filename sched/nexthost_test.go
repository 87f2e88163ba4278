package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestEvictedServingTaskHasNextHost guards against a serving task that is stopped for maintenance and
// then waits, since no other host can take it: each has a sibling or no room.
func TestEvictedServingTaskHasNextHost(t *testing.T) {
	const beforeDelay, afterDelay = servingEvictionDelay - 500*time.Millisecond, servingEvictionDelay + 500*time.Millisecond
	tests := []struct {
		name string
		// jobs have a task on each of three hosts. spare is the CPU of the fourth, and grown what
		// it has from 1.5 s after the cordon on.
		jobs         []string
		spare, grown int64
		// want is the number of tasks stopped by a time after the cordon.
		want map[time.Duration]int
	}{
		{"host has room", []string{"a"}, hostCPU, hostCPU, map[time.Duration]int{500 * time.Millisecond: 1}},
		{"no host", []string{"a"}, 1000, 1000, map[time.Duration]int{beforeDelay: 0, afterDelay: 1}},
		{"host gets room", []string{"a"}, 1000, hostCPU, map[time.Duration]int{time.Second: 0, beforeDelay: 1}},
		{"host has room for one of two", []string{"a", "b"}, 4000, 4000, map[time.Duration]int{500 * time.Millisecond: 1, beforeDelay: 1, afterDelay: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 4, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
				tc.runners["h3"].SetCapacity(cpu(test.spare))
				n := tc.claim("owner")
				time.Sleep(fake.CapacityGrace)
				if _, err := n.cell.Cordon([]string{"h3"}, 500*time.Millisecond, false); err != nil {
					t.Fatal(err)
				}
				for _, id := range test.jobs {
					tc.mustSubmit(n, id, servingPlan(3, 3500))
				}
				time.Sleep(time.Second)
				start := time.Now()
				for time.Since(start) < afterDelay+100*time.Millisecond {
					if _, err := n.cell.Cordon([]string{"h0"}, time.Second, true); err != nil {
						t.Fatal(err)
					}
					time.Sleep(100 * time.Millisecond)
					if want, check := test.want[time.Since(start)]; check {
						if got := tc.checker.Ends(tasks.EndStopped); got != want {
							t.Errorf("got %d tasks stopped %v after the cordon, want %d", got, time.Since(start), want)
						}
					}
					if time.Since(start) == 1500*time.Millisecond {
						tc.runners["h3"].SetCapacity(cpu(test.grown))
					}
				}
			})
		})
	}
}

package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// Guards against best-effort runs that go on at full share beside serving tasks because the
// command to throttle them was sent before they had started, or only after the next report.
func TestNewBestEffortRunIsThrottledAtOnce(t *testing.T) {
	const target = 100 * time.Millisecond
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			switch {
			case taskID.Job == "fill":
				return fake.RunProfile{Duration: time.Hour, Interference: 1}
			case strings.HasPrefix(taskID.Job, "late"):
				return fake.RunProfile{Duration: 800 * time.Millisecond, Interference: 1}
			}
			return fake.RunProfile{Serving: true, TailLatency: func(interference float64) time.Duration {
				return 50*time.Millisecond + time.Duration(interference*float64(60*time.Millisecond))
			}}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		serving, bestEffort := servingPlan(1, 1000), simplePlan(3, 1000)
		serving.Steps[0].Target = target
		bestEffort.Steps[0].Fills = true
		tc.mustSubmit(n, "serve", serving)
		tc.mustSubmit(n, "fill", bestEffort)
		time.Sleep(10 * time.Second)
		n.hosts.SetLatency(startLatency(200 * time.Millisecond))
		bestEffort.Steps[0].Count = 1
		over := 0
		const jobs = 10
		for i := range jobs {
			tc.mustSubmit(n, fmt.Sprint("late", i), bestEffort)
			for range 22 {
				time.Sleep(50 * time.Millisecond)
				if tc.runners["h0"].TailLatency(tasks.ID{Job: "serve"}) > target {
					over++
				}
			}
		}
		// The replies to the start commands take 100 ms.
		if most := 3 * jobs; over > most {
			t.Errorf("got the serving task over its target in %d samples of 50 ms, want at most %d", over, most)
		}
	})
}

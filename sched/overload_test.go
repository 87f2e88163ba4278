package sched

import (
	"fmt"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// BenchmarkOverload submits jobs of two steps at three times the rate that the
// hosts can sustain, for five seconds on the fake clock. It reports the real
// time per run, which includes the fakes.
func BenchmarkOverload(b *testing.B) {
	for _, hosts := range []int{20, 60, 200} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for range b.N {
				runs := 0
				start := time.Now()
				b.StopTimer()
				b.StartTimer()
				runOverloaded(b, hosts, &runs)
				b.ReportMetric(float64(time.Since(start).Microseconds())/float64(runs), "us/run")
			}
		})
	}
}

func runOverloaded(b *testing.B, hosts int, runs *int) {
	t := &testing.T{}
	_ = t
	testing.Init()
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "overload", F: func(t *testing.T) {
		runCluster(t, hosts, func(tc *testCluster) {
			tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 600 * time.Millisecond} }
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			// A host runs 8 tasks of a core in 0.6 s, and a job has 12.
			interval := time.Duration(float64(time.Second) / (3 * float64(hosts) * 8 / 0.6 / 12))
			for i := 0; time.Since(tc.start) < 5*time.Second; i++ {
				plan := simplePlan(8, 1000)
				plan.Steps = append(plan.Steps, tasks.Step{Count: 4, Room: tasks.Resources{CPU: 1000}, After: []int{0}})
				go func() { _ = tc.submit(n, fmt.Sprintf("%016x", i), plan) }()
				time.Sleep(interval)
			}
			*runs = tc.checker.Starts()
		})
	}}})
	if !ok {
		b.Fatal("the overloaded cluster violated an invariant")
	}
}

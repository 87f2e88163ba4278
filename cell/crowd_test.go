package cell

import (
	"fmt"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// BenchmarkCrowd hands jobs of two steps in at three times the rate that the
// hosts can work off, for some seconds of paused time, and tells the processor
// time that each run costs, stand-ins included.
func BenchmarkCrowd(b *testing.B) {
	for _, hosts := range []int{20, 60, 200} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for range b.N {
				runs := 0
				begun := time.Now()
				b.StopTimer()
				b.StartTimer()
				crowd(b, hosts, &runs)
				b.ReportMetric(float64(time.Since(begun).Microseconds())/float64(runs), "us/run")
			}
		})
	}
}

func crowd(b *testing.B, hosts int, runs *int) {
	t := &testing.T{}
	_ = t
	testing.Init()
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "crowd", F: func(t *testing.T) {
		inWorld(t, hosts, func(w *world) {
			w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 600 * time.Millisecond} }
			n := w.claim("a")
			time.Sleep(100 * time.Millisecond)
			// A host does 8 tasks of a core in 0.6 s; a job has 12.
			each := time.Duration(float64(time.Second) / (3 * float64(hosts) * 8 / 0.6 / 12))
			for i := 0; time.Since(w.begun) < 5*time.Second; i++ {
				plan := simple(8, 1000)
				plan.Steps = append(plan.Steps, tasks.Step{Count: 4, Room: tasks.Resources{CPU: 1000}, After: []int{0}})
				go func() { _ = w.submit(n, fmt.Sprintf("%016x", i), plan) }()
				time.Sleep(each)
			}
			*runs = w.judge.Starts()
		})
	}}})
	if !ok {
		b.Fatal("the crowd broke a promise")
	}
}

package sched

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// TestRunsThatServeAtOnce guards against a crash of the race detector: hosts that accepted starts
// at the same time started timers of no length in paused time, which share a state in the runtime.
func TestRunsThatServeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checker := fake.NewInvariantChecker()
		var starts sync.WaitGroup
		for host := range 64 {
			runner := fake.NewRunner(pool.Host{ID: fmt.Sprint(host), Capacity: tasks.Resources{CPU: hostCPU}}, 1, checker,
				func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} })
			starts.Go(func() {
				for task := range 100 {
					command := lease.StartCommand{Task: tasks.ID{Job: runner.Info().ID, Index: task}, Run: 1, LeaseExpiry: time.Minute}
					if reply, err := runner.Start(t.Context(), command, tasks.Resources{}); err != nil || reply.Reason != lease.Accepted {
						t.Errorf("got reply %v, %v, want it accepted", reply, err)
					}
				}
			})
		}
		starts.Wait()
	})
}

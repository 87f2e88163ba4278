package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// Guards against a pause after a scheduling pass that follows from the wait for the cell's lock.
func TestWaitForLockDelaysNoPass(t *testing.T) {
	tc := newTestCluster(t.Context(), t, 3)
	tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	n := tc.startServing(1)
	time.Sleep(200 * time.Millisecond)
	n.cell.mu.Lock()
	wake(n.cell.scheduleWake)
	time.Sleep(150 * time.Millisecond)
	n.cell.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	gaps := tc.measureGaps(tasks.ID{Job: "job"})
	tc.runners[n.hostOf("job", 0)].BreakGangs()
	time.Sleep(2 * time.Second)
	if got := time.Duration(gaps.longest.Load()); got > 500*time.Millisecond {
		t.Errorf("got %v without a run after the lock was held for 150ms, want at most 500ms", got)
	}
}

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

// Guards against an owner that places tasks once a second while many wait, because it pauses for the
// time in which a pass has assigned tasks as if the pass had been useless.
func TestAssigningTasksDelaysNoPass(t *testing.T) {
	for _, test := range []struct{ took, assigning, want time.Duration }{
		{10 * time.Millisecond, 0, 90 * time.Millisecond},
		{100 * time.Millisecond, 95 * time.Millisecond, 140 * time.Millisecond},
		{100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{5 * time.Second, 0, time.Second},
		{5 * time.Second, 5 * time.Second, time.Second},
	} {
		if got := schedulePause(test.took, test.assigning); got != test.want {
			t.Errorf("got a pause of %v after a pass of %v that assigned tasks for %v, want %v", got, test.took, test.assigning, test.want)
		}
	}
	c := busyCell(200, 200)
	if got := c.schedule(time.Now()); got != 0 {
		t.Errorf("got %v of a pass in which tasks were assigned while all hosts were full, want 0", got)
	}
	for _, h := range c.hosts {
		clear(h.runs)
	}
	begun := time.Now()
	if got, took := c.schedule(time.Now()), time.Since(begun); got < took/4 || got > took {
		t.Errorf("got %v of a pass of %v in which tasks were assigned to empty hosts, want a quarter or more", got, took)
	}
}

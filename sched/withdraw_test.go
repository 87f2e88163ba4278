package sched

import (
	"context"
	"errors"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// counters returns the state of the cell that a job without a host takes part in: the sizes of
// planned and waiting start commands, the requested CPU time, and the numbers of jobs and runs.
func (n *node) counters() [7]int64 {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	c := n.cell
	runs := 0
	for _, h := range c.hosts {
		runs += len(h.runs)
	}
	return [...]int64{int64(c.plannedBytes), int64(c.backlogBytes), c.submittedCPU, int64(len(c.jobs)), int64(len(c.byID)), int64(len(c.open)), int64(runs)}
}

// submission is the outcome of a submission and how long it took.
type submission struct {
	err  error
	took time.Duration
}

// submitLater submits a job in the background.
func (tc *testCluster) submitLater(n *node, id string, plan tasks.Plan) <-chan submission {
	result := make(chan submission, 1)
	go func() {
		start := time.Now()
		err := tc.submit(n, id, plan)
		result <- submission{err, time.Since(start)}
	}()
	return result
}

// Guards against jobs that the owner holds in memory while the store is away: their callers
// can't tell whether they will run. What is part of a write stays in doubt, and a cancelled job
// is kept: its cancel must not be forgotten.
func TestUnsentJobsAreWithdrawn(t *testing.T) {
	for name, failure := range map[string]fake.FailureMode{"rejecting": fake.Rejecting, "unresponsive": fake.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.mustSubmit(n, "stored", simplePlan(1, 1000))
				time.Sleep(time.Second)
				tc.store.SetFailure("a", failure)
				sent := tc.submitLater(n, "sent", simplePlan(2, 1000))
				time.Sleep(20 * time.Millisecond)
				before := n.counters()
				unsent := tc.submitLater(n, "unsent", simplePlan(3, 1000))
				time.Sleep(20 * time.Millisecond)
				repeated := tc.submitLater(n, "unsent", simplePlan(3, 1000))
				time.Sleep(20 * time.Millisecond)
				if got := n.hostOf("unsent", 0); got == "" {
					t.Error("got no host for a task of the job, want one: the planned run must be dropped")
				}
				for _, waiting := range []<-chan submission{unsent, repeated} {
					got := <-waiting
					if !errors.Is(got.err, ErrStoreUnavailable) || got.took > 600*time.Millisecond {
						t.Errorf("got error %v after %v, want %v within 600 ms", got.err, got.took, ErrStoreUnavailable)
					}
				}
				if got := n.counters(); got != before {
					t.Errorf("got counters %v after the withdrawal, want %v as before the submission", got, before)
				}
				if got := <-sent; !errors.Is(got.err, ErrUncertain) {
					t.Errorf("got error %v of the job in the write, want %v", got.err, ErrUncertain)
				}
				tc.store.SetFailure("a", fake.NoFailure)
				time.Sleep(4 * time.Second)
				tc.wantPhase(n, "sent", tasks.Completed)
				if _, err := tc.status(n, "unsent"); !errors.Is(err, ErrUnknownJob) {
					t.Errorf("got error %v of the withdrawn job, want %v", err, ErrUnknownJob)
				}
				if got := tc.checker.Starts(); got != 3 {
					t.Errorf("got %d starts, want 3: none of the withdrawn job", got)
				}
				tc.mustSubmit(n, "unsent", simplePlan(3, 1000))
				time.Sleep(2 * time.Second)
				tc.wantPhase(n, "unsent", tasks.Completed)
				if got := tc.checker.Starts(); got != 6 {
					t.Errorf("got %d starts, want 6", got)
				}
			})
		})
	}
}

// Guards against the loss of a cancel with its job: the caller of the cancel is not told that
// nothing was done, so the job must end as cancelled.
func TestCancelledJobIsNotWithdrawn(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.store.SetFailure("a", fake.Rejecting)
		sent := tc.submitLater(n, "sent", simplePlan(1, 1000))
		time.Sleep(20 * time.Millisecond)
		cancelled := tc.submitLater(n, "cancelled", simplePlan(1, 1000))
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(tc.ctx, time.Second)
		defer cancel()
		if err := n.cell.Cancel(ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "cancelled"}); !errors.Is(err, ErrUncertain) {
			t.Errorf("got error %v of the cancel, want %v", err, ErrUncertain)
		}
		for _, waiting := range []<-chan submission{sent, cancelled} {
			if got := <-waiting; !errors.Is(got.err, ErrUncertain) {
				t.Errorf("got error %v, want %v", got.err, ErrUncertain)
			}
		}
		tc.store.SetFailure("a", fake.NoFailure)
		time.Sleep(3 * time.Second)
		tc.wantPhase(n, "cancelled", tasks.Cancelled)
		if got := tc.checker.Starts(); got != 1 {
			t.Errorf("got %d starts, want 1", got)
		}
	})
}

// Guards against a caller with a short timeout, or of an owner that loses its cell, who isn't
// told that nothing can have been stored.
func TestUnsentJobIsWithdrawnAtItsEnd(t *testing.T) {
	tests := []struct {
		name string
		lose bool
		want error
	}{
		{"caller's time is over", false, ErrStoreUnavailable},
		{"cell is lost", true, ErrNotOwner},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 1, func(tc *testCluster) {
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.store.SetFailure("a", fake.Rejecting)
				sent := tc.submitLater(n, "sent", simplePlan(1, 1000))
				time.Sleep(20 * time.Millisecond)
				tc.plans.Store("unsent", simplePlan(1, 1000))
				if test.lose {
					time.AfterFunc(100*time.Millisecond, func() { n.cell.markLost("test") })
				}
				ctx, cancel := context.WithTimeout(tc.ctx, 150*time.Millisecond)
				defer cancel()
				err := n.cell.Submit(ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "unsent"}, simplePlan(1, 1000), tc.policy)
				if !errors.Is(err, test.want) {
					t.Errorf("got error %v, want %v", err, test.want)
				}
				if got := <-sent; !errors.Is(got.err, ErrUncertain) {
					t.Errorf("got error %v of the job in the write, want %v", got.err, ErrUncertain)
				}
				tc.store.SetFailure("a", fake.NoFailure)
				b := tc.claim("b")
				time.Sleep(3 * time.Second)
				if _, err := tc.status(b, "unsent"); !errors.Is(err, ErrUnknownJob) {
					t.Errorf("got error %v at the next owner, want %v", err, ErrUnknownJob)
				}
			})
		})
	}
}

package sched

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/claim"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/store"
	"rattanpath/tasks"
)

// rejectingJournal rejects writes with a record of the job "odd" while rejecting is set.
type rejectingJournal struct {
	claim.Journal
	err       error
	rejecting *atomic.Bool
}

func (j rejectingJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	for _, record := range write.Records {
		if strings.HasSuffix(record.Key, "/odd") && len(record.Value) > 0 && j.rejecting.Load() {
			return 0, j.err
		}
	}
	return j.Journal.Append(ctx, write)
}

// useRejectingJournal makes the store reject the records of the job "odd" while the returned
// variable is set.
func (tc *testCluster) useRejectingJournal(err error) *atomic.Bool {
	rejecting := &atomic.Bool{}
	tc.wrapJournal = func(journal claim.Journal) claim.Journal { return rejectingJournal{journal, err, rejecting} }
	return rejecting
}

var rejections = map[string]error{"too large": store.ErrTooLarge, "invalid": store.ErrInvalid}

// emptyRejectingJournal rejects writes without records while rejecting is set.
type emptyRejectingJournal struct {
	claim.Journal
	rejecting *atomic.Bool
}

func (j emptyRejectingJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	if len(write.Records) == 0 && j.rejecting.Load() {
		return 0, store.ErrInvalid
	}
	return j.Journal.Append(ctx, write)
}

// TestRejectedConfirmationEndsClaim guards against an owner that writes nothing more for good,
// and that no other replaces, after the store has rejected a write without records.
func TestRejectedConfirmationEndsClaim(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		var rejecting atomic.Bool
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return emptyRejectingJournal{journal, &rejecting} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		rejecting.Store(true)
		time.Sleep(10 * time.Second)
		rejecting.Store(false)
		if n.cell.isLost() {
			n = tc.claim("a")
			time.Sleep(100 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(tc.ctx, 5*time.Second)
		defer cancel()
		plan := simplePlan(1, 100)
		tc.plans.Store("job", plan)
		if err := n.cell.Submit(ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "job"}, plan, tc.policy); err != nil {
			t.Fatalf("got %v for a job once the store takes all writes, want it accepted", err)
		}
		time.Sleep(3 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestRejectedJobIsNotAccepted guards against one job that the store doesn't take and that holds
// up all others of the service. Its caller must be told truly that it wasn't accepted.
func TestRejectedJobIsNotAccepted(t *testing.T) {
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				tc.useRejectingJournal(rejection).Store(true)
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				results := make(chan error, 1)
				go func() { results <- tc.submit(n, "odd", simplePlan(2, 100)) }()
				for i := range 5 {
					if err := tc.submit(n, fmt.Sprintf("job%d", i), simplePlan(2, 100)); err != nil {
						t.Errorf("got %v for a job beside the rejected one, want it accepted", err)
					}
				}
				if err := <-results; !errors.Is(err, ErrTooLarge) {
					t.Errorf("got %v for a job that the store rejects, want %v", err, ErrTooLarge)
				}
				time.Sleep(5 * time.Second)
				tc.wantPhase(n, "job4", tasks.Completed)
				if got, want := tc.checker.Starts(), 10; got != want {
					t.Errorf("got %d starts, want the %d of the accepted jobs", got, want)
				}
				if _, err := tc.status(n, "odd"); !errors.Is(err, ErrUnknownJob) {
					t.Errorf("got %v for the status of the rejected job, want %v", err, ErrUnknownJob)
				}
				n.cell.mu.Lock()
				defer n.cell.mu.Unlock()
				if got := n.cell.plannedBytes + n.cell.backlogBytes; got != 0 {
					t.Errorf("got %d bytes of commands planned or waiting, want 0", got)
				}
			})
		})
	}
}

// TestRejectedJobAmongManyDelaysNoOther guards against a burst that is written job by job since
// the store rejects one of them: callers at the end would wait for hundreds of writes.
func TestRejectedJobAmongManyDelaysNoOther(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.useRejectingJournal(store.ErrTooLarge).Store(true)
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		const count = 400
		results := make(chan error, count)
		for i := range count {
			id := fmt.Sprintf("job%d", i)
			if i == count/2 {
				id = "odd"
			}
			go func() { results <- tc.submit(n, id, simplePlan(1, 10)) }()
		}
		refused := 0
		for range count {
			switch err := <-results; {
			case errors.Is(err, ErrTooLarge):
				refused++
			case err != nil:
				t.Fatalf("got %v for a job beside the rejected one, want it accepted", err)
			}
		}
		if refused != 1 {
			t.Errorf("got %d jobs refused as too large, want 1", refused)
		}
	})
}

// TestRejectedChangeHoldsUpNothingElse guards against an accepted job whose change the store
// rejects: other jobs must go on, no end of the job may be acknowledged, and the job must
// go on once the store takes its records.
func TestRejectedChangeHoldsUpNothingElse(t *testing.T) {
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, func(tc *testCluster) {
				rejecting := tc.useRejectingJournal(rejection)
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Second} }
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := tc.submit(n, "odd", simplePlan(4, 100)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(200 * time.Millisecond)
				rejecting.Store(true)
				for i := range 20 {
					if err := tc.submit(n, fmt.Sprintf("job%d", i), simplePlan(2, 100)); err != nil {
						t.Errorf("got %v for a job beside the rejected one, want it accepted", err)
					}
					time.Sleep(300 * time.Millisecond)
				}
				tc.wantPhase(n, "odd", tasks.Open)
				tc.wantPhase(n, "job10", tasks.Completed)
				n.stop()
				// The next owner must learn of the ends from the hosts.
				n = tc.claim("b")
				time.Sleep(3 * time.Second)
				rejecting.Store(false)
				time.Sleep(2 * heldRetryDelay)
				tc.wantPhase(n, "odd", tasks.Completed)
				if got, want := tc.checker.Starts(), 44; got != want {
					t.Errorf("got %d starts, want %d", got, want)
				}
			})
		})
	}
}

// TestHeldJobOccupiesNoHost guards against hosts that are kept free for the waiting tasks of a job
// whose records the store rejects: its runs can't be started, and other jobs wait behind them.
func TestHeldJobOccupiesNoHost(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		rejecting := tc.useRejectingJournal(store.ErrTooLarge)
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "odd", simplePlan(24, hostCPU/8))
		time.Sleep(200 * time.Millisecond)
		rejecting.Store(true)
		time.Sleep(2 * time.Second)
		tc.mustSubmit(n, "job", simplePlan(3, hostCPU/2))
		time.Sleep(3 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
		rejecting.Store(false)
		time.Sleep(2 * heldRetryDelay)
		tc.wantPhase(n, "odd", tasks.Completed)
		if got, want := tc.checker.Starts(), 27; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

// TestHeldJobCanBeCancelled guards against a job that nobody can get rid of because the store
// rejects its records.
func TestHeldJobCanBeCancelled(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return sizeLimit{journal, 4000} }
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Minute} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "odd", simplePlan(20, 100)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		n.cell.mu.Lock()
		odd := n.cell.byID["odd"]
		for i := range 20 {
			odd.job.SaveCheckpoint(tasks.ID{Job: "odd", Index: i}, 1, strings.Repeat("c", 400))
		}
		n.cell.markDirty(odd, nil)
		n.cell.mu.Unlock()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(tc.ctx, 2*heldRetryDelay)
		defer cancel()
		if err := n.cell.Cancel(ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "odd"}); err != nil {
			t.Errorf("got %v for the cancellation, want none", err)
		}
		time.Sleep(3 * time.Second)
		tc.wantPhase(n, "odd", tasks.Cancelled)
	})
}

// sizeLimit rejects writes with a record of more than limit bytes.
type sizeLimit struct {
	claim.Journal
	limit int
}

func (j sizeLimit) Append(ctx context.Context, write store.Write) (int64, error) {
	for _, record := range write.Records {
		if len(record.Value) > j.limit {
			return 0, store.ErrTooLarge
		}
	}
	return j.Journal.Append(ctx, write)
}

// TestOversizedDefinitionIsRefused checks that a job whose definition exceeds a record of the
// store is refused before anything is written, and the largest that fits is accepted.
func TestOversizedDefinitionIsRefused(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.store.SetLimits(testLimits)
		tc.configure = func(options *Options) { options.RecordBytes = testLimits.Record }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for length, want := range map[int]error{261_000: nil, 262_000: ErrTooLarge, 60_000: nil} {
			plan := simplePlan(1, 100)
			plan.Spec = strings.Repeat("s", length)
			if err := tc.submit(n, fmt.Sprint("job", length), plan); !errors.Is(err, want) {
				t.Errorf("got %v for a spec of %d bytes, want %v", err, length, want)
			}
		}
		plan := simplePlan(1, 100)
		for i := 1; i < 1000; i++ {
			step := plan.Steps[0]
			for dependency := range i {
				step.After = append(step.After, dependency)
			}
			plan.Steps = append(plan.Steps, step)
		}
		if err := tc.submit(n, "dense", plan); !errors.Is(err, ErrTooLarge) {
			t.Errorf("got %v for a job with many dependencies, want %v", err, ErrTooLarge)
		}
	})
}

// largeCheckpoints makes the hosts report a long checkpoint for each run of the job "odd".
type largeCheckpoints struct {
	lease.HostClient
	length int
}

func (l largeCheckpoints) Heartbeat(ctx context.Context, host *pool.Host, beat lease.Heartbeat) (lease.HeartbeatReply, error) {
	reply, err := l.HostClient.Heartbeat(ctx, host, beat)
	for i := range reply.Runs {
		if reply.Runs[i].Task.Job == "odd" {
			reply.Runs[i].Checkpoint = strings.Repeat("c", l.length)
		}
	}
	return reply, err
}

// TestOversizedCheckpointHoldsUpNoJob guards against an accepted job that can't go on, and whose
// ends can't be acknowledged, because a checkpoint that a host reports doesn't fit into a record.
func TestOversizedCheckpointHoldsUpNoJob(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.store.SetLimits(testLimits)
		tc.configure = func(options *Options) { options.RecordBytes = testLimits.Record }
		tc.wrapHosts = func(client lease.HostClient) lease.HostClient { return largeCheckpoints{client, 300_000} }
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 3 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"odd", "job"} {
			if err := tc.submit(n, id, simplePlan(4, 100)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(8 * time.Second)
		tc.wantPhase(n, "odd", tasks.Completed)
		tc.wantPhase(n, "job", tasks.Completed)
		if got, want := tc.checker.Starts(), 8; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

package sched

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/claim"
	"rattanpath/fake"
	"rattanpath/store"
	"rattanpath/tasks"
)

// heldJournal holds the answer to a write, as if the process were suspended while the answer
// is on its way.
type heldJournal struct {
	claim.Journal
	// hold is how long the answer to the next write with records is held, in nanoseconds;
	// 0 means that none is.
	hold *atomic.Int64
}

func (j heldJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	offset, err := j.Journal.Append(ctx, write)
	if err == nil && len(write.Records) > 0 && j.hold.Load() > 0 {
		time.Sleep(time.Duration(j.hold.Swap(0)))
	}
	return offset, err
}

// TestWokenOwnerStartsNothing guards against two runs of a task at once: an owner is
// suspended between the write of an assignment and its answer, another one takes over, can't
// reach the host and starts the task elsewhere; then the first one wakes.
func TestWokenOwnerStartsNothing(t *testing.T) {
	for _, suspended := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 5 * time.Second, 7 * time.Second, 9 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint(suspended), func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				var hold atomic.Int64
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 20 * time.Second} }
				tc.wrapJournal = func(journal claim.Journal) claim.Journal { return heldJournal{journal, &hold} }
				a := tc.claim("a")
				tc.wrapJournal = nil
				// The next write must be that of the assignment, not a periodic one.
				time.Sleep(990 * time.Millisecond)
				hold.Store(int64(suspended))
				go func() { _ = tc.submit(a, "job", simplePlan(1, 1000)) }()
				time.Sleep(50 * time.Millisecond)
				host := a.hostOf("job", 0)
				if host == "" {
					t.Fatal("got no host for the task, want one")
				}
				time.Sleep(time.Second)
				b := tc.claim("b")
				b.hosts.SetPartitioned(host, true)
				time.Sleep(20 * time.Second)
				// While no other can have taken over for certain, the owner may still start the
				// run, which ends with its lease before the other starts the task again.
				if got := tc.checker.Starts(); suspended > ownershipTimeout && got != 1 {
					t.Errorf("got %d starts, want 1", got)
				}
			})
		})
	}
}

// TestClaimAnsweredLateGrantsNothing guards against an owner that was suspended during its
// claim and renews leases when it wakes, though another node may own the cell by then.
func TestClaimAnsweredLateGrantsNothing(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		var hold atomic.Int64
		hold.Store(int64(ownershipTimeout + time.Second))
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return heldJournal{journal, &hold} }
		n := tc.claim("a")
		valid := func() bool {
			n.cell.mu.Lock()
			defer n.cell.mu.Unlock()
			return n.cell.ownershipValid()
		}
		if valid() {
			t.Error("got valid ownership after a claim that was answered late, want none before a write")
		}
		time.Sleep(200 * time.Millisecond)
		if !valid() {
			t.Error("got no valid ownership after the first write, want it")
		}
	})
}

// TestFirstLeaseOfIdleHostIsNoLonger guards against two runs of a task at once: the clock of a
// host that was idle for long runs behind its estimate, so that its first lease would last
// longer than the next owner waits that can't reach it.
func TestFirstLeaseOfIdleHostIsNoLonger(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 50 * time.Second, 2 * time.Minute} {
		t.Run(fmt.Sprint(idle), func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 20 * time.Second} }
				a := tc.claim("a")
				time.Sleep(idle)
				// h1 has the slow clock.
				if _, err := a.cell.Cordon([]string{"h0"}, 4*time.Second, false); err != nil {
					t.Fatal(err)
				}
				if err := tc.submit(a, "job", simplePlan(1, 1000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
				if got := a.hostOf("job", 0); got != "h1" {
					t.Fatalf("got host %q, want h1", got)
				}
				a.stop()
				<-a.done
				b := tc.claim("b")
				b.hosts.SetPartitioned("h1", true)
				time.Sleep(20 * time.Second)
				if got := tc.checker.Starts(); got != 2 {
					t.Errorf("got %d starts, want 2", got)
				}
			})
		})
	}
}

package sched

import (
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/claim"
	"rattanpath/fake"
	"rattanpath/tasks"
)

// awaitHost waits until a condition holds for a host as a node sees it.
func (tc *testCluster) awaitHost(n *node, id string, condition func(*host) bool) {
	tc.t.Helper()
	for range 100_000 {
		n.cell.mu.Lock()
		h := n.cell.hosts[id]
		holds := h != nil && condition(h)
		n.cell.mu.Unlock()
		if holds {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	tc.t.Fatalf("host %s did not get into the state of the test", id)
}

// TestInheritedLeaseOutlastsFirstReply guards against two runs of a task at once: a host
// answers its new owner, which may not grant leases yet, and is cut off, while the lease of the
// previous owner goes on.
func TestInheritedLeaseOutlastsFirstReply(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 30 * time.Second} }
		a := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(a, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		id := a.hostOf("job", 0)
		// a can't reach the store but renews leases until its ownership is over.
		tc.store.SetFailure("a", fake.Unresponsive)
		var hold atomic.Int64
		hold.Store(int64(ownershipTimeout + 10*time.Millisecond))
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return heldJournal{journal, &hold} }
		b := tc.claim("b")
		tc.store.SetFailure("b", fake.Rejecting)
		tc.awaitHost(b, id, func(h *host) bool { return h.synced })
		b.hosts.SetPartitioned(id, true)
		tc.awaitHost(b, id, func(h *host) bool { return h.missedHeartbeats > 0 })
		tc.store.SetFailure("b", fake.NoFailure)
		time.Sleep(15 * time.Second)
		if got := tc.checker.Starts(); got != 2 {
			t.Errorf("got %d starts, want 2", got)
		}
	})
}

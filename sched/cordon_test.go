package sched

import (
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/claim"
	"rattanpath/fake"
	"rattanpath/tasks"
)

// endsPending returns what the owner says of the hosts, by a report and by a cordon. It fails
// the test if the two differ.
func (tc *testCluster) endsPending(n *node) map[string]bool {
	tc.t.Helper()
	report, err := n.cell.Report()
	if err != nil {
		tc.t.Fatal(err)
	}
	pending := make(map[string]bool)
	var ids []string
	for _, h := range report.Hosts {
		pending[h.ID] = h.EndsPending
		ids = append(ids, h.ID)
		if h.Runs != 0 {
			tc.t.Errorf("got %d runs of host %s, want 0: it would not be moved in any case", h.Runs, h.ID)
		}
	}
	cordoned, err := n.cell.Cordon(ids, 10*time.Millisecond, false)
	if err != nil || len(cordoned) != len(ids) {
		tc.t.Fatalf("got %d hosts cordoned and error %v, want %d", len(cordoned), err, len(ids))
	}
	for _, h := range cordoned {
		if h.EndsPending != pending[h.ID] {
			tc.t.Errorf("got %t of host %s by a cordon, want %t as in the report", h.EndsPending, h.ID, pending[h.ID])
		}
	}
	return pending
}

// Guards against the move of a machine with the only trace of what ended there: the owner has
// processed the end, which the store hasn't confirmed.
func TestHostKeepsEndsUntilTheyArePersisted(t *testing.T) {
	tests := []struct {
		name string
		// hold delays the answer to the write of the end.
		hold    time.Duration
		failure fake.FailureMode
		// The run ends 500 ms after its start; after is when the owner is asked.
		after time.Duration
		// want is what it says of the host that had the run, and wantOther of the other.
		want, wantOther bool
	}{
		{"store works", 0, fake.NoFailure, 300 * time.Millisecond, false, false},
		{"write in flight", 200 * time.Millisecond, fake.NoFailure, 150 * time.Millisecond, true, false},
		{"write was slow", 200 * time.Millisecond, fake.NoFailure, 500 * time.Millisecond, false, false},
		{"first attempt failed", 0, fake.Rejecting, 100 * time.Millisecond, true, false},
		{"store rejects the owner", 0, fake.Rejecting, 2 * time.Second, true, true},
		{"store doesn't answer", 0, fake.Unresponsive, 2 * time.Second, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				var hold atomic.Int64
				tc.wrapJournal = func(journal claim.Journal) claim.Journal { return heldJournal{journal, &hold} }
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.mustSubmit(n, "job", simplePlan(1, 1000))
				time.Sleep(300 * time.Millisecond)
				host := n.hostOf("job", 0)
				hold.Store(int64(test.hold))
				tc.store.SetFailure("a", test.failure)
				time.Sleep(200*time.Millisecond + test.after)
				for id, got := range tc.endsPending(n) {
					want := test.wantOther
					if id == host {
						want = test.want
					}
					if got != want {
						t.Errorf("got ends pending %t of host %s, want %t", got, id, want)
					}
				}
				tc.store.SetFailure("a", fake.NoFailure)
				time.Sleep(2 * time.Second)
				for id, got := range tc.endsPending(n) {
					if got {
						t.Errorf("got ends pending of host %s after the store has confirmed them, want none", id)
					}
				}
				tc.wantPhase(n, "job", tasks.Completed)
			})
		})
	}
}

// Guards against an owner that wakes and says of hosts that they are idle: another may have
// taken over since its last confirmed write, and may have had runs there.
func TestWokenOwnerKeepsHosts(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(1200 * time.Millisecond)
		n.cell.mu.Lock()
		n.cell.confirmedAt -= 3 * time.Second
		n.cell.mu.Unlock()
		if pending := tc.endsPending(n); !pending["h0"] {
			t.Error("got the host free to go, want it kept until ownership is confirmed")
		}
	})
}

// Guards against a new owner that waits for the leases of machines which have left: their hosts
// have no record by then and can't be called. A host that has one is asked.
func TestNewOwnerIsToldOfDepartedHosts(t *testing.T) {
	for _, left := range []bool{true, false} {
		runCluster(t, 2, func(tc *testCluster) {
			tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 4 * time.Second} }
			a := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			tc.mustSubmit(a, "job", simplePlan(1, 1000))
			time.Sleep(500 * time.Millisecond)
			host := a.hostOf("job", 0)
			gone := []RetiredHost{{ID: host, Incarnation: tc.runners[host].Info().Incarnation}}
			tc.store.SetFailure("a", fake.Rejecting)
			var b *node
			if left {
				tc.runners[host].Crash()
				b = tc.claimWithout("b", host)
			} else {
				b = tc.claim("b")
			}
			time.Sleep(100 * time.Millisecond)
			if err := b.cell.Retire(gone); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond)
			want := 1
			if left {
				want = 2
			}
			if got := tc.checker.Starts(); got != want {
				t.Errorf("got %d starts 1.6 s after the takeover if the host has left: %t, want %d", got, left, want)
			}
			time.Sleep(6 * time.Second)
			tc.wantPhase(b, "job", tasks.Completed)
		})
	}
}

// claimWithout makes a node claim the cell that doesn't see the record of a host.
func (tc *testCluster) claimWithout(name, host string) *node {
	tc.t.Helper()
	all := tc.runners
	tc.runners = maps.Clone(all)
	delete(tc.runners, host)
	defer func() { tc.runners = all }()
	return tc.claim(name)
}

package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/tasks"
)

// restartsOf returns how many restarts of a host the node has counted.
func (n *node) restartsOf(host string) int64 {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	return n.cell.hosts[host].restarts
}

// TestLateReplyIsNoRestart guards against taking a late reply of a host for its restart,
// which costs a fencing token and makes all runs of the host unverified.
func TestLateReplyIsNoRestart(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 1500 * time.Millisecond} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		delayed := false
		n.hosts.SetLatency(func(_ string, command any) fake.Latency {
			if _, isStart := command.(lease.StartCommand); !isStart || delayed {
				return fake.Latency{}
			}
			delayed = true
			return fake.Latency{Reply: 900 * time.Millisecond}
		})
		for _, id := range []string{"one", "two", "three"} {
			if err := tc.submit(n, id, simplePlan(2, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		if got := n.restartsOf("h0"); got != 0 {
			t.Errorf("got %d restarts, want 0", got)
		}
		if got := tc.checker.Starts(); got != 6 {
			t.Errorf("got %d starts, want 6", got)
		}
	})
}

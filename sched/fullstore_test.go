package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/tasks"
)

// TestHostReachedWhileStoreIsFullKeepsRuns guards against runs whose leases lapse on a host that
// answers a new owner late, because the store is full and takes no record of it.
func TestHostReachedWhileStoreIsFullKeepsRuns(t *testing.T) {
	for _, fullAfter := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond} {
		t.Run("full after "+fullAfter.String(), func(t *testing.T) {
			runCluster(t, 3, func(tc *testCluster) {
				a := tc.claim("a")
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
				time.Sleep(100 * time.Millisecond)
				tc.mustSubmit(a, "job", servingPlan(1, 1000))
				time.Sleep(time.Second)
				host := a.hostOf("job", 0)
				a.stop()
				<-a.done
				tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
					hosts.(*fake.HostClient).SetPartitioned(host, true)
					return hosts
				}
				b := tc.claim("b")
				time.Sleep(fullAfter)
				tc.store.SetLimits(fake.StoreLimits{Total: 1})
				time.Sleep(time.Second - fullAfter)
				b.hosts.SetPartitioned(host, false)
				time.Sleep(8 * time.Second)
				if got := tc.checker.ActiveRuns(tasks.ID{Job: "job"}); got != 1 {
					t.Errorf("got %d runs 9 s after the takeover, want 1", got)
				}
				if got := tc.checker.Starts(); got != 1 {
					t.Errorf("got %d starts, want 1", got)
				}
			})
		})
	}
}

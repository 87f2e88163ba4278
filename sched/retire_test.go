package sched

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// suspendedClient is the client of a node that is suspended at times: the results of calls
// in flight come afterwards, as timeouts.
type suspendedClient struct {
	lease.HostClient
	mu    sync.Mutex
	until time.Time
}

// suspend suspends the node from now on.
func (s *suspendedClient) suspend(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(pause)
}

// Heartbeat implements lease.HostClient.
func (s *suspendedClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	reply, err := s.HostClient.Heartbeat(ctx, host, heartbeat)
	s.mu.Lock()
	pause := time.Until(s.until)
	s.mu.Unlock()
	if pause <= 0 {
		return reply, err
	}
	time.Sleep(pause)
	return lease.HeartbeatReply{}, context.DeadlineExceeded
}

// TestRetiredHostThatStaysKeepsItsRuns guards against starting the runs of a host elsewhere
// because the cloud has accepted an order that its machine had carried out long before.
func TestRetiredHostThatStaysKeepsItsRuns(t *testing.T) {
	for name, pause := range map[string]time.Duration{"reply in time": 0, "node suspended": time.Second} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 5 * time.Second} }
				client := &suspendedClient{}
				tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
					client.HostClient = hosts
					return client
				}
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := tc.submit(n, "job", simplePlan(3, 1000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				client.suspend(pause)
				if err := n.cell.Retire([]RetiredHost{{ID: n.hostOf("job", 0)}}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(6 * time.Second)
				tc.wantPhase(n, "job", tasks.Completed)
				if got := tc.checker.Starts(); got != 3 {
					t.Errorf("got %d starts of 3 tasks, want 3", got)
				}
			})
		})
	}
}

// TestLateRetirementSparesNextIncarnation guards against giving up the runs of a host that is
// back, because the report that its machine had left comes late and the host is slow to answer.
func TestLateRetirementSparesNextIncarnation(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 3 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		reports, err := n.cell.Cordon([]string{"h0", "h1"}, 2*time.Second, false)
		if err != nil || len(reports) != 2 {
			t.Fatalf("got reports %v and error %v, want two hosts", reports, err)
		}
		for _, runner := range tc.runners {
			runner.Crash()
		}
		time.Sleep(time.Second)
		for _, runner := range tc.runners {
			runner.Restart()
		}
		time.Sleep(2 * time.Second)
		if err := tc.submit(n, "job", simplePlan(3, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		host := n.hostOf("job", 0)
		n.hosts.SetPartitioned(host, true)
		report := reports[slices.IndexFunc(reports, func(report HostReport) bool { return report.ID == host })]
		if err := n.cell.Retire([]RetiredHost{{ID: host, Incarnation: report.Incarnation}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		n.hosts.SetPartitioned(host, false)
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
		if got := tc.checker.Starts(); got != 3 {
			t.Errorf("got %d starts of 3 tasks, want 3", got)
		}
	})
}

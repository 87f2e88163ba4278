package sched

import (
	"context"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// holdingClient holds a host's calls from its first acknowledgement of ends on, and tells of that.
type holdingClient struct {
	lease.HostClient
	network *lateNetwork
	held    chan struct{}
}

// Heartbeat implements lease.HostClient.
func (c *holdingClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	if heartbeat.Acknowledged > 0 {
		select {
		case <-c.held:
		default:
			c.network.hold(host.ID)
			close(c.held)
		}
	}
	return c.HostClient.Heartbeat(ctx, host, heartbeat)
}

// TestEndsOfNextIncarnationAreKept guards against a start after a task has ended done: a heartbeat that acknowledges
// ends of a host's former incarnation, and a start, reach the next one, where the run ends soon after.
func TestEndsOfNextIncarnationAreKept(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		network, held := tc.useLateNetwork(), make(chan struct{})
		late := tc.wrapHosts
		tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
			return &holdingClient{late(hosts), network, held}
		}
		tc.runners[formerHost].SetForgetsOnce(false)
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "long" {
				return fake.RunProfile{Duration: 20 * time.Second}
			}
			return fake.RunProfile{Duration: 300 * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(time.Second)
		// Without another run on the host its ends aren't acknowledged.
		tc.mustSubmit(n, "long", simplePlan(1, 500))
		tc.mustSubmit(n, "former", simplePlan(1, 500))
		<-held
		go func() { _ = tc.submit(n, "next", simplePlan(1, 500)) }()
		time.Sleep(50 * time.Millisecond)
		tc.runners[formerHost].Crash()
		time.Sleep(500 * time.Millisecond)
		tc.runners[formerHost].Restart()
		network.release(formerHost)
		time.Sleep(40 * time.Second)
		tc.wantPhase(n, "next", tasks.Completed)
		// The task of "long" is lost and started again.
		if got, want := tc.checker.Starts(), 4; got != want {
			t.Errorf("got %d starts, want %d", got, want)
		}
	})
}

package relay

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/lease"
	"rattanpath/pool"
)

// lateClient is the client of a node that is short of processor time: what fails ends late.
type lateClient struct {
	lease.HostClient
	delay time.Duration
}

// Heartbeat implements lease.HostClient.
func (c lateClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	reply, err := c.HostClient.Heartbeat(ctx, host, heartbeat)
	if err != nil {
		time.Sleep(c.delay)
	}
	return reply, err
}

// Guards against an owner that never asks other nodes for a host that it can't reach, because it is
// always short of processor time, so that its calls end late.
func TestLateOwnerAsksOtherNodes(t *testing.T) {
	runRelayTest(t, 3, func(rt *relayTest) {
		rt.client = NewClient(lateClient{rt.nodes.hosts[0], 2 * maxLag}, rt.nodes.clock, metrics.NewSet(), logr.Discard())
		rt.client.SetNodes(rt.nodes)
		rt.nodes.hosts[0].SetPartitioned("h", true)
		// The leases of the owner's last heartbeat last for 4.5 s.
		if took, answered := rt.answeredWithin(10 * time.Second); !answered || took > 4500*time.Millisecond {
			t.Errorf("got an answer %t after %v, want one within 4.5 s", answered, took)
		}
	})
}

// Guards against a node that asks others for all its hosts after it was suspended.
func TestSuspendedOwnerAsksNobody(t *testing.T) {
	runRelayTest(t, 3, func(rt *relayTest) {
		rt.client = NewClient(lateClient{rt.nodes.hosts[0], 3 * time.Second}, rt.nodes.clock, metrics.NewSet(), logr.Discard())
		rt.client.SetNodes(rt.nodes)
		rt.nodes.hosts[0].SetPartitioned("h", true)
		done := make(chan bool)
		for range 3 {
			go func() { done <- rt.heartbeat() }()
		}
		for range 3 {
			<-done
		}
		rt.nodes.hosts[0].SetPartitioned("h", false)
		rt.heartbeat()
		if got := rt.nodes.calls.Load(); got > 0 {
			t.Errorf("got %d calls through other nodes after calls that were late once, want none", got)
		}
	})
}

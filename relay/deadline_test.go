package relay

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// delayedNodes are nodes to which a request takes some time, whether its sender waits or not.
type delayedNodes struct {
	Nodes
	delay time.Duration
}

// Send implements Nodes.
func (n *delayedNodes) Send(ctx context.Context, address string, request *Request, response *Response) error {
	time.Sleep(n.delay)
	return n.Nodes.Send(ctx, address, request, response)
}

// Guards against a run that begins in a new incarnation of its host after it was given up, because the
// start command was on its way to another node while the host restarted.
func TestLateStartIsNotSentOn(t *testing.T) {
	runRelayTest(t, 2, func(rt *relayTest) {
		nodes := &delayedNodes{Nodes: rt.nodes}
		rt.client = NewClient(rt.nodes.hosts[0], rt.nodes.clock, metrics.NewSet(), logr.Discard())
		rt.client.SetNodes(nodes)
		rt.nodes.hosts[0].SetPartitioned("h", true)
		if _, answered := rt.answeredWithin(10 * time.Second); !answered {
			t.Fatal("got no answer through another node, want one")
		}
		for _, test := range []struct {
			delay time.Duration
			sent  bool
		}{{0, true}, {300 * time.Millisecond, true}, {700 * time.Millisecond, false}, {3 * time.Second, false}} {
			nodes.delay = test.delay
			_, err := rt.client.Start(rt.ctx, rt.host(), lease.StartCommand{Task: tasks.ID{Job: "job"}, Run: 1, Token: 1})
			if got := !errors.Is(err, lease.ErrNotSent); got != test.sent {
				t.Errorf("got a command that was sent %t after %v on its way, want %t", got, test.delay, test.sent)
			}
		}
	})
}

package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// Guards against a task that counts as having crashed its host because the start command went through
// another node: a host that doesn't answer in time has broken no connection.
func TestUnansweredStartIsTimeout(t *testing.T) {
	runRelayTest(t, 2, func(rt *relayTest) {
		rt.nodes.hosts[0].SetPartitioned("h", true)
		if _, answered := rt.answeredWithin(10 * time.Second); !answered {
			t.Fatal("got no answer through another node, want one")
		}
		rt.runner.SetUnresponsive(true)
		_, err := rt.client.Start(rt.ctx, rt.host(), lease.StartCommand{Task: tasks.ID{Job: "job"}, Run: 1, Token: 1})
		if !isTimeout(err) {
			t.Errorf("got error %v from a host that doesn't answer, want a timeout", err)
		}
	})
}

// Guards against the same if the connection to the other node breaks, which says nothing of the host.
func TestBrokenHopIsTimeout(t *testing.T) {
	for name, err := range map[string]error{"broken": errors.New("connection is shut down"), "timeout": errors.WithStack(context.DeadlineExceeded)} {
		t.Run(name, func(t *testing.T) {
			if got := sendError(err); !isTimeout(got) || errors.Is(got, lease.ErrNotSent) {
				t.Errorf("got %v, want a timeout of a command that may have been sent", got)
			}
		})
	}
}

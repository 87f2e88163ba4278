package owner

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// submission is the outcome of a submission and how long it took.
type submission struct {
	outcome Outcome
	took    time.Duration
}

// submitLater submits a job in the background.
func submitLater(ctx context.Context, client *Client, id int) <-chan submission {
	done := make(chan submission, 1)
	go func() {
		start := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		response := client.Call(callCtx, MethodSubmit, Request{
			Service: testService, Key: tasks.Key{Queue: "q", ID: fmt.Sprintf("%016x", id)},
			Plan: tasks.Plan{Steps: []tasks.Step{{Count: 1}}},
		})
		done <- submission{response.Outcome, time.Since(start)}
	}()
	return done
}

// TestForwardedJobIsRefusedTruthfully guards against an unknown outcome where nothing can have
// been stored: a node forwards jobs to an owner that has just lost the store. Only the jobs in
// the write that was sent are in doubt.
func TestForwardedJobIsRefusedTruthfully(t *testing.T) {
	for name, failure := range map[string]fake.FailureMode{"rejecting": fake.Rejecting, "unresponsive": fake.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := fake.NewStore()
				node := startNode(ctx, s, s.Client("a"), "a", 0)
				service := NewService(node.supervisor)
				server := rpc.NewServer()
				if err := server.RegisterName(RPCName, service); err != nil {
					t.Fatal(err)
				}
				dial := func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go server.ServeConn(far)
					context.AfterFunc(ctx, func() { _ = near.Close() })
					return near, nil
				}
				clients := map[string]*Client{
					"owner":        NewClient(s.Client("a"), fixedConfig{}, service, "a:1", 32, dial, logr.Discard()),
					"another node": NewClient(s.Client("b"), fixedConfig{}, nil, "b:1", 32, dial, logr.Discard()),
				}
				for _, client := range clients {
					go client.Run(ctx)
				}
				time.Sleep(2 * time.Second)
				s.SetFailure("a", failure)
				sent := submitLater(ctx, clients["another node"], 0)
				time.Sleep(20 * time.Millisecond)
				id := 1
				for through, client := range clients {
					var waiting []<-chan submission
					for range 5 {
						waiting = append(waiting, submitLater(ctx, client, id))
						id++
					}
					for _, done := range waiting {
						if got := <-done; got.outcome != StoreUnavailable || got.took > 600*time.Millisecond {
							t.Errorf("through the %s: got outcome %v after %v, want %v within 600 ms", through, got.outcome, got.took, StoreUnavailable)
						}
					}
				}
				if got := <-sent; got.outcome != Uncertain {
					t.Errorf("got outcome %v of the job in the write, want %v", got.outcome, Uncertain)
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

package owner

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/fake"
	"rattanpath/store"
	"rattanpath/tasks"
)

// olderOwner has the methods of an owner of a version before Preview.
type olderOwner struct{}

// Status finds each job.
func (olderOwner) Status(_ *Request, response *Response) error {
	response.Outcome = Done
	return nil
}

// previewClient returns a client whose owner is another node that serves receiver.
func previewClient(ctx context.Context, t *testing.T, receiver any) *Client {
	t.Helper()
	server := rpc.NewServer()
	if err := server.RegisterName(RPCName, receiver); err != nil {
		t.Fatal(err)
	}
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeConn(far)
		context.AfterFunc(ctx, func() { _ = near.Close() })
		return near, nil
	}
	client := NewClient(nil, fixedConfig{}, nil, "b:1", 32, dial, logr.Discard())
	partition, _ := ServicePartition(fixedConfig{}.Config(), testService, 32)
	client.setOwners([]store.PartitionOwner{{Partition: partition, Member: memberName("a", "a:1")}})
	return client
}

// Guards against an owner of an older version that is taken for one which is lost, and against
// the connection to it failing for others.
func TestPreviewByOlderOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client := previewClient(ctx, t, olderOwner{})
		for range 2 {
			if _, err := client.Preview(ctx, Request{Service: testService}); err == nil || !strings.Contains(err.Error(), "the owner's version can't explain requests") {
				t.Errorf("got error %v, want one on the owner's version", err)
			}
			if got := client.Call(ctx, MethodStatus, Request{Service: testService}); got.Outcome != Done {
				t.Errorf("got outcome %v of a call to the same owner, want %v", got.Outcome, Done)
			}
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestPreviewThroughOwner asks an owner at another node for a job and for one that no owner can
// run, and a node that isn't the owner.
func TestPreviewThroughOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		node := startNode(ctx, s, s.Client("a"), "a", 0)
		time.Sleep(3 * time.Second)
		client := previewClient(ctx, t, NewService(node.supervisor))
		request := Request{Service: testService, Key: tasks.Key{Queue: "q", ID: "1"}, Plan: tasks.Plan{Steps: []tasks.Step{{Count: 1}}}}
		got, err := client.Preview(ctx, request)
		if err != nil || got.Outcome != Done || got.Preview == nil || got.Preview.Node != "a" || got.Preview.Start != "no host of the pool is usable" {
			t.Errorf("got %+v with %+v and error %v, want a job that waits for hosts at node a", got, got.Preview, err)
		}
		request.Plan.Steps[0].After = []int{0}
		if _, err := client.Preview(ctx, request); err == nil {
			t.Error("got no error for a plan that can't be run, want one")
		}
		request.Plan = tasks.Plan{}
		if got, err := client.Preview(ctx, request); err != nil || got.Outcome != UnknownJob {
			t.Errorf("got %+v and error %v, want no job", got, err)
		}
		if status := client.Call(ctx, MethodStatus, request); status.Outcome != UnknownJob {
			t.Errorf("got outcome %v after the previews, want %v", status.Outcome, UnknownJob)
		}
		request.Service = "none"
		if _, err := client.Preview(ctx, request); err == nil || !strings.Contains(err.Error(), "no owner is known") {
			t.Errorf("got error %v for a service without an owner, want that", err)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

package intake

import (
	"context"
	"testing"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/sched"
)

// listingClient is an OwnerClient during whose first call for a job the service "one" lists its queues.
type listingClient struct {
	*fakeClient
	history *serviceHistory
	listed  bool
}

func (c *listingClient) Call(ctx context.Context, method owner.Method, request owner.Request) owner.Response {
	response := c.fakeClient.Call(ctx, method, request)
	if !c.listed {
		c.listed = true
		c.history.addList("one", sched.QueueList{Queues: []string{request.Key.Queue}, ConfigVersion: request.ConfigVersion})
	}
	return response
}

// newHandlerOfMovedQueue returns the handler of a node which knows that its queue has used service
// "two" before "three". Service "one" has a job of it and has not listed its queues.
func newHandlerOfMovedQueue() (*Handler, *listingClient) {
	services := []queue.Service{{Name: "one"}, {Name: "two"}, {Name: "three"}}
	h, source, client := newTestHandler(newTestConfig(1, "two"))
	h.history = serviceHistory{}
	h.LearnConfig(queue.NewConfig(1, newTestConfig(1, "two").Queues, services, queue.Limits{BodyBytes: 64}), false)
	source.config = queue.NewConfig(2, newTestConfig(2, "three").Queues, services, queue.Limits{BodyBytes: 64})
	h.LearnConfig(source.config, true)
	client.jobs["one"] = map[string]bool{testID: true}
	listing := &listingClient{fakeClient: client, history: &h.history}
	h.client = listing
	return h, listing
}

// TestServiceThatListsMeanwhileIsAsked guards against a job that runs twice, or isn't found: a service
// that lists its queues between two reads of the history must be in one of them.
func TestServiceThatListsMeanwhileIsAsked(t *testing.T) {
	for method, want := range map[string]int{"POST": 200, "GET": 200, "DELETE": 200} {
		h, client := newHandlerOfMovedQueue()
		if got := send(h, method, "/x/"+testID, "job").Code; got != want || len(client.jobs["three"]) != 0 {
			t.Errorf("got status %d for %s and jobs %v at the newest service, want %d and none", got, method, client.jobs["three"], want)
		}
		if !client.listed {
			t.Errorf("got no call for %s before the list, want one", method)
		}
	}
}

// TestOpenQueueOfListIsAsked guards against a job that runs twice: a service that takes jobs of a queue
// from nodes that lag, since a newer version assigns the queue to it, must be asked before the node
// knows that version.
func TestOpenQueueOfListIsAsked(t *testing.T) {
	runHandler(t, newTestConfig(2, "two"), func(h *Handler, source *testConfigSource, client *fakeClient) {
		h.LearnConfig(source.config, true)
		h.history.addList("one", sched.QueueList{ConfigVersion: 5, Open: []string{source.config.Queues[0].Key()}})
		client.jobs["one"] = map[string]bool{testID: true}
		if got := send(h, "POST", "/x/"+testID, "job").Code; got != 200 || len(client.jobs["two"]) != 0 {
			t.Errorf("got status %d and jobs %v at the node's service, want 200 and none", got, client.jobs["two"])
		}
	})
}

// TestNewerServiceIsAsked guards against a job that runs twice: a request that began with an older
// version of the configuration must look for the job at the service of the newest one too.
func TestNewerServiceIsAsked(t *testing.T) {
	for method, want := range map[string]int{"POST": 200, "GET": 200, "DELETE": 200} {
		h, _, client := newTestHandler(newTestConfig(1, "one"))
		h.LearnConfig(newTestConfig(2, "two"), true)
		client.jobs["two"] = map[string]bool{testID: true}
		if got := send(h, method, "/x/"+testID, "job").Code; got != want || len(client.jobs["one"]) != 0 {
			t.Errorf("got status %d for %s and jobs %v at the older service, want %d and none", got, method, client.jobs["one"], want)
		}
	}
}

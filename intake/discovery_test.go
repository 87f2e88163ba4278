package intake

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

// runHandler runs a test with the handler of a node that has just started, whose loop runs.
func runHandler(t *testing.T, config *queue.Config, test func(h *Handler, source *testConfigSource, client *fakeClient)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h, source, client := newStartedHandler(config)
		go h.Run(ctx)
		test(h, source, client)
		cancel()
		synctest.Wait()
	})
}

// TestStartedNodeKnowsMovedQueue guards against accepting a job a second time because the
// node started after its queue was assigned to another service, whether the owner of the
// old one has listed its queues or not.
func TestStartedNodeKnowsMovedQueue(t *testing.T) {
	for _, version := range []int64{0, 1, 2, 3} {
		runHandler(t, newTestConfig(2, "two"), func(h *Handler, source *testConfigSource, client *fakeClient) {
			client.jobs["one"] = map[string]bool{testID: true}
			client.setVersion(version)
			h.LearnConfig(source.config, true)
			time.Sleep(5 * time.Second)
			if got := send(h, "POST", "/x/"+testID, "job").Code; got != 200 || len(client.jobs["two"]) != 0 {
				t.Errorf("got status %d and jobs %v at the new service with owners of version %d, want 200 and none", got, client.jobs["two"], version)
			}
			const other = "00000000000000ff"
			if got := send(h, "POST", "/x/"+other, "job").Code; got != 200 || !client.jobs["two"][other] {
				t.Errorf("got status %d with owners of version %d, want 200 and a new job at the new service", got, version)
			}
		})
	}
}

// TestUnansweredServiceRefusesSubmissions guards against accepting a job that a service which
// doesn't answer may have: the refusal is true, and ends with the service's answer.
func TestUnansweredServiceRefusesSubmissions(t *testing.T) {
	runHandler(t, newTestConfig(2, "two"), func(h *Handler, source *testConfigSource, client *fakeClient) {
		client.setVersion(2)
		client.setOutcomes(map[string]owner.Outcome{"one": owner.NotOwner})
		h.LearnConfig(source.config, true)
		time.Sleep(5 * time.Second)
		if got := send(h, "POST", "/x/"+testID, "job").Code; got != 503 || len(client.jobs["two"]) != 0 {
			t.Errorf("got status %d and jobs %v while a service doesn't answer, want 503 and none", got, client.jobs)
		}
		client.setOutcomes(nil)
		time.Sleep(2 * maxAskDelay)
		client.setOutcomes(map[string]owner.Outcome{"one": owner.NotOwner})
		if got := send(h, "POST", "/x/"+testID, "job").Code; got != 200 {
			t.Errorf("got status %d after the service has listed its queues, want 200", got)
		}
	})
}

// TestListsOfOlderVersionsAreNotFinal guards against relying on an owner that may accept
// further jobs of the queue because it lags behind.
func TestListsOfOlderVersionsAreNotFinal(t *testing.T) {
	runHandler(t, newTestConfig(3, "two"), func(h *Handler, source *testConfigSource, client *fakeClient) {
		client.setVersion(2)
		h.LearnConfig(source.config, true)
		time.Sleep(time.Second)
		client.mu.Lock()
		client.jobs["one"] = map[string]bool{testID: true}
		client.mu.Unlock()
		client.setVersion(3)
		time.Sleep(2 * maxAskDelay)
		client.setVersion(0)
		if got := send(h, "POST", "/x/"+testID, "job").Code; got != 200 || len(client.jobs["two"]) != 0 {
			t.Errorf("got status %d and jobs %v at the new service, want 200 and none", got, client.jobs["two"])
		}
	})
}

// TestQueuesAreAskedForOnce guards against calls that a deployment pays for without ever
// moving a queue, though versions increase in uneven steps, and against missing what a
// version that was not read has moved.
func TestQueuesAreAskedForOnce(t *testing.T) {
	runHandler(t, newTestConfig(1, "one"), func(h *Handler, _ *testConfigSource, client *fakeClient) {
		client.setVersion(20)
		steps := []struct {
			version  int64
			complete bool
			want     int
		}{{1, false, 1}, {2, true, 1}, {5, true, 1}, {9, false, 2}, {8, false, 2}, {12, true, 2}}
		for _, step := range steps {
			h.LearnConfig(newTestConfig(step.version, "one"), step.complete)
			time.Sleep(10 * time.Second)
			if got, want := client.askedFor(), map[string]int{"two": step.want}; !maps.Equal(got, want) {
				t.Errorf("got lists asked for %v after version %d, want %v", got, step.version, want)
			}
		}
		client.calls = nil
		if got := send(h, "POST", "/x/"+testID, "job").Code; got != 200 || !slices.Equal(client.calls, []string{"Submit one"}) {
			t.Errorf("got status %d and calls %v for a submission, want 200 and one call", got, client.calls)
		}
	})
}

// TestPendingCountsAllServices guards against a count that leaves out the jobs at the services
// which a queue has used before.
func TestPendingCountsAllServices(t *testing.T) {
	config := queue.NewConfig(2, newTestConfig(2, "two").Queues, []queue.Service{{Name: "one", Standby: true}, {Name: "two"}, {Name: "three"}}, queue.Limits{})
	for _, version := range []int64{0, 2} {
		runHandler(t, config, func(h *Handler, source *testConfigSource, client *fakeClient) {
			client.jobs["one"] = map[string]bool{"a": true, "b": true}
			client.jobs["two"] = map[string]bool{"c": true}
			client.setVersion(version)
			h.LearnConfig(source.config, true)
			time.Sleep(5 * time.Second)
			client.calls = nil
			if got := send(h, "GET", "/x/", "").Body.String(); got != "3" {
				t.Errorf("got count %q with owners of version %d, want 3", got, version)
			}
			if settled := version > 0; slices.Contains(client.calls, "Pending three") == settled {
				t.Errorf("got calls %v with owners of version %d, want service three asked: %t", client.calls, version, !settled)
			}
			if got := send(h, "GET", "/x/a", "").Code; got != 404 {
				t.Errorf("got status %d for an ID that isn't one, want 404", got)
			}
			client.setOutcomes(map[string]owner.Outcome{"one": owner.NotOwner})
			if got := send(h, "GET", "/x/", "").Code; got != 503 {
				t.Errorf("got status %d while a service with jobs doesn't answer, want 503", got)
			}
		})
	}
}

// TestPendingWithoutRemovedService guards against a count that fails for good because the
// configuration no longer holds a service that the queue has used.
func TestPendingWithoutRemovedService(t *testing.T) {
	h, source, client := newTestHandler(newTestConfig(1, "one"))
	source.config = queue.NewConfig(2, newTestConfig(2, "two").Queues, []queue.Service{{Name: "two"}}, queue.Limits{})
	client.setOutcomes(map[string]owner.Outcome{"one": owner.NotOwner})
	if got := send(h, "GET", "/x/", "").Code; got != 200 {
		t.Errorf("got status %d, want 200", got)
	}
}

// TestSubmissionClosesOldService guards against a job that a node which lags behind submits at the old
// service after another has submitted or cancelled it: the old service must learn of the move
// first, and of the same version until the queue moves again.
func TestSubmissionClosesOldService(t *testing.T) {
	h, _, client := newTestHandler(newTestConfig(1, "one"))
	steps := []struct {
		version int64
		service string
		method  string
		old     string
		want    int64
	}{
		{3, "two", "POST", "one", 3}, {5, "two", "POST", "one", 3}, {7, "two", "DELETE", "one", 3}, {8, "two", "GET", "one", 0},
		{9, "one", "POST", "two", 9}, {10, "two", "POST", "one", 10},
	}
	for _, step := range steps {
		config := newTestConfig(step.version, step.service)
		h.LearnConfig(config, true)
		h.config = &testConfigSource{config: config}
		client.requests = nil
		id := "00000000000000f" + strconv.FormatInt(step.version%10, 10)
		send(h, step.method, "/x/"+id, "job")
		asked := false
		for _, request := range client.requests {
			if request.Service == step.old {
				asked = true
				if got := request.MovedIn; got != step.want {
					t.Errorf("got version %d of the move in a call for %s of version %d, want %d", got, step.method, step.version, step.want)
				}
			}
		}
		if !asked {
			t.Errorf("got no call to service %s for %s of version %d, want one", step.old, step.method, step.version)
		}
	}
}

// TestManyQueuesAreLearnedInLinearTime guards against a node that answers no request while it compares
// each queue of a large configuration with all of the one before: requests wait for the comparison.
func TestManyQueuesAreLearnedInLinearTime(t *testing.T) {
	const count = 1000
	var queues []*queue.Queue
	for i := range count {
		// A key this long is allocated each time that it is built.
		prefix := "/a-prefix-of-more-than-32-bytes/" + strconv.Itoa(i) + "/"
		queues = append(queues, &queue.Queue{Host: "a.example", Prefix: prefix, Policy: tasks.Policy{Service: "one"}})
	}
	var h serviceHistory
	version := int64(0)
	got := testing.AllocsPerRun(3, func() {
		version++
		h.update(queue.NewConfig(version, queues, []queue.Service{{Name: "one"}, {Name: "two"}}, queue.Limits{}), true)
	})
	if want := 10.0 * count; got > want {
		t.Errorf("got %.0f allocations for %d queues, want at most %.0f", got, count, want)
	}
}

// TestRemovedServiceIsAskedForAWhile guards against jobs that are refused until the node is started
// again because a service that their queue has used was removed, and against accepting them
// while that service may still run them.
func TestRemovedServiceIsAskedForAWhile(t *testing.T) {
	for method, want := range map[string]int{"POST": 200, "DELETE": 410} {
		synctest.Test(t, func(t *testing.T) {
			h, source, client := newTestHandler(newTestConfig(1, "one"))
			client.setOutcomes(map[string]owner.Outcome{"one": owner.NotOwner})
			source.config = queue.NewConfig(2, newTestConfig(2, "two").Queues, []queue.Service{{Name: "two"}}, queue.Limits{})
			h.LearnConfig(source.config, true)
			time.Sleep(removedTime)
			if got := send(h, method, "/x/"+testID, "job").Code; got != 503 {
				t.Errorf("got status %d for %s while the removed service may run jobs, want 503", got, method)
			}
			time.Sleep(time.Second)
			if got := send(h, method, "/x/"+testID, "job").Code; got != want {
				t.Errorf("got status %d for %s once it runs none, want %d", got, method, want)
			}
		})
	}
}

// TestStandbyServiceWithJobs guards against a job that is reported as unknown because the
// service that holds it was put on standby.
func TestStandbyServiceWithJobs(t *testing.T) {
	config := queue.NewConfig(2, newTestConfig(2, "two").Queues, []queue.Service{{Name: "one", Standby: true}, {Name: "two"}}, queue.Limits{})
	runHandler(t, config, func(h *Handler, source *testConfigSource, client *fakeClient) {
		client.jobs["one"] = map[string]bool{testID: true}
		client.setVersion(2)
		h.LearnConfig(source.config, true)
		time.Sleep(time.Second)
		if got := send(h, "GET", "/x/"+testID, "").Code; got != 200 {
			t.Errorf("got status %d, want 200", got)
		}
	})
}

// preCancelledClient is an OwnerClient whose service "one" knows a job as cancelled before it
// was submitted.
type preCancelledClient struct{ *fakeClient }

func (c preCancelledClient) Call(ctx context.Context, method owner.Method, request owner.Request) owner.Response {
	response := c.fakeClient.Call(ctx, method, request)
	if request.Service == "one" && method == owner.MethodStatus {
		return owner.Response{Outcome: owner.UnknownJob, Status: sched.Status{PreCancelled: true, Phase: tasks.Cancelled}}
	}
	return response
}

// TestCancelledInAdvanceAtOldService guards against a late submission that starts at the new
// service although the old one has been told to cancel the job.
func TestCancelledInAdvanceAtOldService(t *testing.T) {
	h, source, client := newTestHandler(newTestConfig(1, "one"))
	h.client = preCancelledClient{client}
	source.config = newTestConfig(2, "two")
	for method, want := range map[string]int{"POST": 200, "GET": 410} {
		if got := send(h, method, "/x/"+testID, "job").Code; got != want || len(client.jobs["two"]) != 0 {
			t.Errorf("got status %d for %s and jobs %v at the new service, want %d and none", got, method, client.jobs["two"], want)
		}
	}
}

package intake

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/views"
)

// cancelClient is an OwnerClient whose calls of one method fail at some services, and that records
// cancellations in advance as owners do.
type cancelClient struct {
	*fakeClient
	// failures holds the outcomes by service and method.
	failures map[string]owner.Outcome
	// preCancelled and cancelled hold services.
	preCancelled map[string]bool
	cancelled    map[string]bool
}

func (c *cancelClient) Call(ctx context.Context, method owner.Method, request owner.Request) owner.Response {
	if outcome := c.failures[request.Service+" "+string(method)]; outcome != owner.Done {
		return owner.Response{Outcome: outcome}
	}
	response := c.fakeClient.Call(ctx, method, request)
	switch {
	case method == owner.MethodCancel && response.Outcome == owner.Done:
		c.cancelled[request.Service] = true
	case method == owner.MethodCancel && response.Outcome == owner.UnknownJob && !request.MustExist:
		c.preCancelled[request.Service] = true
	case response.Outcome == owner.UnknownJob:
		response.Status = sched.Status{PreCancelled: c.preCancelled[request.Service]}
	}
	return response
}

// newCancelHandler returns the handler of a node that knows that the queue has moved from service one
// to service two, and the client through which it calls them. Service three never had the queue.
func newCancelHandler() (*Handler, *cancelClient) {
	h, source, client := newTestHandler(newTestConfig(1, "one"))
	moved := newTestConfig(2, "two")
	source.config = queue.NewConfig(2, moved.Queues, append(moved.Services, queue.Service{Name: "three"}), moved.Limits)
	h.LearnConfig(source.config, true)
	for _, service := range source.config.Services {
		h.history.addList(service.Name, sched.QueueList{ConfigVersion: 2})
	}
	c := &cancelClient{fakeClient: client, preCancelled: make(map[string]bool), cancelled: make(map[string]bool)}
	h.client = c
	return h, c
}

// Guards against a cancel that is answered with 410, which is final for the caller, while a service
// that the owner of the queue's current one can't speak for has the job, and runs it on.
func TestCancelIsFinalForAllServices(t *testing.T) {
	type failures = map[string]owner.Outcome
	tests := []struct {
		name string
		// holder is the service that has the job, empty for none.
		holder   string
		failures failures
		want     int
	}{
		{"status lost, at the earlier service", "one", failures{"two Status": owner.NotOwner}, 200},
		{"status uncertain, at the earlier service", "one", failures{"two Status": owner.Uncertain}, 200},
		{"store away, at the earlier service", "one", failures{"two Status": owner.StoreUnavailable}, 200},
		{"status lost, at a service that is not known to hold jobs", "three", failures{"two Status": owner.NotOwner}, 200},
		{"status lost, at the current service", "two", failures{"two Status": owner.NotOwner}, 200},
		{"status lost, nowhere", "", failures{"two Status": owner.NotOwner}, 410},
		{"nowhere", "", nil, 410},
		{"earlier service lost", "one", failures{"one Status": owner.NotOwner}, 503},
		{"both lost", "one", failures{"one Status": owner.NotOwner, "two Status": owner.NotOwner}, 503},
		{"both uncertain", "one", failures{"one Status": owner.Uncertain, "two Status": owner.Uncertain}, 504},
		{"both lost, at the current service", "two", failures{"one Status": owner.NotOwner, "two Status": owner.NotOwner}, 200},
		{"another organisation's", "two", failures{"two Status": owner.Forbidden, "two Cancel": owner.Forbidden}, 403},
	}
	for _, test := range tests {
		h, client := newCancelHandler()
		if test.holder != "" {
			client.jobs[test.holder] = map[string]bool{testID: true}
		}
		client.failures = test.failures
		got := send(h, "DELETE", "/x/"+testID, "")
		if got.Code != test.want {
			t.Errorf("%s: got status %d, want %d", test.name, got.Code, test.want)
		}
		if test.want == 200 && !client.cancelled[test.holder] {
			t.Errorf("%s: got the job cancelled at %v, want at %s", test.name, client.cancelled, test.holder)
		}
		if test.holder != "" && len(client.preCancelled) > 0 {
			t.Errorf("%s: got it cancelled in advance at %v, want at no service while another has it", test.name, client.preCancelled)
		}
		if test.want == 410 && !client.preCancelled["two"] {
			t.Errorf("%s: got it cancelled in advance at %v, want at the current service", test.name, client.preCancelled)
		}
	}
}

// Guards against a job that isn't found since another service was told to cancel it in advance.
func TestJobIsFoundBesideCancelInAdvance(t *testing.T) {
	for _, holder := range []string{"one", "two", "three"} {
		for _, cancelledAt := range []string{"one", "two", "three"} {
			if holder == cancelledAt {
				continue
			}
			for _, method := range []string{"GET", "DELETE", "POST"} {
				h, client := newCancelHandler()
				client.jobs[holder] = map[string]bool{testID: true}
				client.preCancelled[cancelledAt] = true
				name := fmt.Sprintf("%s of a job at %s, cancelled in advance at %s", method, holder, cancelledAt)
				if method == "POST" && holder == "three" {
					// No submission asks a service that is known to hold no job of the queue.
					continue
				}
				if got := send(h, method, "/x/"+testID, "job").Code; got != 200 {
					t.Errorf("%s: got status %d, want 200", name, got)
				}
				if method == "DELETE" && !client.cancelled[holder] {
					t.Errorf("%s: got it cancelled at %v, want at %s", name, client.cancelled, holder)
				}
				// The owner of the current service answers a submission itself.
				jobs := 0
				for _, held := range client.jobs {
					jobs += len(held)
				}
				if method == "POST" && jobs != 1 && cancelledAt != "two" {
					t.Errorf("%s: got jobs %v, want one", name, client.jobs)
				}
			}
		}
	}
}

// Guards against 410 for an accepted job of a service on standby that has not listed its queues yet.
func TestUnsettledStandbyServiceIsAsked(t *testing.T) {
	config := queue.NewConfig(2, newTestConfig(2, "two").Queues, []queue.Service{{Name: "one", Standby: true}, {Name: "two"}}, queue.Limits{BodyBytes: 64})
	for _, method := range []string{"GET", "DELETE"} {
		h, _, client := newStartedHandler(config)
		client.jobs["one"] = map[string]bool{testID: true}
		if got := send(h, method, "/x/"+testID, "").Code; got != 200 {
			t.Errorf("got status %d for %s, want 200", got, method)
		}
		client.setOutcomes(map[string]owner.Outcome{"one": owner.NotOwner})
		if got := send(h, method, "/x/"+testID, "").Code; got != 503 {
			t.Errorf("got status %d for %s while the service doesn't answer, want 503", got, method)
		}
	}
}

// TestExplainCancel checks that a cancel is explained as it is carried out while the owner of the
// queue's service doesn't answer, or was told to cancel the job in advance.
func TestExplainCancel(t *testing.T) {
	found := owner.Response{Preview: &views.Placement{Job: "open"}}
	inAdvance := owner.Response{Outcome: owner.UnknownJob, Preview: &views.Placement{PreCancelled: true}}
	type responses = map[string]owner.Response
	tests := []struct {
		name      string
		method    string
		previewer fakePreviewer
		status    int
		asked     []string
	}{
		{"own service lost, found", "DELETE", fakePreviewer{lost: []string{"two"}, responses: responses{"one": found}}, 200, []string{"two", "one"}},
		{"own service lost, not found", "DELETE", fakePreviewer{lost: []string{"two"}}, 503, []string{"two", "one", "three"}},
		{"both lost", "DELETE", fakePreviewer{lost: []string{"two", "one"}}, 503, []string{"two", "one", "three"}},
		{"in advance at its own, found", "DELETE", fakePreviewer{responses: responses{"two": inAdvance, "three": found}}, 200, []string{"two", "one", "three"}},
		{"in advance at another, found", "GET", fakePreviewer{responses: responses{"one": inAdvance, "three": found}}, 200, []string{"two", "one", "three"}},
		{"in advance alone", "GET", fakePreviewer{responses: responses{"one": inAdvance}}, 410, []string{"two", "one", "three"}},
		{"forbidden", "DELETE", fakePreviewer{responses: responses{"two": {Outcome: owner.Forbidden}}}, 403, []string{"two"}},
	}
	for _, test := range tests {
		h, _ := newCancelHandler()
		got := h.Explain(t.Context(), &test.previewer, views.ExplainRequest{Host: "a.example", Method: test.method, Path: "/x/" + testID})
		if got.Status != test.status || !slices.Equal(got.Asked, test.asked) {
			t.Errorf("%s: got %+v, want status %d after asking %v", test.name, got, test.status, test.asked)
		}
	}
}

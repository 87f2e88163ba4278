package intake

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

const testID = "5c0e7a21d94b36f8"

// testConfigSource returns a configuration that tests can replace.
type testConfigSource struct {
	config *queue.Config
}

func (s *testConfigSource) Config() *queue.Config { return s.config }

// fakeClient is an OwnerClient that records jobs by service.
type fakeClient struct {
	jobs map[string]map[string]bool
	// outcome is returned by every call unless it is Done.
	outcome owner.Outcome
	// wait is the time after which an owner that refuses asks callers to return.
	wait  time.Duration
	calls []string
	// requests holds the requests of all calls.
	requests []owner.Request
	// mu protects all below. outcomes holds the outcomes of all calls to services, version
	// is that of the owners' configuration, and asked counts the lists by service. Owners
	// don't list their queues while the version is 0.
	mu       sync.Mutex
	outcomes map[string]owner.Outcome
	version  int64
	asked    map[string]int
}

// Queues implements OwnerClient.
func (c *fakeClient) Queues(_ context.Context, service string) (sched.QueueList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked == nil {
		c.asked = make(map[string]int)
	}
	c.asked[service]++
	if c.version == 0 || c.outcomes[service] != owner.Done {
		return sched.QueueList{}, errors.New("no answer")
	}
	list := sched.QueueList{ConfigVersion: c.version}
	if len(c.jobs[service]) > 0 {
		list.Queues = []string{"a.example/x/"}
	}
	return list, nil
}

// askedFor returns how often each service was asked for its queues.
func (c *fakeClient) askedFor() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.asked)
}

// setOutcomes sets the outcomes of all calls to services.
func (c *fakeClient) setOutcomes(outcomes map[string]owner.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = outcomes
}

// setVersion sets the version of the owners' configuration.
func (c *fakeClient) setVersion(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
}

// Call implements OwnerClient.
func (c *fakeClient) Call(_ context.Context, method owner.Method, request owner.Request) owner.Response {
	c.calls = append(c.calls, string(method)+" "+request.Service)
	c.requests = append(c.requests, request)
	if outcome := max(c.outcome, c.outcomes[request.Service]); outcome != owner.Done {
		return owner.Response{Outcome: outcome, RetryAfter: c.wait}
	}
	jobs := c.jobs[request.Service]
	if jobs == nil {
		jobs = make(map[string]bool)
		c.jobs[request.Service] = jobs
	}
	switch {
	case method == owner.MethodPending:
		return owner.Response{Pending: len(jobs)}
	case method == owner.MethodSubmit:
		jobs[request.Key.ID] = true
	case !jobs[request.Key.ID]:
		return owner.Response{Outcome: owner.UnknownJob}
	}
	return owner.Response{Status: sched.Status{Phase: tasks.Open}}
}

func newTestConfig(version int64, service string) *queue.Config {
	return queue.NewConfig(version, []*queue.Queue{{Name: "q", Host: "a.example", Prefix: "/x/", Policy: tasks.Policy{Service: service}}},
		[]queue.Service{{Name: "one"}, {Name: "two"}}, queue.Limits{BodyBytes: 64})
}

// newTestHandler returns the handler of a node whose services have listed that they hold no
// jobs.
func newTestHandler(config *queue.Config) (*Handler, *testConfigSource, *fakeClient) {
	h, source, client := newStartedHandler(config)
	if config != nil {
		h.LearnConfig(config, true)
		for _, service := range config.Services {
			h.history.addList(service.Name, sched.QueueList{ConfigVersion: config.Version})
		}
	}
	return h, source, client
}

// newStartedHandler returns the handler of a node that has just started.
func newStartedHandler(config *queue.Config) (*Handler, *testConfigSource, *fakeClient) {
	source := &testConfigSource{config: config}
	client := &fakeClient{jobs: make(map[string]map[string]bool)}
	codec := Codec{
		Timeout: func(http.Header) time.Duration { return 0 },
		Key:     func(header http.Header) string { return header.Get("Test-Key") },
		JobSize: func(body []byte) (int64, error) { return int64(len(body)), nil },
		DecodeJob: func(body []byte) (tasks.Plan, error) {
			if string(body) == "bad" {
				return tasks.Plan{}, errors.New("invalid body")
			}
			return tasks.Plan{Spec: string(body)}, nil
		},
		EncodeState:   func(phase tasks.Phase, _ bool) ([]byte, error) { return []byte{byte('0' + phase)}, nil },
		EncodePending: func(count int) ([]byte, error) { return []byte{byte('0' + count)}, nil },
	}
	return NewHandler(source, client, codec, metrics.NewSet(), logr.Discard()), source, client
}

func send(h *Handler, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(body))
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

// TestStatusCodes checks the status code of each kind of request.
func TestStatusCodes(t *testing.T) {
	h, _, _ := newTestHandler(newTestConfig(1, "one"))
	tests := []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/x/", "", 200},
		{"GET", "/y/", "", 404},
		{"GET", "/x/" + testID, "", 410},
		{"DELETE", "/x/" + testID, "", 410},
		{"POST", "/x/" + testID, "bad", 400},
		{"POST", "/x/" + testID, strings.Repeat("x", 65), 413},
		{"POST", "/x/short", "job", 404},
		{"PUT", "/x/" + testID, "job", 405},
		{"POST", "/x/" + testID, "job", 200},
		{"POST", "/x/" + testID, "job", 200},
		{"GET", "/x/" + testID, "", 200},
		{"DELETE", "/x/" + testID, "", 200},
	}
	for _, test := range tests {
		if got := send(h, test.method, test.path, test.body).Code; got != test.want {
			t.Errorf("got status %d for %s %s, want %d", got, test.method, test.path, test.want)
		}
	}
}

// TestErrorStatusCodes checks that only requests without effect get status 503, and
// that it comes with a Retry-After header.
func TestErrorStatusCodes(t *testing.T) {
	tests := map[owner.Outcome]int{owner.NotOwner: 503, owner.StoreUnavailable: 503, owner.Overloaded: 503, owner.TooLarge: 503, owner.Uncertain: 504, owner.IDConflict: 409}
	for outcome, want := range tests {
		h, _, client := newTestHandler(newTestConfig(1, "one"))
		client.outcome = outcome
		got := send(h, "POST", "/x/"+testID, "job")
		if got.Code != want {
			t.Errorf("got status %d for outcome %v, want %d", got.Code, outcome, want)
		}
		if hasRetryAfter := got.Header().Get("Retry-After") != ""; hasRetryAfter != (want == 503) {
			t.Errorf("got a Retry-After header: %t for status %d, want %t", hasRetryAfter, want, want == 503)
		}
	}
	h, _, _ := newTestHandler(nil)
	if got := send(h, "GET", "/x/", ""); got.Code != 503 {
		body, _ := io.ReadAll(got.Body)
		t.Errorf("got status %d and body %q without a configuration, want 503", got.Code, body)
	}
}

// TestQueueChangesService moves a queue to another service. Its existing jobs must
// still be found, be cancelled at the old service and not be submitted again.
func TestQueueChangesService(t *testing.T) {
	h, source, client := newTestHandler(newTestConfig(1, "one"))
	send(h, "POST", "/x/"+testID, "job")
	source.config = newTestConfig(2, "two")
	if got := send(h, "GET", "/x/"+testID, "").Code; got != 200 {
		t.Errorf("got status %d for an existing job, want 200", got)
	}
	if got := send(h, "POST", "/x/"+testID, "job").Code; got != 200 || len(client.jobs["two"]) != 0 {
		t.Errorf("got status %d and jobs %v at the new service for a resubmitted job, want 200 and none", got, client.jobs["two"])
	}
	client.calls = nil
	if got := send(h, "DELETE", "/x/"+testID, "").Code; got != 200 || client.calls[len(client.calls)-1] != "Cancel one" {
		t.Errorf("got status %d and calls %v, want 200 and the job cancelled at the old service", got, client.calls)
	}
	other := "00000000000000ff"
	if got := send(h, "POST", "/x/"+other, "job").Code; got != 200 || !client.jobs["two"][other] {
		t.Errorf("got status %d, want 200 and a new job submitted to the new service", got)
	}
}

// TestIdleNodeKnowsMovedQueue guards against accepting a job a second time because the node
// served no request while the queue used its old service, or read that version late.
func TestIdleNodeKnowsMovedQueue(t *testing.T) {
	for name, versions := range map[string][]int64{"in order": {1, 2}, "old version read late": {2, 1}} {
		t.Run(name, func(t *testing.T) {
			h, source, client := newTestHandler(newTestConfig(2, "two"))
			for _, version := range versions {
				if version == source.config.Version {
					h.LearnConfig(source.config, true)
				} else {
					h.LearnConfig(newTestConfig(version, "one"), true)
				}
			}
			client.jobs["one"] = map[string]bool{testID: true}
			if got := send(h, "POST", "/x/"+testID, "job").Code; got != 200 || len(client.jobs["two"]) != 0 {
				t.Errorf("got status %d and jobs %v at the new service for a repeated job, want 200 and none", got, client.jobs["two"])
			}
		})
	}
}

// TestOverloadedServiceGetsNoBodies submits jobs to an overloaded service: after the
// first refusal, bodies must stay here until callers return. A job that was accepted
// must not be refused.
func TestOverloadedServiceGetsNoBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, client := newTestHandler(newTestConfig(1, "one"))
		const accepted, other = "00000000000000aa", "00000000000000bb"
		if got := send(h, "POST", "/x/"+accepted, "job").Code; got != 200 {
			t.Fatalf("got status %d, want 200", got)
		}
		client.outcome = owner.Overloaded
		if got := send(h, "POST", "/x/"+other, "job").Code; got != 503 {
			t.Errorf("got status %d from an overloaded owner, want 503", got)
		}
		client.outcome, client.calls = owner.Done, nil
		for id, want := range map[string]int{accepted: 200, other: 503} {
			if got := send(h, "POST", "/x/"+id, "job").Code; got != want {
				t.Errorf("got status %d for job %s, want %d", got, id, want)
			}
		}
		if slices.Contains(client.calls, "Submit one") {
			t.Errorf("got calls %v while the owner was overloaded, want no submission", client.calls)
		}
		time.Sleep(retryAfter)
		if got := send(h, "POST", "/x/"+other, "job").Code; got != 200 {
			t.Errorf("got status %d after the time to wait, want 200", got)
		}
	})
}

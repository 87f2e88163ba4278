package intake

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
	"rattanpath/views"
)

// fakePreviewer answers by service as an owner would to a submission. Services that are missing
// have no job; err is returned for the services in lost.
type fakePreviewer struct {
	responses map[string]owner.Response
	lost      []string
	requests  []owner.Request
}

// Preview implements Previewer.
func (p *fakePreviewer) Preview(_ context.Context, request owner.Request) (owner.Response, error) {
	p.requests = append(p.requests, request)
	if slices.Contains(p.lost, request.Service) {
		return owner.Response{}, errors.New("no owner is known for the service")
	}
	response, ok := p.responses[request.Service]
	switch {
	case ok:
		return response, nil
	case len(request.Plan.Steps) == 0:
		return owner.Response{Outcome: owner.UnknownJob, Preview: &views.Placement{Service: request.Service}}, nil
	default:
		return owner.Response{Preview: &views.Placement{Service: request.Service, Start: "now"}}, nil
	}
}

// explainDecode decodes the bodies of the tests below: "bad" is no job, others are.
func explainDecode(body []byte) (tasks.Plan, error) {
	if string(body) == "bad" {
		return tasks.Plan{}, errors.New("the body is no job: bad")
	}
	return tasks.Plan{Spec: "spec", Steps: []tasks.Step{{Count: 2}}}, nil
}

func hashOf(key string) []byte {
	if key == "" {
		return nil
	}
	hash := queue.HashKey(key)
	return hash[:]
}

// TestExplainMatchesResponses compares the status code of explanations with that of the requests
// themselves, for all ways in which a node decides before it calls an owner. Neither the calls
// that a request makes nor log lines and metrics may come from an explanation.
func TestExplainMatchesResponses(t *testing.T) {
	withKeys := newKeyConfig("one", "two")
	withoutKeys := queue.NewConfig(7, withKeys.Queues, withKeys.Services, withKeys.Limits)
	for _, config := range []*queue.Config{withKeys, withoutKeys, newKeyConfig(), nil} {
		for _, method := range []string{"POST", "GET", "DELETE", "PUT"} {
			for _, path := range []string{closedPath, publicPath, "/closed/", "/closed/short", "/closed/5c0e7a21d94b36fg", "/none/" + testID, closedPath + "?a=b"} {
				for _, key := range []string{"", "key-one", "key-other"} {
					for _, body := range []string{"job", "bad", strings.Repeat("x", 65)} {
						h, _, client := newTestHandler(config)
						h.codec.DecodeJob = explainDecode
						var lines strings.Builder
						h.logger = funcr.New(func(prefix, args string) { lines.WriteString(args) }, funcr.Options{})
						previewer := &fakePreviewer{}
						got := h.Explain(t.Context(), previewer, views.ExplainRequest{Host: "a.example:80", Method: method, Path: path, KeyHash: hashOf(key), Body: []byte(body)})
						if len(client.calls) != 0 || lines.Len() != 0 || len(h.metrics.ListMetricNames()) != 0 {
							t.Fatalf("got calls %v, log %q and metrics %v from an explanation, want none", client.calls, lines.String(), h.metrics.ListMetricNames())
						}
						want := sendKey(h, method, path, key, strings.NewReader(body))
						if got.Status != want.Code {
							t.Errorf("got %+v for %s %s with key %q and body %.4q, want status %d: %s", got, method, path, key, body, want.Code, want.Body)
						}
						if got.Status >= 400 && got.Status != http.StatusGone && got.Reason != strings.TrimSpace(want.Body.String()) {
							t.Errorf("got reason %q, want %q as in the response", got.Reason, want.Body)
						}
						if text, err := json.Marshal(got); err != nil || key != "" && strings.Contains(string(text), key) {
							t.Errorf("got %s and error %v, want no key in it", text, err)
						}
					}
				}
			}
		}
	}
}

// TestExplainSubmission checks what is said of submissions that an owner decides on, and that the
// owner gets the same arguments as with a submission.
func TestExplainSubmission(t *testing.T) {
	request := views.ExplainRequest{Host: "a.example", Method: "POST", Path: closedPath, KeyHash: hashOf("key-one"), Body: []byte("job")}
	tests := []struct {
		name      string
		previewer fakePreviewer
		status    int
		reason    string
	}{
		{"accepted", fakePreviewer{}, 200, "the job would be accepted"},
		{"exists", fakePreviewer{responses: map[string]owner.Response{"one": {Preview: &views.Placement{Job: "open"}}}}, 200, "a job of that ID exists"},
		{"store away", fakePreviewer{responses: map[string]owner.Response{"one": {Outcome: owner.StoreUnavailable, Preview: &views.Placement{Refused: "why"}}}}, 503, "nothing was done: store-away: why"},
		{"another organisation's", fakePreviewer{responses: map[string]owner.Response{"one": {Outcome: owner.Forbidden, Preview: &views.Placement{}}}}, 409, "the job belongs to another organisation"},
		{"withdrawn key", fakePreviewer{responses: map[string]owner.Response{"one": {Outcome: owner.Unauthorised}}}, 401, "the queue needs the key of an organisation: key withdrawn"},
		{"no owner", fakePreviewer{lost: []string{"one"}}, 503, "unknown: the owner of service one could not be asked: no owner is known for the service"},
	}
	for _, test := range tests {
		h, _, client := newTestHandler(newKeyConfig("one"))
		h.codec.DecodeJob = explainDecode
		got := h.Explain(t.Context(), &test.previewer, request)
		if got.Status != test.status || got.Reason != test.reason || got.Organisation != "one" || got.Key != "valid" || got.Body != "a valid job: steps 1, tasks 2, rounds 1" {
			t.Errorf("%s: got %+v, want status %d, reason %q", test.name, got, test.status, test.reason)
		}
		sendKey(h, "POST", closedPath, "key-one", strings.NewReader("job"))
		preview, submitted := test.previewer.requests[0], client.requests[0]
		if preview.Service != submitted.Service || preview.Key != submitted.Key || preview.Policy != submitted.Policy || preview.ConfigVersion != submitted.ConfigVersion || !slices.Equal(preview.KeyHash, submitted.KeyHash) {
			t.Errorf("%s: got arguments %+v, want %+v as for a submission", test.name, preview, submitted)
		}
	}
}

// TestExplainEarlierServices checks that a job which another service may hold is looked for there
// first, as with a submission.
func TestExplainEarlierServices(t *testing.T) {
	request := views.ExplainRequest{Host: "a.example", Method: "POST", Path: "/x/" + testID, Body: []byte("job")}
	tests := []struct {
		name      string
		previewer fakePreviewer
		status    int
		asked     []string
	}{
		{"unknown there", fakePreviewer{}, 200, []string{"one", "two"}},
		{"exists there", fakePreviewer{responses: map[string]owner.Response{"one": {Preview: &views.Placement{Job: "open"}}}}, 200, []string{"one"}},
		{"cancelled in advance there", fakePreviewer{responses: map[string]owner.Response{"one": {Outcome: owner.UnknownJob, Preview: &views.Placement{PreCancelled: true}}}}, 200, []string{"one"}},
		{"not known", fakePreviewer{lost: []string{"one"}}, 503, []string{"one"}},
	}
	for _, test := range tests {
		h, source, _ := newTestHandler(newTestConfig(1, "one"))
		h.codec.DecodeJob = explainDecode
		source.config = newTestConfig(2, "two")
		h.LearnConfig(source.config, true)
		h.history.addList("one", sched.QueueList{ConfigVersion: 2})
		if got := h.Explain(t.Context(), &test.previewer, request); got.Status != test.status || !slices.Equal(got.Asked, test.asked) {
			t.Errorf("%s: got %+v, want status %d after asking %v", test.name, got, test.status, test.asked)
		}
	}
}

// Guards against explanations that miss that this node refuses large jobs for a moment.
func TestExplainOverloadedQueue(t *testing.T) {
	h, _, client := newTestHandler(newTestConfig(1, "one"))
	h.codec.DecodeJob = explainDecode
	client.outcome = owner.Overloaded
	request := httptest.NewRequest("POST", "http://a.example/x/"+testID, strings.NewReader("job"))
	h.ServeHTTP(httptest.NewRecorder(), request)
	got := h.Explain(t.Context(), &fakePreviewer{}, views.ExplainRequest{Host: "a.example", Method: "POST", Path: "/x/" + testID, Body: []byte("job")})
	if got.Status != 503 || !strings.Contains(got.Reason, "this node refuses such jobs") || got.RetryAfter != retryAfter {
		t.Errorf("got %+v, want 503 by this node", got)
	}
}

// TestExplainQuery checks which services are asked for a job, as with a query: others than the
// queue's own only if that has none, and all of these although the owner of one can't be asked.
func TestExplainQuery(t *testing.T) {
	found := owner.Response{Preview: &views.Placement{Job: "open"}}
	tests := []struct {
		name      string
		previewer fakePreviewer
		status    int
		asked     []string
	}{
		{"own service", fakePreviewer{responses: map[string]owner.Response{"one": found}}, 200, []string{"one"}},
		{"own service lost", fakePreviewer{lost: []string{"one"}, responses: map[string]owner.Response{"two": found}}, 503, []string{"one"}},
		{"other service lost", fakePreviewer{lost: []string{"three"}, responses: map[string]owner.Response{"two": found}}, 200, []string{"one", "three", "two"}},
		{"not found, other service lost", fakePreviewer{lost: []string{"three"}}, 503, []string{"one", "three", "two"}},
		{"not found", fakePreviewer{}, 410, []string{"one", "three", "two"}},
	}
	for _, test := range tests {
		config := newTestConfig(1, "one")
		h, _, client := newTestHandler(queue.NewConfig(1, config.Queues, append(config.Services, queue.Service{Name: "three"}), config.Limits))
		got := h.Explain(t.Context(), &test.previewer, views.ExplainRequest{Host: "a.example", Method: "GET", Path: "/x/" + testID})
		if got.Status != test.status || !slices.Equal(got.Asked, test.asked) {
			t.Errorf("%s: got %+v, want status %d after asking %v", test.name, got, test.status, test.asked)
		}
		client.setOutcomes(map[string]owner.Outcome{})
		for service := range test.previewer.responses {
			client.jobs[service] = map[string]bool{testID: true}
		}
		for _, service := range test.previewer.lost {
			client.outcomes[service] = owner.NotOwner
		}
		request := httptest.NewRequest("GET", "http://a.example/x/"+testID, nil)
		recorder := httptest.NewRecorder()
		if h.ServeHTTP(recorder, request); recorder.Code != test.status {
			t.Errorf("%s: got status %d of the query itself, want %d", test.name, recorder.Code, test.status)
		}
	}
}

// Guards against a path that no request can have.
func TestExplainInvalidPath(t *testing.T) {
	h, _, _ := newTestHandler(newTestConfig(1, "one"))
	h.metrics = metrics.NewSet()
	for _, path := range []string{"", "x/" + testID, "/x/%zz", "http://a.example/x/" + testID} {
		if got := h.Explain(t.Context(), &fakePreviewer{}, views.ExplainRequest{Host: "a.example", Method: "POST", Path: path}); got.Status != 400 {
			t.Errorf("got %+v for path %q, want status 400", got, path)
		}
	}
}

package intake

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/cell"
	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/tasks"
)

const testID = "5c0e7a21d94b36f8"

// tables is a configuration that tests change.
type tables struct {
	table *queue.Config
}

func (t *tables) Config() *queue.Config { return t.table }

// owners are cells that know jobs by service.
type owners struct {
	known map[string]map[string]bool
	// outcome is what every call comes to, if it is not Done.
	outcome owner.Outcome
	calls   []string
}

// Call implements Owners.
func (o *owners) Call(_ context.Context, method owner.Method, request owner.Request) owner.Answer {
	o.calls = append(o.calls, string(method)+" "+request.Service)
	if o.outcome != owner.Done {
		return owner.Answer{Outcome: o.outcome}
	}
	jobs := o.known[request.Service]
	if jobs == nil {
		jobs = make(map[string]bool)
		o.known[request.Service] = jobs
	}
	switch {
	case method == owner.MethodPending:
		return owner.Answer{Pending: len(jobs)}
	case method == owner.MethodSubmit:
		jobs[request.Key.ID] = true
	case !jobs[request.Key.ID]:
		return owner.Answer{Outcome: owner.Unknown}
	}
	return owner.Answer{Status: cell.Status{Phase: tasks.Open}}
}

func tableOf(version int64, service string) *queue.Config {
	return queue.NewConfig(version, []*queue.Queue{{Name: "q", Host: "a.example", Prefix: "/x/", Policy: tasks.Policy{Service: service}}},
		[]queue.Service{{Name: "one"}, {Name: "two"}}, queue.Limits{BodyBytes: 64})
}

func newTestHandler(table *queue.Config) (*Handler, *tables, *owners) {
	current := &tables{table: table}
	cells := &owners{known: make(map[string]map[string]bool)}
	codec := Codec{
		Timeout: func(http.Header) time.Duration { return 0 },
		DecodeJob: func(body []byte) (tasks.Plan, error) {
			if string(body) == "bad" {
				return tasks.Plan{}, errors.New("the body is bad")
			}
			return tasks.Plan{Spec: string(body)}, nil
		},
		EncodeState:   func(phase tasks.Phase, _ bool) ([]byte, error) { return []byte{byte('0' + phase)}, nil },
		EncodePending: func(count int) ([]byte, error) { return []byte{byte('0' + count)}, nil },
	}
	return NewHandler(current, cells, codec, metrics.NewSet(), logr.Discard()), current, cells
}

func ask(h *Handler, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(body))
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

// TestAnswers checks the status of each answer.
func TestAnswers(t *testing.T) {
	h, _, _ := newTestHandler(tableOf(1, "one"))
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
		if got := ask(h, test.method, test.path, test.body).Code; got != test.want {
			t.Errorf("got %d for %s %s, want %d", got, test.method, test.path, test.want)
		}
	}
}

// TestRefusals checks that only what was not done is refused as such, and that
// the caller is told when to come back.
func TestRefusals(t *testing.T) {
	tests := map[owner.Outcome]int{owner.NotOwner: 503, owner.Away: 503, owner.Uncertain: 504, owner.Taken: 409}
	for outcome, want := range tests {
		h, _, cells := newTestHandler(tableOf(1, "one"))
		cells.outcome = outcome
		got := ask(h, "POST", "/x/"+testID, "job")
		if got.Code != want {
			t.Errorf("got %d for %v, want %d", got.Code, outcome, want)
		}
		if hasHint := got.Header().Get("Retry-After") != ""; hasHint != (want == 503) {
			t.Errorf("got a hint when to come back: %v for status %d", hasHint, want)
		}
	}
	h, _, _ := newTestHandler(nil)
	if got := ask(h, "GET", "/x/", ""); got.Code != 503 {
		body, _ := io.ReadAll(got.Body)
		t.Errorf("got %d %s without a configuration, want 503", got.Code, body)
	}
}

// TestQueueMoves points a queue at another service: the jobs that it had are
// still known, cancelled where they are, and not taken in again.
func TestQueueMoves(t *testing.T) {
	h, current, cells := newTestHandler(tableOf(1, "one"))
	ask(h, "POST", "/x/"+testID, "job")
	current.table = tableOf(2, "two")
	if got := ask(h, "GET", "/x/"+testID, "").Code; got != 200 {
		t.Errorf("got %d for a job of before, want 200", got)
	}
	if got := ask(h, "POST", "/x/"+testID, "job").Code; got != 200 || len(cells.known["two"]) != 0 {
		t.Errorf("got %d and %v at the new service for a repeat, want 200 and nothing", got, cells.known["two"])
	}
	cells.calls = nil
	if got := ask(h, "DELETE", "/x/"+testID, "").Code; got != 200 || cells.calls[len(cells.calls)-1] != "Cancel one" {
		t.Errorf("got %d by %v, want the job cancelled where it is", got, cells.calls)
	}
	other := "00000000000000ff"
	if got := ask(h, "POST", "/x/"+other, "job").Code; got != 200 || !cells.known["two"][other] {
		t.Errorf("got %d, want a new job taken in by the new service", got)
	}
}

package owner

import (
	"bytes"
	"encoding/gob"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

// newTestService returns the RPC service of a node that has claimed one cell, which
// doesn't run.
func newTestService(t *testing.T) *Service {
	t.Helper()
	start := time.Now()
	cell, err := sched.Claim(t.Context(), sched.Options{
		Service:    testService,
		Node:       "n",
		Journal:    fake.NewStore().Client("n"),
		HostClient: fake.NewHostClient(nil, nil),
		Clock:      func() time.Duration { return time.Since(start) },
		MaxLease:   time.Second,
		BatchBytes: 1 << 20,
		Link:       sched.NewLink(0),
		Logger:     logr.Discard(),
		Metrics:    sched.NewMetrics(metrics.NewSet()),
	}, "nonce")
	if err != nil {
		t.Fatal(err)
	}
	return NewService(&Supervisor{config: fixedConfig{}, runners: map[string]*cellRunner{testService: {cell: cell}}})
}

func submitRequest(steps ...tasks.Step) Request {
	return Request{Service: testService, Key: tasks.Key{Queue: "q/", ID: "job"}, Plan: tasks.Plan{Steps: steps}, Timeout: minTimeout}
}

// TestSubmitRejectsInvalidPlans checks that a plan that can't be run is an error, and
// that the node and its cell go on.
func TestSubmitRejectsInvalidPlans(t *testing.T) {
	for _, steps := range [][]tasks.Step{
		nil,
		{{Count: -1}},
		{{Count: 1 << 50}},
		{{Count: 1, After: []int{0}}},
		{{Count: 1}, {Count: 1, After: []int{-1}}},
		{{Count: 1, After: []int{1}}, {Count: 1, After: []int{0}}},
	} {
		service := newTestService(t)
		request, response := submitRequest(steps...), Response{}
		if err := service.Submit(&request, &response); err == nil {
			t.Errorf("got outcome %v for steps %v, want an error", response.Outcome, steps)
		}
		if err := service.Jobs(&request, &response); err != nil || len(response.Jobs) != 0 {
			t.Errorf("got jobs %v, error %v after an invalid plan, want none", response.Jobs, err)
		}
	}
}

// FuzzService checks that no request of another node makes a method panic, nor a
// response its String method.
func FuzzService(f *testing.F) {
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(submitRequest(tasks.Step{Count: 1})); err != nil {
		f.Fatal(err)
	}
	f.Add(data.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var response Response
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&response) == nil {
			_ = response.Outcome.String() + response.Status.Phase.String()
		}
		var request Request
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&request) != nil {
			return
		}
		service := newTestService(t)
		request.Service, request.Timeout = testService, minTimeout
		for _, method := range []func(*Request, *Response) error{
			service.Submit, service.Jobs, service.Explain, service.Report, service.Pool, service.Pending,
			service.Cordon, service.Retire, service.Status, service.Cancel, service.Queues,
		} {
			_ = method(&request, &Response{})
		}
	})
}

// TestRetireOfOlderVersions guards against hosts that stay in use while nodes of two versions
// are in the group: older ones name hosts without their incarnation.
func TestRetireOfOlderVersions(t *testing.T) {
	older := Request{Hosts: []string{"h0", "h1"}}
	if got, want := older.retired(), []sched.RetiredHost{{ID: "h0"}, {ID: "h1"}}; !slices.Equal(got, want) {
		t.Errorf("got %v from an older node, want %v", got, want)
	}
	newer := Request{Hosts: []string{"h0"}, Retired: []sched.RetiredHost{{ID: "h0", Incarnation: 7}}}
	if got := newer.retired(); !slices.Equal(got, newer.Retired) {
		t.Errorf("got %v, want %v", got, newer.Retired)
	}
}

// TestAllotAndOrganisations checks the calls of the machine controller's leader and of operators
// as they are encoded between nodes: an allotment for another owner must not count.
func TestAllotAndOrganisations(t *testing.T) {
	service := newTestService(t)
	cell := service.supervisor.Cell(testService)
	cell.SetOrganisations(queue.NewConfig(5, nil, []queue.Service{{Name: testService}}, queue.Limits{}).WithOrganisations(
		[]queue.Organisation{{Name: "acme", Weight: 2, Cap: tasks.Resources{CPU: 1000}}}, nil))
	var response Response
	if err := service.Allot(&Request{Service: testService, Timeout: minTimeout}, &response); err == nil {
		t.Error("got no error for a call without an allotment, want one")
	}
	for epoch, want := range map[int64]Outcome{cell.Epoch(): Done, cell.Epoch() + 1: NotOwner} {
		request := Request{Service: testService, Timeout: minTimeout, Allotment: &sched.Allotment{
			Leader: 3, Sequence: 1, Epoch: epoch, Until: time.Hour, Amounts: map[string]tasks.Resources{"acme": {CPU: 900}}, Version: 5,
		}}
		var data bytes.Buffer
		var decoded Request
		if err := gob.NewEncoder(&data).Encode(request); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(&data).Decode(&decoded); err != nil {
			t.Fatal(err)
		}
		if err := service.Allot(&decoded, &response); err != nil || response.Outcome != want {
			t.Errorf("got outcome %v, error %v for epoch %d, want %v", response.Outcome, err, epoch, want)
		}
	}
	if err := service.Report(&Request{Service: testService, Timeout: minTimeout}, &response); err != nil || response.Report.Quota == nil || response.Report.Quota.Leader != 3 {
		t.Errorf("got report %+v, error %v, want the allotment of leader 3", response.Report.Quota, err)
	}
	if err := service.Organisations(&Request{Service: testService, Timeout: minTimeout}, &response); err != nil || len(response.Organisations.Organisations) != 1 {
		t.Fatalf("got %+v, error %v, want one organisation", response.Organisations, err)
	}
	if got := response.Organisations.Organisations[0]; got.Allowed.CPU != 900 || got.Base.CPU != 500 || got.Weight != 2 {
		t.Errorf("got %+v, want 900 allowed and a base of 500", got)
	}
}

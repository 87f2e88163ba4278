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
	"rattanpath/queue"
	"rattanpath/tasks"
)

// keyConfig is a source of one configuration with a public queue and one that isn't.
type keyConfig struct{ config *queue.Config }

func (c keyConfig) Config() *queue.Config  { return c.config }
func (keyConfig) Changed() <-chan struct{} { return nil }

// newKeyConfig returns a configuration in which organisations hold keys of their own name.
func newKeyConfig(version int64, organisations ...string) *queue.Config {
	queues := []*queue.Queue{
		{Host: "a", Prefix: "/closed/", Policy: tasks.Policy{Service: testService}},
		{Host: "a", Prefix: "/public/", Public: true, Policy: tasks.Policy{Service: testService}},
	}
	var list []queue.Organisation
	holders := make(map[queue.KeyHash]string)
	for _, name := range organisations {
		list = append(list, queue.Organisation{Name: name, Weight: 1})
		holders[queue.HashKey(name)] = name
	}
	return queue.NewConfig(version, queues, []queue.Service{{Name: testService}}, queue.Limits{}).WithOrganisations(list, holders)
}

// keyRequest returns a request for a job by the holder of a key, which a node has checked
// against a version of the configuration.
func keyRequest(id, path, key string, version int64) Request {
	request := Request{
		Service: testService, Key: tasks.Key{Queue: "a/" + path + "/", ID: id}, Timeout: time.Second,
		Plan:          tasks.Plan{Steps: []tasks.Step{{Count: 1}}},
		ConfigVersion: version, KeysRequired: version > 0,
	}
	if key != "" {
		hash := queue.HashKey(key)
		request.KeyHash, request.Policy.Organisation = hash[:], key
	}
	return request
}

// runService runs a test with the RPC service of a node that runs a cell.
func runService(t *testing.T, config *queue.Config, test func(ctx context.Context, service *Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		node := startNodeWith(ctx, s, s.Client("a"), "a", 0, keyConfig{config})
		time.Sleep(2 * time.Second)
		test(ctx, NewService(node.supervisor))
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// outcome returns the outcome of a call.
func outcome(t *testing.T, call func(*Request, *Response) error, request Request) Outcome {
	t.Helper()
	var response Response
	if err := call(&request, &response); err != nil {
		t.Fatal(err)
	}
	return response.Outcome
}

// TestOwnerChecksKeysAgain guards against a key that still works because the caller's node
// doesn't know yet that it was withdrawn, and against nodes of older versions, which check
// no keys.
func TestOwnerChecksKeysAgain(t *testing.T) {
	shortHash := keyRequest("", "closed", "one", 4)
	shortHash.KeyHash = shortHash.KeyHash[:5]
	tests := map[string]struct {
		request Request
		want    Outcome
	}{
		"checked against this version":         {keyRequest("", "closed", "one", 5), Done},
		"checked against a newer version":      {keyRequest("", "closed", "new", 6), Done},
		"older version, valid key":             {keyRequest("", "closed", "one", 4), Done},
		"older version, withdrawn key":         {keyRequest("", "closed", "withdrawn", 4), Unauthorised},
		"older version, no key":                {keyRequest("", "closed", "", 4), Unauthorised},
		"older version, malformed hash":        {shortHash, Unauthorised},
		"older version, public, no key":        {keyRequest("", "public", "", 4), Done},
		"older version, public, withdrawn key": {keyRequest("", "public", "withdrawn", 4), Done},
		"older version, unknown queue":         {keyRequest("", "gone", "", 4), Unauthorised},
		"older node":                           {keyRequest("", "closed", "", 0), Unauthorised},
		"older node, public":                   {keyRequest("", "public", "", 0), Done},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runService(t, newKeyConfig(5, "one", "two"), func(_ context.Context, service *Service) {
				for i, method := range []func(*Request, *Response) error{service.Submit, service.Status, service.Pending, service.Cancel} {
					request := test.request
					request.Key.ID = "job"
					if got := outcome(t, method, request); got != test.want {
						t.Errorf("got outcome %v of call %d, want %v", got, i, test.want)
					}
				}
				jobs, err := service.supervisor.Cell(testService).Jobs()
				if stored := len(jobs) > 0; err != nil || stored != (test.want == Done) {
					t.Errorf("got jobs %v and error %v, want some: %t", jobs, err, test.want == Done)
				}
			})
		})
	}
}

// TestOldNodesAreServedWithoutOrganisations guards against a rolling upgrade that stops the
// deployments whose configuration requires no keys.
func TestOldNodesAreServedWithoutOrganisations(t *testing.T) {
	config := queue.NewConfig(5, newKeyConfig(5).Queues, []queue.Service{{Name: testService}}, queue.Limits{})
	runService(t, config, func(_ context.Context, service *Service) {
		for i, method := range []func(*Request, *Response) error{service.Submit, service.Status, service.Pending, service.Cancel} {
			if got := outcome(t, method, keyRequest("job", "closed", "", 0)); got != Done {
				t.Errorf("got outcome %v of call %d by an older node, want %v", got, i, Done)
			}
		}
	})
}

// TestOwnerDeterminesOrganisation guards against jobs of an organisation that a newer
// configuration doesn't give to the key, and against access to jobs of others.
func TestOwnerDeterminesOrganisation(t *testing.T) {
	runService(t, newKeyConfig(5, "one", "two"), func(_ context.Context, service *Service) {
		moved := keyRequest("job", "closed", "one", 4)
		moved.Policy.Organisation = "two"
		anonymous := keyRequest("anonymous", "public", "withdrawn", 4)
		for _, request := range []Request{moved, anonymous} {
			if got := outcome(t, service.Submit, request); got != Done {
				t.Fatalf("got outcome %v of a submission, want %v", got, Done)
			}
		}
		tests := []struct {
			id, path, key string
			want          Outcome
		}{
			{"job", "closed", "one", Done},
			{"job", "closed", "two", Forbidden},
			{"anonymous", "public", "two", Done},
			{"anonymous", "public", "", Done},
		}
		for _, test := range tests {
			for i, method := range []func(*Request, *Response) error{service.Submit, service.Status, service.Cancel} {
				if got := outcome(t, method, keyRequest(test.id, test.path, test.key, 5)); got != test.want {
					t.Errorf("got outcome %v of call %d for job %s by %q, want %v", got, i, test.id, test.key, test.want)
				}
			}
		}
	})
}

// TestOperatorsNeedNoKey guards against operators that can't list, explain or cancel the jobs
// of organisations.
func TestOperatorsNeedNoKey(t *testing.T) {
	runService(t, newKeyConfig(5, "one"), func(ctx context.Context, service *Service) {
		request := keyRequest("job", "closed", "one", 5)
		if got := outcome(t, service.Submit, request); got != Done {
			t.Fatalf("got outcome %v of a submission, want %v", got, Done)
		}
		client := NewClient(nil, keyConfig{newKeyConfig(5, "one")}, service, "a:1", 32, nil, logr.Discard())
		client.owners = map[int]string{partitionAt(0, 32): "a:1"}
		if detail, err := client.Explain(ctx, testService, "job"); err != nil || detail.ID != "job" {
			t.Errorf("got %+v and error %v of Explain, want the job", detail, err)
		}
		if jobs, err := client.Jobs(ctx, testService); err != nil || len(jobs) != 1 {
			t.Errorf("got jobs %+v and error %v, want one", jobs, err)
		}
		if err := client.Cancel(ctx, testService, request.Key); err != nil {
			t.Errorf("got error %v of Cancel, want none", err)
		}
	})
}

// lossyOwner is an owner that accepts a job but whose first response is lost, and which
// refuses the key from then on.
type lossyOwner struct {
	calls int
	conn  net.Conn
}

func (o *lossyOwner) Submit(_ *Request, response *Response) error {
	o.calls++
	if o.calls == 1 {
		return o.conn.Close()
	}
	response.Outcome = Unauthorised
	return nil
}

func (*lossyOwner) Await(*Request, *Response) error { return nil }

// TestUnauthorisedAfterLostResponse guards against telling a caller that nothing was done
// although an attempt before the withdrawal of its key may have been executed.
func TestUnauthorisedAfterLostResponse(t *testing.T) {
	for calls, want := range map[int]Outcome{0: Uncertain, 1: Unauthorised} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				lossy := &lossyOwner{calls: calls}
				server := rpc.NewServer()
				if err := server.RegisterName(RPCName, lossy); err != nil {
					t.Fatal(err)
				}
				dial := func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					lossy.conn = far
					go server.ServeConn(far)
					context.AfterFunc(ctx, func() { _ = near.Close() })
					return near, nil
				}
				client := NewClient(nil, keyConfig{newKeyConfig(5, "one")}, nil, "b:1", 32, dial, logr.Discard())
				client.owners = map[int]string{partitionAt(0, 32): "a:1"}
				if got := client.Call(ctx, MethodSubmit, keyRequest("job", "closed", "one", 4)).Outcome; got != want {
					t.Errorf("got outcome %v, want %v", got, want)
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

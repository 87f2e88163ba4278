package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rattanpath/core"
	"rattanpath/engine"
	"rattanpath/fake"
	"rattanpath/infra"
	"rattanpath/platform"
	"rattanpath/pool"
	"rattanpath/query"
	"rattanpath/tasks"
)

const (
	testConfig = `{"version":1,"routes":[{"name":"q","host":"a.example","pathPrefix":"/x/","service":"s","maxAttempts":2,"stretch":1.6,"targetLatencyMs":600}],"services":[{"name":"s"}]}`
	testBody   = `{"spec":"text","steps":[{"count":3,"cpu":1000,"memMb":10,"estRuntimeMs":200}]}`
	// waitTimeout limits the wait for an expected response.
	waitTimeout = 15 * time.Second
)

// emptyCloud is an infra.Cloud without machines.
type emptyCloud struct{}

func (emptyCloud) Machines(context.Context) ([]infra.Machine, error) { return []infra.Machine{}, nil }
func (emptyCloud) Move(context.Context, infra.Order, string) (infra.OrderResult, error) {
	return infra.Invalid, nil
}
func (emptyCloud) Maintain(context.Context, infra.Order, int64) (infra.OrderResult, error) {
	return infra.Invalid, nil
}

// testFleet runs nodes on loopback with a fake store and fake hosts.
type testFleet struct {
	t       *testing.T
	store   *fake.Store
	checker *fake.InvariantChecker
	runners map[string]*fake.Runner
	// adminAddresses holds the admin addresses of nodes by name.
	adminAddresses map[string]string
	logger         logr.Logger
}

func newFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: fake.NewStore(), checker: fake.NewInvariantChecker(), runners: make(map[string]*fake.Runner), adminAddresses: make(map[string]string), logger: logr.Discard()}
	f.store.Put("op", "config", []byte(testConfig))
	for i := range 2 {
		info := pool.Host{ID: fmt.Sprintf("h%d", i), Service: "s", Address: "127.0.0.1:1", Capacity: tasks.Resources{CPU: 4000, MemMB: 1000}}
		runner := fake.NewRunner(info, 1, f.checker, func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 200 * time.Millisecond} })
		f.runners[info.ID] = runner
		go runner.Run(t.Context())
		record, err := json.Marshal(map[string]any{
			"service": "s", "address": info.Address, "state": "ready", "capacity": map[string]any{"cpu": 4000, "memMb": 1000}, "born": runner.Info().Incarnation,
		})
		if err != nil {
			t.Fatal(err)
		}
		f.store.Put("servers", info.ID, record)
	}
	return f
}

func freeAddress(t *testing.T) string {
	t.Helper()
	port, err := fake.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return fake.LoopbackAddress(port)
}

// start starts a node and returns it with its callers' address.
func (f *testFleet) start(name string) (*fx.App, string) {
	f.t.Helper()
	settings := engine.Settings{
		Name: name, CallerListen: freeAddress(f.t), HealthListen: freeAddress(f.t), PeerListen: freeAddress(f.t), AdminListen: freeAddress(f.t),
		Partitions: 32, CallBytes: 1 << 20, StopGrace: time.Second, MaxLease: 6 * time.Second, JobRetention: time.Minute,
		MachineLease: time.Second, MoveDuration: time.Second, MaintenanceDuration: time.Second,
	}
	f.adminAddresses[name] = settings.AdminListen
	client := f.store.Client(name)
	app := engine.New(settings, engine.Platform{
		Journal: client, Group: client, Config: client, Pools: client,
		Hosts:        fake.NewHostClient(f.runners, func(tasks.ID) tasks.Resources { return tasks.Resources{CPU: 1000, MemMB: 10} }),
		Codec:        platform.Codec(),
		Cloud:        emptyCloud{},
		WaveStatus:   platform.WaveStatus,
		StatusTopic:  platform.StatusTopic,
		DecodeUpdate: platform.DecodeUpdate, DecodeHost: platform.DecodeHost,
		OperatorTopic: platform.OperatorTopic, HostTopic: platform.HostTopic,
		Clock: core.BootClock,
	}, f.logger)
	if err := app.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	return app, settings.CallerListen
}

// send sends a request and returns the status code and the body.
func send(t *testing.T, method, address, path, body string) (int, string) {
	t.Helper()
	return sendWith(t, method, address, path, body, nil)
}

// sendWith sends a request with header fields.
func sendWith(t *testing.T, method, address, path, body string, header http.Header) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// waitForResponse repeats a request until the status code matches and the body
// contains a text.
func waitForResponse(t *testing.T, method, address, path, body string, status int, contains string) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		got, text := send(t, method, address, path, body)
		if got == status && strings.Contains(text, contains) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got status %d and body %q for %s %s, want %d and %q", got, text, method, path, status, contains)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestJobsAcrossNodes submits a job at each of two nodes and queries it at the
// other. After one node stops, the other must know the jobs and accept new ones.
func TestJobsAcrossNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := newFleet(t)
	first, a := f.start("a")
	second, b := f.start("b")
	for i, addresses := range [][2]string{{a, b}, {b, a}} {
		path := fmt.Sprintf("/x/%016x", i+1)
		waitForResponse(t, "POST", addresses[0], path, testBody, 200, "")
		waitForResponse(t, "GET", addresses[1], path, "", 200, "completed")
		waitForResponse(t, "POST", addresses[1], path, testBody, 200, "")
	}
	waitForResponse(t, "GET", b, "/x/", "", 200, `"pending":0`)
	waitForResponse(t, "GET", b, "/x/00000000000000ff", "", 410, "")
	if err := first.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	waitForResponse(t, "GET", b, "/x/0000000000000001", "", 200, "completed")
	waitForResponse(t, "POST", b, "/x/0000000000000003", testBody, 200, "")
	waitForResponse(t, "GET", b, "/x/0000000000000003", "", 200, "completed")
	if err := second.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if got := f.checker.Starts(); got != 9 {
		t.Errorf("got %d starts, want 9", got)
	}
	for _, violation := range f.checker.Violations() {
		t.Error(violation)
	}
}

// TestAdminServer checks that every node shows the jobs and hosts of cells on any
// node, and cancels an open job.
func TestAdminServer(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := newFleet(t)
	first, callers := f.start("a")
	second, _ := f.start("b")
	tooLarge := strings.Replace(testBody, `"cpu":1000`, `"cpu":99000`, 1)
	waitForResponse(t, "POST", callers, "/x/0000000000000001", testBody, 200, "")
	waitForResponse(t, "GET", callers, "/x/0000000000000001", "", 200, "completed")
	waitForResponse(t, "POST", callers, "/x/0000000000000002", tooLarge, 200, "")
	client := query.New(time.Second)
	for _, address := range f.adminAddresses {
		jobs, err := client.Jobs(t.Context(), address, "s")
		if err != nil || len(jobs) != 2 || jobs[0].ID != "0000000000000002" || jobs[0].Phase != "open" || jobs[1].Phase != "completed" {
			t.Errorf("got jobs %+v and error %v, want the open one before the completed one", jobs, err)
		}
		detail, err := client.Explain(t.Context(), address, "0000000000000002")
		if want := "a task is larger than any host at present"; err != nil || detail.Why != want {
			t.Errorf("got reason %q and error %v, want %q", detail.Why, err, want)
		}
		pools, err := client.Pools(t.Context(), address, "s")
		if err != nil || len(pools) != 1 || len(pools[0].Hosts) != 2 || pools[0].Hosts[0].State != "usable" {
			t.Errorf("got pools %+v and error %v, want two usable hosts", pools, err)
		}
		node, err := client.Node(t.Context(), address)
		if err != nil || node.Version == 0 || node.ConfigAge < 0 || node.MembersAge < 0 {
			t.Errorf("got %+v and error %v, want a node with a configuration and a membership", node, err)
		}
	}
	if _, err := client.Explain(t.Context(), f.adminAddresses["a"], "00000000000000ff"); err == nil || !strings.Contains(err.Error(), "no such job") {
		t.Errorf("got error %v for an unknown job, want \"no such job\"", err)
	}
	if job, err := client.Cancel(t.Context(), f.adminAddresses["b"], "0000000000000002"); err != nil || job.Phase != "open" {
		t.Errorf("got %+v and error %v, want the open job cancelled", job, err)
	}
	waitForResponse(t, "GET", callers, "/x/0000000000000002", "", 200, "canceled")
	for _, app := range []*fx.App{first, second} {
		if err := app.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

package stub

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"

	"rattanpath/fake"
	"rattanpath/platform"
	"rattanpath/tasks"
)

const (
	// Service is the name of the only service.
	Service = "works"
	// QueuePrefix is the path prefix of the only queue.
	QueuePrefix = "/queue/"
)

// Platform stands in for the outside platform over HTTP: the store, hosts, and a cloud with
// the machine of each host.
type Platform struct {
	// Store holds what the nodes, the operator and the hosts write.
	Store *fake.Store
	// Checker observes the runs of all hosts.
	Checker *fake.InvariantChecker
	// profile describes each run, and resources returns what a task requires.
	profile   func(task tasks.ID, run int) fake.RunProfile
	resources func(task tasks.ID) tasks.Resources

	mu    sync.Mutex
	hosts []*Host
	// callers returns the process ID of each node whose calls hosts know.
	callers map[string]func() int
	// storeDown means that hosts can't write their records.
	storeDown bool
	// fleet is nil if the machine of each host stays in its pool.
	fleet *Fleet
}

// NewPlatform returns a platform without hosts whose configuration has one queue. The
// functions describe runs and tasks.
func NewPlatform(profile func(task tasks.ID, run int) fake.RunProfile, resources func(task tasks.ID) tasks.Resources) *Platform {
	p := &Platform{Store: fake.NewStore(), Checker: fake.NewInvariantChecker(), profile: profile, resources: resources, callers: make(map[string]func() int)}
	p.publishConfig()
	return p
}

func (p *Platform) publishConfig() {
	value, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "queue", "host": "127.0.0.1", "pathPrefix": QueuePrefix, "timeoutMs": 3000, "targetLatencyMs": 600,
			"service": Service, "maxAttempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": Service}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	p.Store.Put(platform.OperatorTopic, "config", value)
}

// Hosts returns all hosts, gone ones included.
func (p *Platform) Hosts() []*Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Host(nil), p.hosts...)
}

// NewServer starts a server of the store and the cloud for one node.
func (p *Platform) NewServer(node string) *httptest.Server {
	return httptest.NewServer((&storeServer{platform: p, client: p.Store.Client(node)}).handler())
}

// SetStoreFailure sets the failure mode of the store's calls for all nodes. Hosts can't
// write their records meanwhile either.
func (p *Platform) SetStoreFailure(mode fake.FailureMode) {
	p.mu.Lock()
	p.storeDown = mode != fake.NoFailure
	p.mu.Unlock()
	p.Store.SetFailure("", mode)
}

func (p *Platform) isStoreDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeDown
}

// machines lists the machine of each host on one page.
func (p *Platform) machines(w http.ResponseWriter, _ *http.Request) {
	if p.fleet != nil {
		p.fleet.list(w)
		return
	}
	machines := []map[string]any{}
	for _, h := range p.Hosts() {
		info := h.Runner.Info()
		machines = append(machines, map[string]any{
			"machine": "machine-of-" + info.ID, "pool": info.Service, "state": h.machineState(), "zone": info.DataCentre,
			"capacity": capacityOf(info), "id": info.ID,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

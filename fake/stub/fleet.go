package stub

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"rattanpath/platform"
	"rattanpath/tasks"
)

const (
	// moveTime is how long a machine is away that changes its pool, and maintenanceTime how long
	// one that has its maintenance.
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

// Pool is a service with a queue of its own.
type Pool struct {
	Service string
	// Standby means that the machines of the pool are off.
	Standby bool
}

// PrefixOf returns the path prefix of the queue of a service.
func PrefixOf(service string) string { return "/" + service + "/" }

// Fleet holds machines that change their pools and have maintenance on the nodes' orders. Each
// stay in a pool is a host of its own.
type Fleet struct {
	platform *Platform
	// ctx ends all hosts.
	ctx      context.Context
	capacity tasks.Resources

	mu       sync.Mutex
	pools    []Pool
	machines []*machine
	lives    int
	waves    map[int64][]string
	// moved and maintained count the orders that were carried out.
	moved, maintained int
}

type machine struct {
	name  string
	pool  string
	state string
	// clockRate is the rate of the clock of its hosts.
	clockRate float64
	// host is nil while the machine is off or away.
	host *Host
}

// NewFleet makes the platform's cloud list the machines of a fleet, which has none yet. Its hosts
// run until ctx ends.
func (p *Platform) NewFleet(ctx context.Context, capacity tasks.Resources, pools []Pool) *Fleet {
	f := &Fleet{platform: p, ctx: ctx, capacity: capacity, pools: pools, waves: make(map[int64][]string)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
	return f
}

// Publish writes a version of the configuration: a queue for each pool, and more queues of the
// first pool.
func (f *Fleet) Publish(version int, more []string) {
	var queues, services []map[string]any
	for _, pool := range f.pools {
		services = append(services, map[string]any{"name": pool.Service, "standby": pool.Standby})
		if !pool.Standby {
			queues = append(queues, queueRecord(pool.Service, pool.Service))
		}
	}
	for _, name := range more {
		queues = append(queues, queueRecord(name, f.pools[0].Service))
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": queues, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.platform.Store.Put(platform.OperatorTopic, "config", value)
}

func queueRecord(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "127.0.0.1", "pathPrefix": PrefixOf(name), "timeoutMs": 3000, "targetLatencyMs": 600,
		"service": service, "maxAttempts": 4, "stretch": 1.6,
	}
}

// Add adds a machine to a pool. Its hosts' clocks run clockRate times as fast as the real one.
func (f *Fleet) Add(pool string, clockRate float64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{name: fmt.Sprintf("machine-%d", len(f.machines)), pool: pool, clockRate: clockRate}
	f.machines = append(f.machines, m)
	return f.boot(m)
}

// boot starts the host of a machine, unless its pool is on standby. f.mu must be held.
func (f *Fleet) boot(m *machine) error {
	m.state = "up"
	if f.isStandby(m.pool) {
		return nil
	}
	f.lives++
	h, err := f.platform.addHost(f.ctx, fmt.Sprintf("host-%d", f.lives), m.pool, f.capacity, m.clockRate)
	m.host = h
	return err
}

func (f *Fleet) isStandby(pool string) bool {
	return slices.ContainsFunc(f.pools, func(p Pool) bool { return p.Service == pool && p.Standby })
}

// StartWave asks for the maintenance of the first machines in an order that are on, of which maxDown
// may be away at once.
func (f *Fleet) StartWave(number int64, order []int, count, maxDown int, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, i := range order {
		if m := f.machines[i]; len(names) < count && m.host != nil {
			names = append(names, m.name)
		}
	}
	f.waves[number] = names
	value, _ := json.Marshal(map[string]any{"wave": number, "machines": names, "durationS": duration.Seconds(), "cap": maxDown})
	f.platform.Store.Put(platform.OperatorTopic, fmt.Sprintf("wave/%d", number), value)
}

// Orders returns the numbers of moves and of maintenances that were carried out.
func (f *Fleet) Orders() (moved, maintained int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moved, f.maintained
}

func (f *Fleet) list(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := []map[string]any{}
	for _, m := range f.machines {
		entry := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "a", "id": "",
			"capacity": map[string]int64{"cpu": f.capacity.CPU, "memMb": f.capacity.MemMB, "gpu": f.capacity.GPU},
		}
		if m.host != nil {
			entry["id"] = m.host.Runner.Info().ID
			entry["state"] = m.host.machineState()
		}
		entries = append(entries, entry)
	}
	reply(w, http.StatusOK, map[string]any{"machines": entries})
}

// machineOrder is the body of an order for a machine.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (p *Platform) orderMove(w http.ResponseWriter, r *http.Request) { p.order(w, r, (*Fleet).move) }
func (p *Platform) orderMaintenance(w http.ResponseWriter, r *http.Request) {
	p.order(w, r, (*Fleet).maintain)
}

// order carries out an order, and answers with the reason if it is refused.
func (p *Platform) order(w http.ResponseWriter, r *http.Request, carryOut func(f *Fleet, m *machine, order machineOrder) string) {
	var order machineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || p.fleet == nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return m.name == order.Machine })
	if i < 0 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if reason := carryOut(f, f.machines[i], order); reason != "" {
		reply(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// move moves a machine to another pool, and returns the reason if it doesn't.
func (f *Fleet) move(m *machine, order machineOrder) string {
	switch {
	case m.pool == order.Pool:
		return ""
	case m.state != "up":
		return "busy"
	}
	f.moved++
	f.takeAway(m, "moving", moveTime)
	m.pool = order.Pool
	return ""
}

func (f *Fleet) maintain(m *machine, order machineOrder) string {
	i := slices.Index(f.waves[order.Wave], m.name)
	switch {
	case i < 0:
		return "wave"
	case m.state != "up":
		return "busy"
	}
	f.maintained++
	f.waves[order.Wave] = slices.Delete(f.waves[order.Wave], i, i+1)
	f.takeAway(m, "upkeep", maintenanceTime)
	return ""
}

// takeAway ends the host of a machine at once. The machine is back after a time. f.mu must be
// held.
func (f *Fleet) takeAway(m *machine, state string, duration time.Duration) {
	if m.host != nil {
		f.platform.retire(m.host)
	}
	m.host, m.state = nil, state
	time.AfterFunc(duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ctx.Err() == nil {
			_ = f.boot(m)
		}
	})
}

// retire ends a host for good. Its record expires.
func (p *Platform) retire(h *Host) {
	h.Crash(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.DeleteFunc(p.hosts, func(other *Host) bool { return other == h })
}

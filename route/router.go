package route

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fold"
	"rattanpath/roster"
)

// retryAfter is the wait proposed to callers whose request was refused.
const retryAfter = time.Second

func timeOf(d config.Duration) time.Duration { return time.Duration(d) }

// States gives the fleet's state.
type States interface {
	State() *fold.State
	Ready() bool
	Changed() <-chan struct{}
}

// Rosters gives the platform's hosts.
type Rosters interface {
	Roster() *roster.Roster
	Changed() <-chan struct{}
}

// Router builds a table whenever the state or the roster changes.
type Router struct {
	states  States
	rosters Rosters
	chooser Chooser
	logger  logr.Logger

	table atomic.Pointer[Table]

	// The rest belongs to the loop.
	upstreams map[string]*Upstream
	gates     map[string]*gate
	hosts     map[string]core.Host
}

// New returns a router that has no table until its loop has built one.
func New(states States, rosters Rosters, chooser Chooser, logger logr.Logger) *Router {
	return &Router{
		states:    states,
		rosters:   rosters,
		chooser:   chooser,
		logger:    logger.WithName("route"),
		upstreams: make(map[string]*Upstream),
		gates:     make(map[string]*gate),
	}
}

// Table returns the newest table, or nil while the node can't serve.
func (r *Router) Table() *Table { return r.table.Load() }

// Run keeps the table up to date until the context ends.
func (r *Router) Run(ctx context.Context) {
	for {
		stateChanged := r.states.Changed()
		rosterChanged := r.rosters.Changed()
		r.step()
		select {
		case <-stateChanged:
		case <-rosterChanged:
		case <-ctx.Done():
			return
		}
	}
}

// step builds a table if anything that it depends on has changed.
func (r *Router) step() {
	state := r.states.State()
	declaration := state.Declaration()
	hosts := r.rosters.Roster().Hosts
	if !r.states.Ready() || declaration == nil {
		return
	}
	before := r.Table()
	if before != nil && before.Revision == state.Revision && maps.Equal(hosts, r.hosts) {
		return
	}
	r.hosts = hosts
	r.table.Store(r.build(state.Revision, declaration))
	r.wakeAll()
	r.forget()
}

func (r *Router) build(revision int64, declaration *config.Declaration) *Table {
	table := &Table{Revision: revision, Services: make(map[string]*Service)}
	nodes := r.countNodes()
	pools := r.usableHosts(declaration)
	for name, service := range declaration.Config.Services {
		quota := min(declaration.SlotQuota(name), declaration.ConnectionQuota(name))
		table.Services[name] = &Service{
			Name:       name,
			Config:     service,
			Upstreams:  pools[service.Pool],
			HostShare:  share(declaration.Config.HostShape.Slots, nodes),
			QuotaShare: share(quota, nodes),
			Routes:     sortRoutes(service.Routes),
			router:     r,
			gate:       r.gate(name),
		}
	}
	joinNeighbours(table)
	return table
}

func joinNeighbours(table *Table) {
	byPool := make(map[string][]*gate)
	for _, service := range table.Services {
		byPool[service.Config.Pool] = append(byPool[service.Config.Pool], service.gate)
	}
	for _, service := range table.Services {
		service.neighbours = byPool[service.Config.Pool]
	}
}

// countNodes returns the number of entry nodes that share the hosts.
func (r *Router) countNodes() int {
	nodes := 0
	for _, host := range r.hosts {
		if host.Role == core.RoleEntry {
			nodes++
		}
	}
	return max(1, nodes)
}

// share returns this node's part of a limit that all nodes keep together, and
// at least 1.
func share(limit, nodes int) int64 {
	return int64(max(1, limit/nodes))
}

// usableHosts returns, for each pool, the hosts that may get new requests.
func (r *Router) usableHosts(declaration *config.Declaration) map[string][]*Upstream {
	pools := make(map[string][]*Upstream)
	for _, name := range slices.Sorted(maps.Keys(declaration.Hosts)) {
		place := declaration.Hosts[name]
		host, listed := r.hosts[name]
		usable := listed && host.Role == core.RoleWorker && host.State == core.HostLive
		if place.Pool == "" || place.Drained || !usable {
			continue
		}
		pools[place.Pool] = append(pools[place.Pool], r.upstream(host))
	}
	return pools
}

// upstream returns the upstream of a host; a host with another address is
// another machine.
func (r *Router) upstream(host core.Host) *Upstream {
	known := r.upstreams[host.Name]
	if known != nil && known.Address == host.Address {
		return known
	}
	upstream := &Upstream{Name: host.Name, Address: host.Address, Rack: host.Rack, DataCentre: host.DataCentre}
	r.upstreams[host.Name] = upstream
	return upstream
}

func (r *Router) gate(service string) *gate {
	if r.gates[service] == nil {
		r.gates[service] = &gate{}
	}
	return r.gates[service]
}

// wakeAll lets those who wait try the new table.
func (r *Router) wakeAll() {
	for _, gate := range r.gates {
		gate.queue.Wake()
	}
}

// forget drops the upstreams and gates that no table uses any more.
func (r *Router) forget() {
	table := r.Table()
	maps.DeleteFunc(r.gates, func(name string, _ *gate) bool {
		return table.Services[name] == nil
	})
	maps.DeleteFunc(r.upstreams, func(name string, upstream *Upstream) bool {
		_, listed := r.hosts[name]
		return !listed && upstream.Slots.Used() == 0
	})
}

package route

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fold"
	"rattanpath/limit"
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

// Members gives the entry nodes that were heard of directly.
type Members interface {
	// Names returns the node itself and those heard of lately.
	Names() []string
	// Joined reports whether the others have heard of this node.
	Joined() bool
	Changed() <-chan struct{}
}

// Router builds a table whenever the state, the roster or the members change.
type Router struct {
	self    string
	states  States
	rosters Rosters
	members Members
	chooser Chooser
	logger  logr.Logger

	table atomic.Pointer[Table]

	// The rest belongs to the loop.
	upstreams map[string]*Upstream
	gates     map[string]*gate
	// batches counts by pool what Batch routes hold, and teams by team what its
	// services hold.
	batches map[string]*limit.Slots
	teams   map[string]*limit.Slots
	hosts   map[string]core.Host
	// nodes are the names of those who share the hosts, in ascending order.
	nodes []string
}

// New returns a router for the node named self, that has no table until its
// loop has built one.
func New(self string, states States, rosters Rosters, members Members, chooser Chooser, logger logr.Logger) *Router {
	return &Router{
		self:      self,
		states:    states,
		rosters:   rosters,
		members:   members,
		chooser:   chooser,
		logger:    logger.WithName("route"),
		upstreams: make(map[string]*Upstream),
		gates:     make(map[string]*gate),
		batches:   make(map[string]*limit.Slots),
		teams:     make(map[string]*limit.Slots),
	}
}

// Table returns the newest table, or nil while the node can't serve.
func (r *Router) Table() *Table { return r.table.Load() }

// Run keeps the table up to date until the context ends.
func (r *Router) Run(ctx context.Context) {
	for {
		stateChanged := r.states.Changed()
		rosterChanged := r.rosters.Changed()
		membersChanged := r.members.Changed()
		r.step()
		select {
		case <-stateChanged:
		case <-rosterChanged:
		case <-membersChanged:
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
	if !r.states.Ready() || !r.members.Joined() || declaration == nil {
		return
	}
	nodes := r.sharers(hosts)
	before := r.Table()
	if before != nil && before.Revision == state.Revision && maps.Equal(hosts, r.hosts) && slices.Equal(nodes, r.nodes) {
		return
	}
	r.hosts, r.nodes = hosts, nodes
	r.table.Store(r.build(state.Revision, declaration))
	r.wakeAll()
	r.forget()
}

func (r *Router) build(revision int64, declaration *config.Declaration) *Table {
	table := &Table{Revision: revision, Services: make(map[string]*Service)}
	pools := r.usableHosts(declaration)
	for name, service := range declaration.Config.Services {
		built := &Service{
			Name:    name,
			Config:  service,
			Targets: r.targets(pools[service.Pool], declaration.Config.HostShape.Slots),
			Routes:  sortRoutes(service.Routes),
			router:  r,
			gate:    r.gate(name),
		}
		r.setBounds(built, declaration)
		table.Services[name] = built
	}
	joinNeighbours(table)
	return table
}

// setBounds gives a service the limits of its quota, its team, and the Batch
// routes of its pool.
func (r *Router) setBounds(service *Service, declaration *config.Declaration) {
	nodes := len(r.nodes)
	quota := min(declaration.SlotQuota(service.Name), declaration.ConnectionQuota(service.Name))
	service.bounds = []bound{{slots: &service.gate.slots, share: quotaShare(quota, nodes)}}
	if team := declaration.Config.Teams[service.Config.Team]; team.Slots > 0 {
		service.bounds = append(service.bounds, bound{slots: counter(r.teams, service.Config.Team), share: quotaShare(team.Slots, nodes)})
	}
	pool := service.Config.Pool
	batch := bound{slots: counter(r.batches, pool), share: batchShare(service.Targets, declaration.Config.Pools[pool].Batch)}
	service.batchBounds = append(slices.Clone(service.bounds), batch)
}

// counter returns the slots counted under a name.
func counter(counters map[string]*limit.Slots, name string) *limit.Slots {
	if counters[name] == nil {
		counters[name] = &limit.Slots{}
	}
	return counters[name]
}

// joinNeighbours tells each service which others wait for what it gives back.
func joinNeighbours(table *Table) {
	for _, service := range table.Services {
		for _, other := range table.Services {
			samePool := other.Config.Pool == service.Config.Pool
			sameTeam := other.Config.Team == service.Config.Team && service.Config.Team != ""
			if samePool || sameTeam {
				service.neighbours = append(service.neighbours, other.gate)
			}
		}
	}
}

// sharers returns the names of the entry nodes that share the hosts: those on
// the list, leaving ones included, and those heard of directly.
func (r *Router) sharers(hosts map[string]core.Host) []string {
	names := r.members.Names()
	for name, host := range hosts {
		if host.Role == core.RoleEntry {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// targets returns the hosts of a pool with this node's shares. Where it has
// none at any, it takes one slot of the host for which it ranks best, since it
// can't hand a request over to another node.
func (r *Router) targets(upstreams []*Upstream, slots int) []Target {
	var targets []Target
	for _, upstream := range upstreams {
		if share := slotShare(slots, upstream.Name, r.self, r.nodes); share > 0 {
			targets = append(targets, Target{Upstream: upstream, Share: share})
		}
	}
	if len(targets) > 0 || len(upstreams) == 0 {
		return targets
	}
	best := slices.MinFunc(upstreams, func(a, b *Upstream) int {
		return cmp.Compare(rank(a.Name, r.self, r.nodes), rank(b.Name, r.self, r.nodes))
	})
	return []Target{{Upstream: best, Share: 1}}
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
	upstream := &Upstream{Name: host.Name, Address: host.Address}
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
		gate.wake()
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

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
	"rattanpath/limit"
	"rattanpath/replay"
	"rattanpath/roster"
)

// retryAfter is the Retry-After value sent with refused requests.
const retryAfter = time.Second

func toDuration(d config.Duration) time.Duration { return time.Duration(d) }

// StateSource provides the replicated state of the fleet, which includes the
// active configuration. The Changed methods of the sources return a channel that
// is closed at the next change.
type StateSource interface {
	State() *replay.State
	Ready() bool
	Changed() <-chan struct{}
}

// RosterSource provides the platform's host list.
type RosterSource interface {
	Roster() *roster.Roster
	Changed() <-chan struct{}
}

// Membership provides the entry nodes known from the gossip between nodes.
type Membership interface {
	// Names returns this node and the nodes seen recently.
	Names() []string
	// Joined reports whether the other nodes have seen this node.
	Joined() bool
	Changed() <-chan struct{}
}

// Router rebuilds the routing table whenever the state, the host list or the
// membership changes.
type Router struct {
	self         string
	stateSource  StateSource
	rosterSource RosterSource
	members      Membership
	chooser      Chooser
	logger       logr.Logger

	table atomic.Pointer[Table]

	// The fields below are used only by the goroutine of Run.
	upstreams  map[string]*Upstream
	admissions map[string]*admission
	// batchSlotsByPool counts the slots held by requests of Batch routes per
	// pool; slotsByTeam counts those held by all services of a team.
	batchSlotsByPool map[string]*limit.Slots
	slotsByTeam      map[string]*limit.Slots
	hosts            map[string]core.Host
	// nodes are the sorted names of the entry nodes that share the hosts.
	nodes []string
}

// New returns a router for the node named self. It has no table until Run has
// built one.
func New(self string, stateSource StateSource, rosterSource RosterSource, members Membership, chooser Chooser, logger logr.Logger) *Router {
	return &Router{
		self:             self,
		stateSource:      stateSource,
		rosterSource:     rosterSource,
		members:          members,
		chooser:          chooser,
		logger:           logger.WithName("route"),
		upstreams:        make(map[string]*Upstream),
		admissions:       make(map[string]*admission),
		batchSlotsByPool: make(map[string]*limit.Slots),
		slotsByTeam:      make(map[string]*limit.Slots),
	}
}

// Table returns the current table, or nil until the first one is built.
func (r *Router) Table() *Table { return r.table.Load() }

// Run keeps the table up to date until the context ends.
func (r *Router) Run(ctx context.Context) {
	for {
		stateChanged := r.stateSource.Changed()
		rosterChanged := r.rosterSource.Changed()
		membersChanged := r.members.Changed()
		r.refresh()
		select {
		case <-stateChanged:
		case <-rosterChanged:
		case <-membersChanged:
		case <-ctx.Done():
			return
		}
	}
}

// refresh rebuilds the table if its inputs have changed.
func (r *Router) refresh() {
	state := r.stateSource.State()
	declaration := state.Declaration()
	hosts := r.rosterSource.Roster().Hosts
	if !r.stateSource.Ready() || !r.members.Joined() || declaration == nil {
		return
	}
	nodes := r.entryNodes(hosts)
	previous := r.Table()
	if previous != nil && previous.Revision == state.Revision && maps.Equal(hosts, r.hosts) && slices.Equal(nodes, r.nodes) {
		return
	}
	r.hosts, r.nodes = hosts, nodes
	r.table.Store(r.buildTable(state.Revision, declaration))
	r.wakeAll()
	r.prune()
}

func (r *Router) buildTable(revision int64, declaration *config.Declaration) *Table {
	table := &Table{Revision: revision, Services: make(map[string]*Service)}
	pools := r.usableHosts(declaration)
	for name, service := range declaration.Config.Services {
		built := &Service{
			Name:      name,
			Config:    service,
			Targets:   r.targets(pools[service.Pool], declaration.Config.HostShape.Slots),
			Routes:    sortRoutes(service.Routes),
			router:    r,
			admission: r.admission(name),
		}
		r.setLimits(built, declaration)
		table.Services[name] = built
	}
	setContending(table)
	return table
}

// setLimits sets the slot limits of a service: its own quota, that of its team,
// and that of Batch routes in its pool.
func (r *Router) setLimits(service *Service, declaration *config.Declaration) {
	nodes := len(r.nodes)
	quota := min(declaration.SlotQuota(service.Name), declaration.ConnectionQuota(service.Name))
	service.limits = []slotLimit{{slots: &service.admission.slots, share: quotaShare(quota, nodes)}}
	if team := declaration.Config.Teams[service.Config.Team]; team.Slots > 0 {
		service.limits = append(service.limits, slotLimit{slots: getOrCreateSlots(r.slotsByTeam, service.Config.Team), share: quotaShare(team.Slots, nodes)})
	}
	pool := service.Config.Pool
	batch := slotLimit{slots: getOrCreateSlots(r.batchSlotsByPool, pool), share: batchShare(service.Targets, declaration.Config.Pools[pool].Batch)}
	service.batchLimits = append(slices.Clone(service.limits), batch)
}

// getOrCreateSlots returns the counter of a pool or team.
func getOrCreateSlots(slotsByName map[string]*limit.Slots, name string) *limit.Slots {
	if slotsByName[name] == nil {
		slotsByName[name] = &limit.Slots{}
	}
	return slotsByName[name]
}

// setContending links each service to those that compete with it for slots.
func setContending(table *Table) {
	for _, service := range table.Services {
		for _, other := range table.Services {
			samePool := other.Config.Pool == service.Config.Pool
			sameTeam := other.Config.Team == service.Config.Team && service.Config.Team != ""
			if samePool || sameTeam {
				service.contending = append(service.contending, other.admission)
			}
		}
	}
}

// entryNodes returns the sorted names of the entry nodes that share the hosts:
// those on the host list, including nodes that are leaving, and those known from
// the membership.
func (r *Router) entryNodes(hosts map[string]core.Host) []string {
	names := r.members.Names()
	for name, host := range hosts {
		if host.Role == core.RoleEntry {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// targets returns the hosts of a pool with this node's shares. A node without a
// share of any host gets one slot of the host for which it ranks best, because it
// cannot forward a request to another node.
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

// usableHosts returns the hosts of each pool that may receive new requests.
func (r *Router) usableHosts(declaration *config.Declaration) map[string][]*Upstream {
	pools := make(map[string][]*Upstream)
	for _, name := range slices.Sorted(maps.Keys(declaration.Hosts)) {
		placement := declaration.Hosts[name]
		host, listed := r.hosts[name]
		usable := listed && host.Role == core.RoleWorker && host.State == core.HostLive
		if placement.Pool == "" || placement.Drained || !usable {
			continue
		}
		pools[placement.Pool] = append(pools[placement.Pool], r.upstream(host))
	}
	return pools
}

// upstream returns the upstream of a host. A changed address means a different
// machine under the same name, so it gets a new upstream.
func (r *Router) upstream(host core.Host) *Upstream {
	known := r.upstreams[host.Name]
	if known != nil && known.Address == host.Address {
		return known
	}
	upstream := &Upstream{Name: host.Name, Address: host.Address}
	r.upstreams[host.Name] = upstream
	return upstream
}

func (r *Router) admission(service string) *admission {
	if r.admissions[service] == nil {
		r.admissions[service] = &admission{}
	}
	return r.admissions[service]
}

// wakeAll wakes the queues of all services, so that waiting requests try the new
// table.
func (r *Router) wakeAll() {
	for _, admission := range r.admissions {
		admission.wake()
	}
}

// prune removes the admission state of services that are no longer configured,
// and the upstreams that are neither on the host list nor in use.
func (r *Router) prune() {
	table := r.Table()
	maps.DeleteFunc(r.admissions, func(name string, _ *admission) bool {
		return table.Services[name] == nil
	})
	maps.DeleteFunc(r.upstreams, func(name string, upstream *Upstream) bool {
		_, listed := r.hosts[name]
		return !listed && upstream.Slots.Used() == 0
	})
}

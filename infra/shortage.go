package infra

import (
	"time"

	"rattanpath/alloc"
)

// shortageInterval is how long a pool lacks hosts before that is logged, and the time between
// two lines on the pool.
const shortageInterval = time.Second

// Why no machine is ordered for a pool that lacks hosts.
const (
	// shortPlanned means that the plan counts on hosts that take no runs now: busy ones that
	// are cordoned or don't answer, and those of incoming machines.
	shortPlanned = "the plan counts on hosts that take no runs"
	// shortNoMachine means that no machine of another pool is idle.
	shortNoMachine = "no machine elsewhere is idle"
	// shortNotOrdered means that idle machines are kept by their pools or on hold, or that
	// their orders were not accepted.
	shortNotOrdered = "no idle machine was released"
)

// shortage is the state of a pool that lacks hosts. Times are local.
type shortage struct {
	since    time.Duration
	loggedAt time.Duration
}

// shortPool holds the counts of a pool that lacks hosts, as the plan used them.
type shortPool struct {
	service  string
	required int
	// listed counts the hosts in the plan, and usable those of the pool that take runs.
	listed int
	usable int
	// incoming counts the machines that the plan expects in the pool, and ordered those of
	// them that were ordered by this leader.
	incoming int
	ordered  int
	// idle counts the idle machines of other pools, and standby those of standby pools.
	idle    int
	standby int
}

// logShortages logs the pools that lack hosts and for which no machine is ordered, each at most
// once per shortageInterval. It is called after the orders of a plan have been sent.
func (t *term) logShortages() {
	now := t.options.Clock()
	short := make(map[string]*shortage)
	for _, p := range t.shortPools() {
		s := t.shortages[p.service]
		if s == nil {
			s = &shortage{since: now, loggedAt: now}
		}
		short[p.service] = s
		if now-s.since < shortageInterval || now-s.loggedAt < shortageInterval {
			continue
		}
		s.loggedAt = now
		t.logger.Info("pool lacks hosts and no machine is ordered", "service", p.service, "why", p.why(), "for", now-s.since, "required", p.required,
			"listed", p.listed, "usable", p.usable, "incoming", p.incoming, "ordered", p.ordered, "idle", p.idle, "standby", p.standby)
	}
	t.shortages = short
}

// shortPools returns the pools of the last plan that require more hosts than take runs or are
// ordered.
func (t *term) shortPools() []shortPool {
	ordered := t.orderedMachines()
	capacity := alloc.MeanCapacity(t.planned)
	var short []shortPool
	for i := range t.planned {
		pool := &t.planned[i]
		state := t.pools[pool.Name]
		if pool.Standby || state == nil {
			continue
		}
		p := shortPool{
			service: pool.Name, required: alloc.RequiredHosts(*pool, capacity), listed: len(pool.Hosts),
			usable: state.usableHosts(), incoming: pool.Incoming, ordered: ordered[pool.Name],
		}
		if p.required <= p.usable+p.ordered {
			continue
		}
		p.countIdle(t.planned)
		short = append(short, p)
	}
	return short
}

// orderedMachines returns how many machines are moving to each pool by orders of this leader.
func (t *term) orderedMachines() map[string]int {
	ordered := make(map[string]int)
	for _, op := range t.operations {
		if op.kind == moveOperation {
			ordered[op.toPool]++
		}
	}
	return ordered
}

// countIdle counts the idle machines of the other pools.
func (p *shortPool) countIdle(pools []alloc.Pool) {
	for i := range pools {
		switch other := &pools[i]; {
		case other.Name == p.service:
		case other.Standby:
			p.standby += idleHosts(other)
		default:
			p.idle += idleHosts(other)
		}
	}
}

func idleHosts(pool *alloc.Pool) int {
	count := 0
	for i := range pool.Hosts {
		if pool.Hosts[i].Idle {
			count++
		}
	}
	return count
}

// why returns why no machine is ordered for the pool.
func (p *shortPool) why() string {
	switch {
	case p.required <= p.listed+p.incoming:
		return shortPlanned
	case p.idle+p.standby == 0:
		return shortNoMachine
	default:
		return shortNotOrdered
	}
}

// usableHosts returns the number of hosts of the pool that take runs.
func (p *poolState) usableHosts() int {
	count := 0
	for _, h := range p.hosts {
		if h.Usable && !h.Cordoned {
			count++
		}
	}
	return count
}

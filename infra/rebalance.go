package infra

import (
	"rattanpath/alloc"
	"rattanpath/queue"
)

const (
	// minMovesLimit is the smallest limit on the moves of one call of reconcile.
	minMovesLimit = 24
	// spareHosts is the number of hosts that a pool keeps in addition to those
	// that its steps must be spread over. They absorb the start of a load peak.
	spareHosts = 3
)

// planMoves returns the moves of machines to pools that lack hosts, and of
// unneeded machines to standby.
func (t *term) planMoves(config *queue.Config) []plannedOrder {
	pools, machines := t.poolInputs(config)
	t.planned = pools
	var orders []plannedOrder
	for _, move := range alloc.Plan(pools, t.movesLimit()) {
		orders = append(orders, plannedOrder{kind: moveOperation, machine: machines[move.Machine], toPool: move.To})
	}
	return orders
}

// movesLimit returns how many moves one call of reconcile may plan: as many as the cloud
// accepts in reconcileInterval.
func (t *term) movesLimit() int {
	return max(minMovesLimit, int(t.options.OrdersPerSecond*reconcileInterval.Seconds()))
}

// poolInputs returns the input for planning moves, and the machines by name.
func (t *term) poolInputs(config *queue.Config) ([]alloc.Pool, map[string]Machine) {
	machines := make(map[string]Machine, len(t.machines))
	inputs := make(map[string]*alloc.Pool)
	for _, service := range config.Services {
		input := &alloc.Pool{Name: service.Name, Standby: service.Standby}
		if p := t.pools[service.Name]; p != nil {
			input.Serving = p.report.Serving
			input.Waiting = p.report.Waiting
			input.IsShort = p.report.IsShort()
			input.HasUnplaced = p.report.Unplaced > 0
			input.ServingHosts = p.servingHosts() + p.report.Unplaced
			input.ArrivalCPU = int64(p.arrivalRate)
			input.ForecastCPU = int64(p.forecastDemand())
			input.Apart = p.report.Apart
			input.MinHosts = p.report.Apart + spareHosts
			input.Used = p.used()
		} else if !service.Standby {
			// The load of the pool is unknown: it keeps all its hosts.
			input.MinHosts = len(t.machines)
		}
		inputs[service.Name] = input
	}
	t.recordListed()
	for _, m := range t.machines {
		machines[m.Name] = m
		t.addMachine(m, inputs)
	}
	now := t.options.Clock()
	var all []alloc.Pool
	for _, input := range inputs {
		all = append(all, *input)
	}
	capacity := alloc.MeanCapacity(all)
	var pools []alloc.Pool
	for _, service := range config.Services {
		input := inputs[service.Name]
		if p := t.pools[service.Name]; p != nil {
			input.KeepHosts = p.recentPeak(now, alloc.RequiredHosts(*input, capacity))
			pools = append(pools, *input)
		} else if service.Standby {
			pools = append(pools, *input)
		}
	}
	return pools, machines
}

// addMachine adds a machine to the planning input of its pool.
func (t *term) addMachine(m Machine, inputs map[string]*alloc.Pool) {
	if op := t.operations[m.Name]; op != nil {
		switch to := inputs[op.toPool]; {
		case op.kind == moveOperation && to != nil:
			to.Incoming++
		case op.kind == maintenanceOperation && inputs[m.Pool] != nil:
			inputs[m.Pool].Incoming++
		}
		return
	}
	input := inputs[m.Pool]
	if input == nil || m.State == Down || m.State == Unknown {
		return
	}
	if m.State != Up {
		input.Incoming++
		return
	}
	host := alloc.Host{Machine: m.Name, Capacity: m.Capacity, MaintenanceDue: t.isMaintenanceDue(m.Name)}
	p := t.pools[m.Pool]
	switch {
	case input.Standby:
		host.Idle = !t.wasRefused(m.Name)
	case p == nil:
	case m.Host == "" || !hasHost(p, m.Host):
		t.addStarting(m.Name, input)
		return
	default:
		h := p.hosts[m.Host]
		if !h.Usable && h.Runs == 0 {
			// The host does not respond, or is leaving.
			t.addStarting(m.Name, input)
			return
		}
		host.Idle = h.Idle() && !h.Cordoned
		host.Unusable = h.Cordoned || !h.Usable && !t.mayRecover(m.Name)
		host.Overdue = !h.Usable && t.isOverdue(m.Name)
	}
	input.Hosts = append(input.Hosts, host)
}

// addStarting adds a machine that is up, and that the pool's owner has not reached, to the planning
// input of its pool if its host may be starting.
func (t *term) addStarting(machine string, input *alloc.Pool) {
	if !t.mayBeStarting(machine) {
		return
	}
	input.Incoming++
	if t.isOverdue(machine) {
		input.Overdue++
	}
}

// wasRefused reports whether the cloud has refused to move a machine a short time ago.
func (t *term) wasRefused(machine string) bool {
	at, refused := t.refusedAt[machine]
	return refused && t.options.Clock()-at < refusalDelay
}

func hasHost(p *poolState, host string) bool {
	_, ok := p.hosts[host]
	return ok
}

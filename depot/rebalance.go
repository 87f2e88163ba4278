package depot

import (
	"rattanpath/queue"
	"rattanpath/shift"
)

const (
	// maxMovesPerRound bounds the moves of one round.
	maxMovesPerRound = 24
	// spareHosts is the number of hosts that a pool keeps beyond those that its
	// steps must be spread over: a peak begins on them.
	spareHosts = 3
)

// planMoves returns the moves that bring machines to the pools that miss some, and
// away from those that have too many.
func (t *term) planMoves(table *queue.Config) []plannedOrder {
	pools, machines := t.poolInputs(table)
	var plans []plannedOrder
	for _, move := range shift.Plan(pools, maxMovesPerRound) {
		plans = append(plans, plannedOrder{kind: moveOperation, machine: machines[move.Machine], toPool: move.To})
	}
	return plans
}

// poolInputs returns what the moves depend on, and the machines by name.
func (t *term) poolInputs(table *queue.Config) ([]shift.Pool, map[string]Machine) {
	machines := make(map[string]Machine, len(t.machines))
	views := make(map[string]*shift.Pool)
	for _, service := range table.Services {
		view := &shift.Pool{Name: service.Name, Standby: service.Standby}
		if p := t.pools[service.Name]; p != nil {
			view.Serving = p.report.Serving
			view.Waiting = p.report.Waiting
			view.ArrivalCPU = int64(p.arrivalRate)
			view.ForecastCPU = int64(p.forecastDemand())
			view.MinHosts = p.report.Apart + spareHosts
			view.Used = p.used()
		} else if !service.Standby {
			// Nothing is known of the pool: it keeps what it has.
			view.MinHosts = len(t.machines)
		}
		views[service.Name] = view
	}
	for _, m := range t.machines {
		machines[m.Name] = m
		t.addMachine(m, views)
	}
	now := t.options.Clock()
	var all []shift.Pool
	for _, view := range views {
		all = append(all, *view)
	}
	size := shift.MeanCapacity(all)
	var pools []shift.Pool
	for _, service := range table.Services {
		view := views[service.Name]
		if p := t.pools[service.Name]; p != nil {
			view.KeepHosts = p.recentPeak(now, shift.RequiredHosts(*view, size))
			pools = append(pools, *view)
		} else if service.Standby {
			pools = append(pools, *view)
		}
	}
	return pools, machines
}

// addMachine adds a machine to the view of its pool.
func (t *term) addMachine(m Machine, views map[string]*shift.Pool) {
	if e := t.operations[m.Name]; e != nil {
		switch to := views[e.toPool]; {
		case e.kind == moveOperation && to != nil:
			to.Incoming++
		case e.kind == maintenanceOperation && views[m.Pool] != nil:
			views[m.Pool].Incoming++
		}
		return
	}
	view := views[m.Pool]
	if view == nil || m.State == Down {
		return
	}
	if m.State != Up {
		view.Incoming++
		return
	}
	host := shift.Host{Machine: m.Name, Capacity: m.Capacity, MaintenanceDue: t.isMaintenanceDue(m.Name)}
	p := t.pools[m.Pool]
	switch {
	case view.Standby:
		host.Idle = true
	case p == nil:
	case m.Host == "" || !hasHost(p, m.Host):
		// Its host has not come up yet.
		view.Incoming++
		return
	default:
		h := p.hosts[m.Host]
		if !h.Usable && h.Runs == 0 {
			// It doesn't answer, or is leaving.
			return
		}
		host.Idle = h.Runs == 0 && !h.Cordoned
	}
	view.Hosts = append(view.Hosts, host)
}

func hasHost(p *poolState, host string) bool {
	_, ok := p.hosts[host]
	return ok
}

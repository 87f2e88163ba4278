package depot

import (
	"rattanpath/queue"
	"rattanpath/shift"
)

const (
	// maxMoves bounds the moves of one round.
	maxMoves = 24
	// spareHosts is the number of hosts that a pool keeps beyond those that its
	// steps must be spread over: a peak begins on them.
	spareHosts = 3
)

// runMoves returns the moves that bring machines to the pools that miss some, and
// away from those that have too many.
func (t *term) runMoves(table *queue.Table) []plan {
	pools, machines := t.viewPools(table)
	var plans []plan
	for _, move := range shift.Plan(pools, maxMoves) {
		plans = append(plans, plan{kind: errandMove, machine: machines[move.Machine], to: move.To})
	}
	return plans
}

// viewPools returns what the moves depend on, and the machines by name.
func (t *term) viewPools(table *queue.Table) ([]shift.Pool, map[string]Machine) {
	machines := make(map[string]Machine, len(t.machines))
	views := make(map[string]*shift.Pool)
	for _, service := range table.Services {
		view := &shift.Pool{Name: service.Name, Standby: service.Standby}
		if p := t.reports[service.Name]; p != nil {
			view.Serving = p.report.Serving
			view.Waiting = p.report.Waiting
			view.Asked = int64(p.asked)
			view.Soon = int64(p.soon())
			view.Least = p.report.Apart + spareHosts
			view.Used = p.used()
		} else if !service.Standby {
			// Nothing is known of the pool: it keeps what it has.
			view.Least = len(t.machines)
		}
		views[service.Name] = view
	}
	for _, m := range t.machines {
		machines[m.Name] = m
		t.viewMachine(m, views)
	}
	now := t.options.Clock()
	var all []shift.Pool
	for _, view := range views {
		all = append(all, *view)
	}
	size := shift.HostSize(all)
	var pools []shift.Pool
	for _, service := range table.Services {
		view := views[service.Name]
		if p := t.reports[service.Name]; p != nil {
			view.Keep = p.keeps(now, shift.Wants(*view, size))
			pools = append(pools, *view)
		} else if service.Standby {
			pools = append(pools, *view)
		}
	}
	return pools, machines
}

// viewMachine adds a machine to the view of its pool.
func (t *term) viewMachine(m Machine, views map[string]*shift.Pool) {
	if e := t.busy[m.Name]; e != nil {
		switch to := views[e.to]; {
		case e.kind == errandMove && to != nil:
			to.Coming++
		case e.kind == errandUpkeep && views[m.Pool] != nil:
			views[m.Pool].Coming++
		}
		return
	}
	view := views[m.Pool]
	if view == nil || m.State == Down {
		return
	}
	if m.State != Up {
		view.Coming++
		return
	}
	host := shift.Host{Machine: m.Name, Room: m.Room, Due: t.isDue(m.Name)}
	p := t.reports[m.Pool]
	switch {
	case view.Standby:
		host.Idle = true
	case p == nil:
	case m.Host == "" || !known(p, m.Host):
		// Its host has not come up yet.
		view.Coming++
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

func known(p *pool, host string) bool {
	_, ok := p.hosts[host]
	return ok
}

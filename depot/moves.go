package depot

import (
	"context"

	"rattanpath/queue"
	"rattanpath/shift"
)

// runMoves brings machines to the pools that miss some.
func (t *term) runMoves(ctx context.Context, table *queue.Table) {
	pools, machines := t.viewPools(table)
	for _, move := range shift.Plan(pools, maxMoves) {
		m := machines[move.Machine]
		if !t.isEmpty(ctx, m) {
			continue
		}
		if !t.mayOrder() {
			return
		}
		t.orderMove(ctx, move, m)
	}
}

func (t *term) orderMove(ctx context.Context, move shift.Move, m Machine) {
	e := &errand{kind: errandMove, since: t.options.Clock(), to: move.To}
	orderCtx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	verdict, err := t.options.Cloud.Move(orderCtx, t.order(move.Machine), move.To)
	t.logOrder("move", move.Machine, 0, move.To, verdict, err)
	switch {
	case err != nil:
		e.doubtful = true
		t.busy[move.Machine] = e
	case verdict == Accepted:
		t.busy[move.Machine] = e
		t.retire(ctx, m)
	default:
		t.refused(verdict)
	}
}

// viewPools returns what the moves depend on, and the machines by name.
func (t *term) viewPools(table *queue.Table) ([]shift.Pool, map[string]Machine) {
	machines := make(map[string]Machine, len(t.machines))
	views := make(map[string]*shift.Pool)
	for _, service := range table.Services {
		view := &shift.Pool{Name: service.Name, Standby: service.Standby}
		if p := t.reports[service.Name]; p != nil {
			view.Waiting = p.report.Waiting.CPU
			view.Asked = int64(p.asked)
			view.Least = max(leastHosts, p.report.Apart+spareHosts)
			for _, h := range p.report.Hosts {
				view.Used += h.Used.CPU
			}
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
	var pools []shift.Pool
	for _, service := range table.Services {
		if t.reports[service.Name] != nil || service.Standby {
			pools = append(pools, *views[service.Name])
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
	host := shift.Host{Machine: m.Name, CPU: m.Room.CPU}
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
		host.Idle = h.Runs == 0 && h.Usable && !h.Cordoned
	}
	view.Hosts = append(view.Hosts, host)
}

func known(p *pool, host string) bool {
	_, ok := p.hosts[host]
	return ok
}

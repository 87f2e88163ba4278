package infra

import (
	"context"
	"sync"
	"time"

	"rattanpath/sched"
)

// maxConcurrentOrders bounds the number of orders in flight.
const maxConcurrentOrders = 8

// plannedOrder is an order that is sent if its machine is idle.
type plannedOrder struct {
	kind    operationKind
	machine Machine
	// toPool is the destination of a move, and wave the wave that a maintenance
	// order belongs to.
	toPool string
	wave   *wave
	// incarnation is that of the machine's host when it was found idle.
	incarnation int64
}

// dispatch sends the orders whose machines are idle, after it has stored them
// as intents for the next leader.
func (t *term) dispatch(ctx context.Context, orders []plannedOrder) {
	cordonedAt := t.options.Clock()
	orders = t.selectIdle(ctx, orders)
	if len(orders) == 0 || !t.writeIntents(ctx, orders) {
		return
	}
	results := make([]OrderResult, len(orders))
	errs := make([]error, len(orders))
	slots := make(chan struct{}, maxConcurrentOrders)
	var wg sync.WaitGroup
	for i, o := range orders {
		slots <- struct{}{}
		if !t.canOrder() || !t.isCordoned(cordonedAt) {
			orders = orders[:i]
			break
		}
		wg.Go(func() {
			results[i], errs[i] = t.send(ctx, o)
			<-slots
		})
	}
	wg.Wait()
	t.handleResults(ctx, orders, results, errs)
}

// isCordoned reports whether hosts that were cordoned at a time, or later, still are when an
// order that is sent now takes effect. This node may have been suspended since.
func (t *term) isCordoned(at time.Duration) bool {
	return t.options.Clock()+orderTimeout < at+cordonDuration
}

// selectIdle cordons the hosts of the machines of orders and returns the orders
// whose machines have no runs, and no ends that only their hosts know. It runs
// immediately before the orders are sent because a pool may have got a new owner,
// which does not know of earlier cordons.
func (t *term) selectIdle(ctx context.Context, orders []plannedOrder) []plannedOrder {
	hosts := make(map[string][]string)
	for _, o := range orders {
		if o.machine.Host != "" && t.pools[o.machine.Pool] != nil {
			hosts[o.machine.Pool] = append(hosts[o.machine.Pool], o.machine.Host)
		}
	}
	idle := make(map[string]sched.HostReport)
	for service, ids := range hosts {
		for _, report := range t.cordon(ctx, service, ids, false) {
			if report.Idle() {
				idle[report.ID] = report
			}
		}
	}
	var ready []plannedOrder
	selected := make(map[string]bool)
	for _, o := range orders {
		name := o.machine.Name
		report, isIdle := idle[o.machine.Host]
		if selected[name] || t.isOnHold(name) || o.machine.Host != "" && !isIdle {
			continue
		}
		selected[name] = true
		o.incarnation = report.Incarnation
		ready = append(ready, o)
	}
	return ready
}

// send sends one order to the cloud, unless a newer leader has made this node
// resign.
func (t *term) send(ctx context.Context, o plannedOrder) (OrderResult, error) {
	if !t.beginOrder() {
		return Fenced, nil
	}
	defer t.endOrder(o.machine.Name)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := Order{Machine: o.machine.Name, Leader: t.options.Node, Token: t.claim.Epoch}
	if o.kind == maintenanceOperation {
		return t.options.Cloud.Maintain(ctx, order, o.wave.Number)
	}
	return t.options.Cloud.Move(ctx, order, o.toPool)
}

// handleResults records the cloud's responses to orders.
func (t *term) handleResults(ctx context.Context, orders []plannedOrder, results []OrderResult, errs []error) {
	changedWaves := make(map[*wave]bool)
	for i, o := range orders {
		t.logOrder(o, results[i], errs[i])
		t.intents.Machines[o.machine.Name].orderedAt = t.options.Clock()
		switch result := results[i]; {
		case errs[i] != nil:
			// The order may have been accepted.
			t.operations[o.machine.Name] = &operation{kind: o.kind, startedAt: t.options.Clock(), toPool: o.toPool}
		case result == Accepted:
			t.operations[o.machine.Name] = &operation{
				kind: o.kind, startedAt: t.options.Clock(), toPool: o.toPool,
				leaving: sched.RetiredHost{ID: o.machine.Host, Incarnation: o.incarnation}, fromPool: o.machine.Pool,
			}
			t.markBegun(o, changedWaves)
		case result == Fenced:
			t.loseLeadership("a newer leader sends orders")
		case o.kind == moveOperation && (result == Busy || result == Invalid):
			t.refusedAt[o.machine.Name] = t.options.Clock()
		case result == NotDue || result == Invalid:
			// The cloud does not count the machine as part of the wave.
			t.markBegun(o, changedWaves)
		}
	}
	for w := range changedWaves {
		t.writeWave(ctx, w)
	}
}

// markBegun records that the maintenance of a machine needs no further order, and
// adds its wave to changedWaves.
func (t *term) markBegun(o plannedOrder, changedWaves map[*wave]bool) {
	if o.wave != nil {
		o.wave.Begun = append(o.wave.Begun, o.machine.Name)
		changedWaves[o.wave] = true
	}
}

func (t *term) logOrder(o plannedOrder, result OrderResult, err error) {
	outcome, kind, wave := result.String(), "move", int64(0)
	if err != nil {
		outcome = err.Error()
	}
	if o.kind == maintenanceOperation {
		kind, wave = "upkeep", o.wave.Number
	}
	t.options.Metrics.GetOrCreateCounter(`rattanpath_depot_orders_total{kind="` + kind + `"}`).Inc()
	t.logger.Info("machine order sent", "kind", kind, "machine", o.machine.Name, "from", o.machine.Pool, "to", o.toPool, "wave", wave, "token", t.claim.Epoch, "listAge", t.options.Clock()-t.listedAt, "outcome", outcome)
}

func (t *term) cordon(ctx context.Context, service string, hosts []string, evict bool) []sched.HostReport {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	reports, err := t.options.Cells.Cordon(ctx, service, hosts, cordonDuration, evict)
	if err != nil {
		t.logger.Info("failed to cordon hosts", "service", service, "hosts", len(hosts), "err", err.Error())
		return nil
	}
	return reports
}

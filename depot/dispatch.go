package depot

import (
	"context"
	"sync"

	"rattanpath/cell"
)

// maxConcurrentOrders bounds the orders that are under way at once.
const maxConcurrentOrders = 8

// plannedOrder is an order that is to be given if the machine is empty.
type plannedOrder struct {
	kind    operationKind
	machine Machine
	// toPool is the pool that the machine moves to, and wave its wave of upkeep.
	toPool string
	wave   *wave
}

// dispatch gives the orders whose machines are empty, once the next holder would
// know of them.
func (t *term) dispatch(ctx context.Context, plans []plannedOrder) {
	plans = t.selectEmpty(ctx, plans)
	if len(plans) == 0 || !t.writeIntents(ctx, plans) {
		return
	}
	verdicts := make([]OrderResult, len(plans))
	errs := make([]error, len(plans))
	slots := make(chan struct{}, maxConcurrentOrders)
	var wg sync.WaitGroup
	for i, p := range plans {
		slots <- struct{}{}
		if !t.canOrder() {
			plans = plans[:i]
			break
		}
		wg.Go(func() {
			verdicts[i], errs[i] = t.send(ctx, p)
			<-slots
		})
	}
	wg.Wait()
	t.handleResults(ctx, plans, verdicts, errs)
}

// selectEmpty cordons the hosts of the plans' machines and returns the plans of
// those on which nothing runs. It is asked just before the order: the owner of a
// pool may have changed, and the new one doesn't know of older cordons.
func (t *term) selectEmpty(ctx context.Context, plans []plannedOrder) []plannedOrder {
	hosts := make(map[string][]string)
	for _, p := range plans {
		if p.machine.Host != "" && t.pools[p.machine.Pool] != nil {
			hosts[p.machine.Pool] = append(hosts[p.machine.Pool], p.machine.Host)
		}
	}
	empty := make(map[string]bool)
	for service, ids := range hosts {
		for _, report := range t.cordon(ctx, service, ids, false) {
			empty[report.ID] = report.Runs == 0
		}
	}
	var ready []plannedOrder
	taken := make(map[string]bool)
	for _, p := range plans {
		name := p.machine.Name
		if taken[name] || t.isOnHold(name) || p.machine.Host != "" && !empty[p.machine.Host] {
			continue
		}
		taken[name] = true
		ready = append(ready, p)
	}
	return ready
}

// send sends one order to the cloud, unless a newer holder has asked this one to
// resign.
func (t *term) send(ctx context.Context, p plannedOrder) (OrderResult, error) {
	if !t.beginOrder() {
		return Fenced, nil
	}
	defer t.endOrder(p.machine.Name)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := Order{Machine: p.machine.Name, Leader: t.options.Node, Token: t.claim.Epoch}
	if p.kind == maintenanceOperation {
		return t.options.Cloud.Maintain(ctx, order, p.wave.Number)
	}
	return t.options.Cloud.Move(ctx, order, p.toPool)
}

// handleResults takes in the cloud's answers.
func (t *term) handleResults(ctx context.Context, plans []plannedOrder, verdicts []OrderResult, errs []error) {
	gone := make(map[string][]string)
	begun := make(map[*wave]bool)
	for i, p := range plans {
		t.logOrder(p, verdicts[i], errs[i])
		t.intents.Machines[p.machine.Name].orderedAt = t.options.Clock()
		switch verdict := verdicts[i]; {
		case errs[i] != nil:
			// It may be carried out.
			t.operations[p.machine.Name] = &operation{kind: p.kind, startedAt: t.options.Clock(), toPool: p.toPool}
		case verdict == Accepted:
			t.operations[p.machine.Name] = &operation{kind: p.kind, startedAt: t.options.Clock(), toPool: p.toPool}
			if p.machine.Host != "" {
				gone[p.machine.Pool] = append(gone[p.machine.Pool], p.machine.Host)
			}
			t.markBegun(p, begun)
		case verdict == Fenced:
			t.loseLeadership("a newer holder gives orders")
		case verdict == NotDue || verdict == Invalid:
			// The cloud doesn't count it to the wave.
			t.markBegun(p, begun)
		}
	}
	for service, hosts := range gone {
		t.retire(ctx, service, hosts)
	}
	for w := range begun {
		t.writeWave(ctx, w)
	}
}

// markBegun notes that the upkeep of a machine needs no other order.
func (t *term) markBegun(p plannedOrder, begun map[*wave]bool) {
	if p.wave != nil {
		p.wave.Begun = append(p.wave.Begun, p.machine.Name)
		begun[p.wave] = true
	}
}

func (t *term) logOrder(p plannedOrder, verdict OrderResult, err error) {
	outcome, kind, wave := verdict.String(), "move", int64(0)
	if err != nil {
		outcome = err.Error()
	}
	if p.kind == maintenanceOperation {
		kind, wave = "upkeep", p.wave.Number
	}
	t.options.Metrics.GetOrCreateCounter(`rattanpath_depot_orders_total{kind="` + kind + `"}`).Inc()
	t.logger.Info("machine ordered", "kind", kind, "machine", p.machine.Name, "from", p.machine.Pool, "to", p.toPool, "wave", wave, "token", t.claim.Epoch, "listAge", t.options.Clock()-t.listedAt, "outcome", outcome)
}

func (t *term) cordon(ctx context.Context, service string, hosts []string, vacate bool) []cell.HostReport {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	reports, err := t.options.Cells.Cordon(ctx, service, hosts, cordonDuration, vacate)
	if err != nil {
		t.logger.Info("hosts could not be cordoned", "service", service, "hosts", len(hosts), "err", err.Error())
		return nil
	}
	return reports
}

// retire tells the owner of a pool that machines are out of it.
func (t *term) retire(ctx context.Context, service string, hosts []string) {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	if err := t.options.Cells.Retire(ctx, service, hosts); err != nil {
		t.logger.Info("the owner was not told of machines that left", "service", service, "hosts", len(hosts), "err", err.Error())
	}
}

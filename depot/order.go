package depot

import (
	"context"
	"sync"

	"rattanpath/cell"
)

// maxAtOnce bounds the orders that are under way at once.
const maxAtOnce = 8

// plan is an order that is to be given if the machine is empty.
type plan struct {
	kind    errandKind
	machine Machine
	// to is the pool that the machine moves to, and wave its wave of upkeep.
	to   string
	wave *wave
}

// give gives the orders whose machines are empty, once the next holder would
// know of them.
func (t *term) give(ctx context.Context, plans []plan) {
	plans = t.withoutRuns(ctx, plans)
	if len(plans) == 0 || !t.keepIntents(ctx, plans) {
		return
	}
	verdicts := make([]Verdict, len(plans))
	errs := make([]error, len(plans))
	slots := make(chan struct{}, maxAtOnce)
	var wg sync.WaitGroup
	for i, p := range plans {
		slots <- struct{}{}
		if !t.mayOrder() {
			plans = plans[:i]
			break
		}
		wg.Go(func() {
			verdicts[i], errs[i] = t.send(ctx, p)
			<-slots
		})
	}
	wg.Wait()
	t.settle(ctx, plans, verdicts, errs)
}

// withoutRuns cordons the hosts of the plans' machines and returns the plans of
// those on which nothing runs. It is asked just before the order: the owner of a
// pool may have changed, and the new one doesn't know of older cordons.
func (t *term) withoutRuns(ctx context.Context, plans []plan) []plan {
	hosts := make(map[string][]string)
	for _, p := range plans {
		if p.machine.Host != "" && t.reports[p.machine.Pool] != nil {
			hosts[p.machine.Pool] = append(hosts[p.machine.Pool], p.machine.Host)
		}
	}
	empty := make(map[string]bool)
	for service, ids := range hosts {
		for _, report := range t.cordon(ctx, service, ids, false) {
			empty[report.ID] = report.Runs == 0
		}
	}
	var ready []plan
	taken := make(map[string]bool)
	for _, p := range plans {
		name := p.machine.Name
		if taken[name] || t.isQuiet(name) || p.machine.Host != "" && !empty[p.machine.Host] {
			continue
		}
		taken[name] = true
		ready = append(ready, p)
	}
	return ready
}

// send sends one order to the cloud, unless a newer holder has asked this one to
// resign.
func (t *term) send(ctx context.Context, p plan) (Verdict, error) {
	if !t.beginOrder() {
		return Fenced, nil
	}
	defer t.endOrder(p.machine.Name)
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	order := Order{Machine: p.machine.Name, Holder: t.options.Node, Token: t.claim.Epoch}
	if p.kind == errandUpkeep {
		return t.options.Cloud.Upkeep(ctx, order, p.wave.Number)
	}
	return t.options.Cloud.Move(ctx, order, p.to)
}

// settle takes in the cloud's answers.
func (t *term) settle(ctx context.Context, plans []plan, verdicts []Verdict, errs []error) {
	gone := make(map[string][]string)
	begun := make(map[*wave]bool)
	for i, p := range plans {
		t.logOrder(p, verdicts[i], errs[i])
		t.intents.Machines[p.machine.Name].at = t.options.Clock()
		switch verdict := verdicts[i]; {
		case errs[i] != nil:
			// It may be carried out.
			t.busy[p.machine.Name] = &errand{kind: p.kind, since: t.options.Clock(), to: p.to}
		case verdict == Accepted:
			t.busy[p.machine.Name] = &errand{kind: p.kind, since: t.options.Clock(), to: p.to}
			if p.machine.Host != "" {
				gone[p.machine.Pool] = append(gone[p.machine.Pool], p.machine.Host)
			}
			t.begin(p, begun)
		case verdict == Fenced:
			t.lose("a newer holder gives orders")
		case verdict == NotDue || verdict == Invalid:
			// The cloud doesn't count it to the wave.
			t.begin(p, begun)
		}
	}
	for service, hosts := range gone {
		t.retire(ctx, service, hosts)
	}
	for w := range begun {
		t.keepWave(ctx, w)
	}
}

// begin notes that the upkeep of a machine needs no other order.
func (t *term) begin(p plan, begun map[*wave]bool) {
	if p.wave != nil {
		p.wave.Begun = append(p.wave.Begun, p.machine.Name)
		begun[p.wave] = true
	}
}

func (t *term) logOrder(p plan, verdict Verdict, err error) {
	outcome, kind, wave := verdict.String(), "move", int64(0)
	if err != nil {
		outcome = err.Error()
	}
	if p.kind == errandUpkeep {
		kind, wave = "upkeep", p.wave.Number
	}
	t.options.Set.GetOrCreateCounter(`rattanpath_depot_orders_total{kind="` + kind + `"}`).Inc()
	t.logger.Info("machine ordered", "kind", kind, "machine", p.machine.Name, "from", p.machine.Pool, "to", p.to, "wave", wave, "token", t.claim.Epoch, "listAge", t.options.Clock()-t.listedAt, "outcome", outcome)
}

func (t *term) cordon(ctx context.Context, service string, hosts []string, vacate bool) []cell.HostReport {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	reports, err := t.options.Cells.Cordon(ctx, service, hosts, cordonTime, vacate)
	if err != nil {
		t.logger.Info("hosts could not be cordoned", "service", service, "hosts", len(hosts), "err", err.Error())
		return nil
	}
	return reports
}

// retire tells the owner of a pool that machines are out of it.
func (t *term) retire(ctx context.Context, service string, hosts []string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if err := t.options.Cells.Retire(ctx, service, hosts); err != nil {
		t.logger.Info("the owner was not told of machines that left", "service", service, "hosts", len(hosts), "err", err.Error())
	}
}

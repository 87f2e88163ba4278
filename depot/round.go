package depot

import (
	"context"
	"time"

	"rattanpath/cell"
	"rattanpath/store"
)

const (
	// errandSlack is the time beyond an errand's own after which the list of
	// machines is believed again.
	errandSlack = time.Second
	// maxMoves bounds the moves of one round.
	maxMoves = 16
	// spareHosts is the number of hosts that a pool keeps beyond those that its
	// steps must be spread over.
	spareHosts = 1
	// leastHosts is the number of hosts that a pool always keeps.
	leastHosts = 2
)

// settleErrands forgets the errands that are over.
func (t *term) settleErrands() {
	now := t.options.Clock()
	for name, e := range t.busy {
		length := t.options.MoveTime
		if e.kind == errandUpkeep {
			length = t.options.UpkeepTime
		}
		if now-e.since > length+errandSlack && t.listedAt > e.since {
			delete(t.busy, name)
		}
	}
}

// runWaves takes every wave a step further.
func (t *term) runWaves(ctx context.Context) {
	for number, asked := range t.options.Tables.Waves() {
		w := t.waves[number]
		if w == nil {
			w = &wave{waveRecord: waveRecord{Seen: time.Now()}}
			t.waves[number] = w
		}
		w.Wave = asked
		t.runWave(ctx, w)
	}
}

func (t *term) runWave(ctx context.Context, w *wave) {
	if w.reported == 0 && !w.Completed {
		t.reportWave(ctx, w, false)
	}
	if !w.Completed {
		t.stepWave(ctx, w)
	}
	if w.Completed && w.reported < 2 {
		t.reportWave(ctx, w, true)
	}
}

// reportWave reports the state of a wave to the operator.
func (t *term) reportWave(ctx context.Context, w *wave, completed bool) {
	key, value, err := t.options.WaveStatus(w.Number, completed)
	if err != nil {
		t.logger.Error(err, "the state of a wave can't be reported", "wave", w.Number)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	if _, err := t.status.Write(ctx, []store.Record{{Key: key, Value: value}}); err != nil {
		t.logger.Info("the state of a wave could not be reported", "wave", w.Number, "err", err.Error())
		return
	}
	w.reported = 1
	if completed {
		w.reported = 2
	}
}

// stepWave moves runs away from the next machines of a wave and orders the
// upkeep of those that are empty.
func (t *term) stepWave(ctx context.Context, w *wave) {
	view, places := t.viewWave(w)
	if len(view.Left) == 0 {
		w.Completed = true
		t.keepWave(ctx, w)
		t.logger.Info("wave completed", "wave", w.Number, "machines", len(w.Machines), "took", time.Since(w.Seen).Round(time.Millisecond))
		return
	}
	empty := t.vacate(ctx, NextOfWave(view), places)
	begun := 0
	for _, name := range empty {
		if view.Down+begun >= w.Cap || !t.mayOrder() {
			break
		}
		// Asked again just before the order: the owner of the pool may have changed,
		// and the new one doesn't know of the cordon.
		if t.isEmpty(ctx, places[name]) && t.orderUpkeep(ctx, w, places[name]) {
			begun++
		}
	}
	if begun > 0 {
		t.keepWave(ctx, w)
	}
}

func (t *term) keepWave(ctx context.Context, w *wave) {
	record, err := w.record()
	if err != nil {
		t.logger.Error(err, "a wave can't be kept", "wave", w.Number)
		return
	}
	t.write(ctx, []store.Record{record})
}

// viewWave returns what the next step of a wave depends on, and the machines by
// name.
func (t *term) viewWave(w *wave) (WaveView, map[string]Machine) {
	begun := make(map[string]bool)
	for _, name := range w.Begun {
		begun[name] = true
	}
	asked := make(map[string]bool)
	for _, name := range w.Machines {
		asked[name] = true
	}
	places := make(map[string]Machine)
	view := WaveView{Cap: w.Cap, TimeLeft: w.Within - time.Since(w.Seen)}
	for _, m := range t.machines {
		if !asked[m.Name] {
			continue
		}
		places[m.Name] = m
		e := t.busy[m.Name]
		if m.State == Upkeep || (e != nil && e.kind == errandUpkeep) {
			view.Down++
			if begun[m.Name] {
				continue
			}
		}
		if !begun[m.Name] {
			view.Left = append(view.Left, t.candidate(m, e))
		}
	}
	return view, places
}

func (t *term) candidate(m Machine, e *errand) Candidate {
	c := Candidate{Machine: m.Name, Up: m.State == Up && e == nil}
	p := t.reports[m.Pool]
	if m.Host == "" || p == nil {
		// A machine that is off is missed by nobody; of a pool that doesn't report
		// nothing is known.
		c.Idle = m.Host == ""
		c.Strained = m.Host != ""
		return c
	}
	h, known := p.hosts[m.Host]
	c.Idle = !known || h.Runs == 0
	c.Vacating = h.Cordoned
	c.Strained = p.report.Waiting.CPU > 0
	return c
}

// vacate has the runs of machines moved away and returns those that are empty.
func (t *term) vacate(ctx context.Context, names []string, places map[string]Machine) []string {
	byPool := make(map[string][]string)
	machineOf := make(map[string]string)
	var empty []string
	for _, name := range names {
		m := places[name]
		if m.Host == "" {
			empty = append(empty, name)
			continue
		}
		byPool[m.Pool] = append(byPool[m.Pool], m.Host)
		machineOf[m.Host] = name
	}
	for service, hosts := range byPool {
		for _, report := range t.cordon(ctx, service, hosts, true) {
			if report.Runs == 0 {
				empty = append(empty, machineOf[report.ID])
			}
		}
	}
	return empty
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

// orderUpkeep sends a machine to its upkeep and reports whether it goes or may
// go.
func (t *term) orderUpkeep(ctx context.Context, w *wave, m Machine) bool {
	name := m.Name
	e := &errand{kind: errandUpkeep, since: t.options.Clock(), wave: w.Number}
	orderCtx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	verdict, err := t.options.Cloud.Upkeep(orderCtx, t.order(name), w.Number)
	t.logOrder("upkeep", name, w.Number, "", verdict, err)
	switch {
	case err != nil:
		e.doubtful = true
		t.busy[name] = e
		return true
	case verdict == Accepted:
		t.busy[name] = e
		t.retire(ctx, m)
		w.Begun = append(w.Begun, name)
		return true
	case verdict == NotDue || verdict == Invalid:
		// The cloud doesn't count it to the wave.
		w.Begun = append(w.Begun, name)
		return false
	default:
		t.refused(verdict)
		return false
	}
}

func (t *term) order(machine string) Order {
	return Order{Machine: machine, Holder: t.options.Node, Token: t.claim.Epoch}
}

// refused reacts to a verdict that concerns the holder.
func (t *term) refused(verdict Verdict) {
	if verdict == Fenced {
		t.logger.Info("depot lost", "epoch", t.claim.Epoch, "why", "the cloud has seen a newer holder")
		t.Depot.term = nil
	}
}

func (t *term) logOrder(kind, machine string, wave int64, to string, verdict Verdict, err error) {
	outcome := verdict.String()
	if err != nil {
		outcome = err.Error()
	}
	t.options.Set.GetOrCreateCounter(`rattanpath_depot_orders_total{kind="` + kind + `"}`).Inc()
	t.logger.Info("machine ordered", "kind", kind, "machine", machine, "wave", wave, "to", to, "token", t.claim.Epoch, "listAge", t.options.Clock()-t.listedAt, "outcome", outcome)
}

// isEmpty cordons the host of a machine and reports whether nothing runs on it.
func (t *term) isEmpty(ctx context.Context, m Machine) bool {
	if m.Host == "" {
		return true
	}
	reports := t.cordon(ctx, m.Pool, []string{m.Host}, false)
	return len(reports) == 1 && reports[0].Runs == 0
}

// retire tells the owner of a pool that a machine is out of it.
func (t *term) retire(ctx context.Context, m Machine) {
	if m.Host == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if err := t.options.Cells.Retire(ctx, m.Pool, []string{m.Host}); err != nil {
		t.logger.Info("the owner was not told of a machine that left", "service", m.Pool, "machine", m.Name, "host", m.Host, "err", err.Error())
	}
}

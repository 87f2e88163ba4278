package depot

import (
	"context"
	"slices"
	"time"

	"rattanpath/store"
)

const (
	// operationSlack is the time beyond an errand's own after which the list of
	// machines is believed again.
	operationSlack = time.Second
)

// expireOperations forgets the errands that are over.
func (t *term) expireOperations() {
	now := t.options.Clock()
	for name, e := range t.operations {
		length := t.options.MoveDuration
		if e.kind == maintenanceOperation {
			length = t.options.MaintenanceDuration
		}
		if now-e.startedAt > length+operationSlack && t.listedAt > e.startedAt && !t.isOnHold(name) {
			delete(t.operations, name)
		}
	}
}

// advanceWaves takes every wave a step further and returns the upkeep that can begin.
func (t *term) advanceWaves(ctx context.Context) []plannedOrder {
	var plans []plannedOrder
	for number, asked := range t.options.Config.Waves() {
		w := t.waves[number]
		if w == nil {
			w = &wave{waveRecord: waveRecord{Seen: time.Now()}}
			t.waves[number] = w
		}
		w.Wave = asked
		plans = append(plans, t.advanceWave(ctx, w)...)
	}
	return plans
}

func (t *term) advanceWave(ctx context.Context, w *wave) []plannedOrder {
	if w.reportedState == 0 && !w.Completed {
		t.reportWave(ctx, w, false)
	}
	var plans []plannedOrder
	if !w.Completed {
		plans = t.nextWaveOrders(ctx, w)
	}
	if w.Completed && w.reportedState < 2 {
		t.reportWave(ctx, w, true)
	}
	return plans
}

// reportWave reports the state of a wave to the operator.
func (t *term) reportWave(ctx context.Context, w *wave, completed bool) {
	key, value, err := t.options.WaveStatus(w.Number, completed)
	if err != nil {
		t.logger.Error(err, "the state of a wave can't be reported", "wave", w.Number)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := t.statusWriter.Write(ctx, []store.Record{{Key: key, Value: value}}); err != nil {
		t.logger.Info("the state of a wave could not be reported", "wave", w.Number, "err", err.Error())
		return
	}
	w.reportedState = 1
	if completed {
		w.reportedState = 2
	}
}

// nextWaveOrders moves runs away from the next machines of a wave and returns the
// upkeep of those that are empty.
func (t *term) nextWaveOrders(ctx context.Context, w *wave) []plannedOrder {
	view, places := t.waveState(w)
	if len(view.Remaining) == 0 {
		w.Completed = true
		t.writeWave(ctx, w)
		t.logger.Info("wave completed", "wave", w.Number, "machines", len(w.Machines), "took", time.Since(w.Seen).Round(time.Millisecond))
		return nil
	}
	var plans []plannedOrder
	for _, name := range t.vacateMachines(ctx, SelectMachines(view), places) {
		if view.Down+len(plans) < w.MaxDown {
			plans = append(plans, plannedOrder{kind: maintenanceOperation, machine: places[name], wave: w})
		}
	}
	return plans
}

func (t *term) writeWave(ctx context.Context, w *wave) {
	record, err := w.record()
	if err != nil {
		t.logger.Error(err, "a wave can't be kept", "wave", w.Number)
		return
	}
	t.writeRecords(ctx, []store.Record{record})
}

// isMaintenanceDue reports whether the upkeep of a machine is asked for and hasn't begun.
func (t *term) isMaintenanceDue(machine string) bool {
	for _, w := range t.waves {
		if w.Wave != nil && !w.Completed && slices.Contains(w.Machines, machine) && !slices.Contains(w.Begun, machine) {
			return true
		}
	}
	return false
}

// waveState returns what the next step of a wave depends on, and the machines by
// name.
func (t *term) waveState(w *wave) (WaveState, map[string]Machine) {
	begun := make(map[string]bool)
	for _, name := range w.Begun {
		begun[name] = true
	}
	asked := make(map[string]bool)
	for _, name := range w.Machines {
		asked[name] = true
	}
	places := make(map[string]Machine)
	view := WaveState{MaxDown: w.MaxDown, TimeLeft: w.Duration - time.Since(w.Seen)}
	for _, m := range t.machines {
		if !asked[m.Name] {
			continue
		}
		places[m.Name] = m
		e := t.operations[m.Name]
		if m.State == Maintenance || (e != nil && e.kind == maintenanceOperation) {
			view.Down++
			if begun[m.Name] {
				continue
			}
		}
		if !begun[m.Name] {
			view.Remaining = append(view.Remaining, t.newCandidate(m, e))
		}
	}
	return view, places
}

func (t *term) newCandidate(m Machine, e *operation) Candidate {
	c := Candidate{Machine: m.Name, Up: m.State == Up && e == nil}
	p := t.pools[m.Pool]
	if m.Host == "" || p == nil {
		// A machine that is off is missed by nobody; of a pool that doesn't report
		// nothing is known.
		c.Idle = m.Host == ""
		c.PoolSaturated = m.Host != ""
		return c
	}
	h, known := p.hosts[m.Host]
	c.Idle = !known || h.Runs == 0
	c.Vacating = h.Cordoned
	c.PoolSaturated = p.report.Waiting.CPU > 0
	return c
}

// vacateMachines has the runs of machines moved away and returns those that are empty.
func (t *term) vacateMachines(ctx context.Context, names []string, places map[string]Machine) []string {
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

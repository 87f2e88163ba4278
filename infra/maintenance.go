package infra

import (
	"context"
	"slices"
	"time"

	"rattanpath/store"
)

const (
	// operationSlack is how long after the expected end of an operation the
	// listed state of its machine is trusted again.
	operationSlack = time.Second
)

// expireOperations removes the operations that have ended.
func (t *term) expireOperations() {
	now := t.options.Clock()
	for name, op := range t.operations {
		duration := t.options.MoveDuration
		if op.kind == maintenanceOperation {
			duration = t.options.MaintenanceDuration
		}
		if now-op.startedAt > duration+operationSlack && t.listedAt > op.startedAt && !t.isOnHold(name) {
			delete(t.operations, name)
		}
	}
}

// advanceWaves advances every wave and returns the maintenance orders that can
// be sent.
func (t *term) advanceWaves(ctx context.Context) []plannedOrder {
	var orders []plannedOrder
	for number, requested := range t.options.Operator.Waves() {
		w := t.waves[number]
		if w == nil {
			w = &wave{waveRecord: waveRecord{Seen: time.Now()}}
			t.waves[number] = w
		}
		w.Wave = requested
		orders = append(orders, t.advanceWave(ctx, w)...)
	}
	return orders
}

func (t *term) advanceWave(ctx context.Context, w *wave) []plannedOrder {
	if w.reportedState == 0 && !w.Completed {
		t.reportWave(ctx, w, false)
	}
	var orders []plannedOrder
	if !w.Completed {
		orders = t.nextWaveOrders(ctx, w)
	}
	if w.Completed && w.reportedState < 2 {
		t.reportWave(ctx, w, true)
	}
	return orders
}

// reportWave reports the status of a wave to the operator.
func (t *term) reportWave(ctx context.Context, w *wave, completed bool) {
	key, value, err := t.options.WaveStatus(w.Number, completed)
	if err != nil {
		t.logger.Error(err, "failed to encode the status of a maintenance wave", "wave", w.Number)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := t.statusWriter.Write(ctx, []store.Record{{Key: key, Value: value}}); err != nil {
		t.logger.Info("failed to write the status of a maintenance wave", "wave", w.Number, "err", err.Error())
		return
	}
	w.reportedState = 1
	if completed {
		w.reportedState = 2
	}
}

// nextWaveOrders evicts the runs on the next machines of a wave and returns the
// maintenance orders for the machines that are idle.
func (t *term) nextWaveOrders(ctx context.Context, w *wave) []plannedOrder {
	state, machines := t.waveState(w)
	if len(state.Remaining) == 0 {
		w.Completed = true
		t.writeWave(ctx, w)
		t.logger.Info("maintenance wave completed", "wave", w.Number, "machines", len(w.Machines), "took", time.Since(w.Seen).Round(time.Millisecond))
		return nil
	}
	var orders []plannedOrder
	for _, name := range t.evictRuns(ctx, SelectMachines(state), machines) {
		if state.Down+len(orders) < w.MaxDown {
			orders = append(orders, plannedOrder{kind: maintenanceOperation, machine: machines[name], wave: w})
		}
	}
	return orders
}

func (t *term) writeWave(ctx context.Context, w *wave) {
	record, err := w.record()
	if err != nil {
		t.logger.Error(err, "failed to encode the record of a maintenance wave", "wave", w.Number)
		return
	}
	t.writeRecords(ctx, []store.Record{record})
}

// isMaintenanceDue reports whether a machine is part of an unfinished wave and
// its maintenance has not begun.
func (t *term) isMaintenanceDue(machine string) bool {
	for _, w := range t.waves {
		if w.Wave != nil && !w.Completed && slices.Contains(w.Machines, machine) && !slices.Contains(w.Begun, machine) {
			return true
		}
	}
	return false
}

// waveState returns the input for the next step of a wave, and the machines of
// the wave by name.
func (t *term) waveState(w *wave) (WaveState, map[string]Machine) {
	begun := make(map[string]bool)
	for _, name := range w.Begun {
		begun[name] = true
	}
	requested := make(map[string]bool)
	for _, name := range w.Machines {
		requested[name] = true
	}
	machines := make(map[string]Machine)
	state := WaveState{MaxDown: w.MaxDown, TimeLeft: w.Duration - time.Since(w.Seen)}
	for _, m := range t.machines {
		if !requested[m.Name] {
			continue
		}
		machines[m.Name] = m
		op := t.operations[m.Name]
		if m.State == Maintenance || m.State == Unknown || (op != nil && op.kind == maintenanceOperation) {
			state.Down++
			if begun[m.Name] {
				continue
			}
		}
		if !begun[m.Name] {
			state.Remaining = append(state.Remaining, t.newCandidate(m, op))
		}
	}
	return state, machines
}

func (t *term) newCandidate(m Machine, op *operation) Candidate {
	c := Candidate{Machine: m.Name, Up: m.State == Up && op == nil}
	p := t.pools[m.Pool]
	if m.Host == "" || p == nil {
		// A machine without a host serves no load. Without a report, the load
		// of the pool is unknown, so the pool counts as saturated.
		c.Idle = m.Host == ""
		c.PoolSaturated = m.Host != ""
		return c
	}
	h, known := p.hosts[m.Host]
	if !known {
		// The host may have runs, and can't be cordoned.
		c.Up = false
		return c
	}
	c.Idle = h.Idle()
	c.Evicting = h.Cordoned
	c.PoolSaturated = p.report.IsShort()
	return c
}

// evictRuns starts the eviction of the runs on machines and returns the machines
// that are idle.
func (t *term) evictRuns(ctx context.Context, names []string, machines map[string]Machine) []string {
	byPool := make(map[string][]string)
	machineByHost := make(map[string]string)
	var idle []string
	for _, name := range names {
		m := machines[name]
		if m.Host == "" {
			idle = append(idle, name)
			continue
		}
		byPool[m.Pool] = append(byPool[m.Pool], m.Host)
		machineByHost[m.Host] = name
	}
	for service, hosts := range byPool {
		for _, report := range t.cordon(ctx, service, hosts, true) {
			if report.Idle() {
				idle = append(idle, machineByHost[report.ID])
			}
		}
	}
	return idle
}

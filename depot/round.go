package depot

import (
	"context"
	"slices"
	"time"

	"rattanpath/store"
)

const (
	// errandSlack is the time beyond an errand's own after which the list of
	// machines is believed again.
	errandSlack = time.Second
)

// settleErrands forgets the errands that are over.
func (t *term) settleErrands() {
	now := t.options.Clock()
	for name, e := range t.busy {
		length := t.options.MoveTime
		if e.kind == errandUpkeep {
			length = t.options.UpkeepTime
		}
		if now-e.since > length+errandSlack && t.listedAt > e.since && !t.isQuiet(name) {
			delete(t.busy, name)
		}
	}
}

// runWaves takes every wave a step further and returns the upkeep that can begin.
func (t *term) runWaves(ctx context.Context) []plan {
	var plans []plan
	for number, asked := range t.options.Tables.Waves() {
		w := t.waves[number]
		if w == nil {
			w = &wave{waveRecord: waveRecord{Seen: time.Now()}}
			t.waves[number] = w
		}
		w.Wave = asked
		plans = append(plans, t.runWave(ctx, w)...)
	}
	return plans
}

func (t *term) runWave(ctx context.Context, w *wave) []plan {
	if w.reported == 0 && !w.Completed {
		t.reportWave(ctx, w, false)
	}
	var plans []plan
	if !w.Completed {
		plans = t.stepWave(ctx, w)
	}
	if w.Completed && w.reported < 2 {
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

// stepWave moves runs away from the next machines of a wave and returns the
// upkeep of those that are empty.
func (t *term) stepWave(ctx context.Context, w *wave) []plan {
	view, places := t.viewWave(w)
	if len(view.Left) == 0 {
		w.Completed = true
		t.keepWave(ctx, w)
		t.logger.Info("wave completed", "wave", w.Number, "machines", len(w.Machines), "took", time.Since(w.Seen).Round(time.Millisecond))
		return nil
	}
	var plans []plan
	for _, name := range t.vacate(ctx, NextOfWave(view), places) {
		if view.Down+len(plans) < w.Cap {
			plans = append(plans, plan{kind: errandUpkeep, machine: places[name], wave: w})
		}
	}
	return plans
}

func (t *term) keepWave(ctx context.Context, w *wave) {
	record, err := w.record()
	if err != nil {
		t.logger.Error(err, "a wave can't be kept", "wave", w.Number)
		return
	}
	t.write(ctx, []store.Record{record})
}

// isDue reports whether the upkeep of a machine is asked for and hasn't begun.
func (t *term) isDue(machine string) bool {
	for _, w := range t.waves {
		if w.Wave != nil && !w.Completed && slices.Contains(w.Machines, machine) && !slices.Contains(w.Begun, machine) {
			return true
		}
	}
	return false
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

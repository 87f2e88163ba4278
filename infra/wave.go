package infra

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rattanpath/queue"
	"rattanpath/store"
)

const (
	// waveKeyPrefix is the prefix of the keys of wave records.
	waveKeyPrefix = "wave/"
	// machineCycleTime is the expected time that a machine takes for its
	// maintenance, including the eviction of its runs.
	machineCycleTime = 5 * time.Second
	// deadlineMargin is how long before its deadline a wave should be
	// completed.
	deadlineMargin = 4 * time.Second
)

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	// Seen is when a leader first read the wave. The deadline counts from it.
	Seen time.Time
	// Begun are the machines whose maintenance needs no further order.
	Begun     []string
	Completed bool
}

// wave is a maintenance wave in progress.
type wave struct {
	*queue.Wave
	waveRecord
	// reportedState is the last reported state: 0 none, 1 running, 2 completed.
	reportedState int
}

func (w *wave) record() (store.Record, error) {
	value, err := json.Marshal(w.waveRecord)
	return store.Record{Key: waveKeyPrefix + strconv.FormatInt(w.Number, 10), Value: value}, errors.Wrap(err, "encoding the record of a maintenance wave")
}

// WaveState is the input of SelectMachines.
type WaveState struct {
	// Remaining are the machines whose maintenance has not begun.
	Remaining []Candidate
	// Down is how many machines of the wave are, or may be, down for
	// maintenance.
	Down    int
	MaxDown int
	// TimeLeft is the time until the deadline of the wave.
	TimeLeft time.Duration
}

// Candidate is a machine that is due for maintenance.
type Candidate struct {
	Machine string
	// Up means that the machine is available for maintenance.
	Up bool
	// Evicting means that the runs on the machine are being evicted.
	Evicting bool
	// Idle means that nothing runs on the machine.
	Idle bool
	// PoolSaturated means that the machine's pool has no spare capacity.
	PoolSaturated bool
}

// SelectMachines returns the machines whose runs should be evicted now. It
// selects as many as are needed to meet the deadline and, beyond that, machines
// whose runs are already being evicted and idle machines of pools with spare
// capacity. At most MaxDown machines are down at once.
func SelectMachines(state WaveState) []string {
	ready := slices.DeleteFunc(slices.Clone(state.Remaining), func(c Candidate) bool { return !c.Up })
	slices.SortStableFunc(ready, func(a, b Candidate) int { return selectionClass(a) - selectionClass(b) })
	slots := state.MaxDown - state.Down
	required := requiredConcurrency(state) - state.Down
	var next []string
	for _, c := range ready {
		if len(next) >= slots {
			break
		}
		if len(next) >= required && (!c.Idle || c.PoolSaturated) && !c.Evicting {
			continue
		}
		next = append(next, c.Machine)
	}
	return next
}

// selectionClass ranks candidates: first those whose runs are being evicted,
// then those whose absence affects their pool least.
func selectionClass(c Candidate) int {
	switch {
	case c.Evicting:
		return 0
	case c.Idle && !c.PoolSaturated:
		return 1
	case !c.PoolSaturated:
		return 2
	case c.Idle:
		return 3
	default:
		return 4
	}
}

// requiredConcurrency returns how many machines must be in progress at once to
// meet the deadline.
func requiredConcurrency(state WaveState) int {
	timeLeft := state.TimeLeft - deadlineMargin
	if timeLeft <= 0 {
		return state.MaxDown
	}
	return int(math.Ceil(float64(len(state.Remaining)+state.Down) * float64(machineCycleTime) / float64(timeLeft)))
}

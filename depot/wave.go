package depot

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
	// waveKeyPrefix begins the keys of the records of waves.
	waveKeyPrefix = "wave/"
	// machineCycleTime is the time that a machine is taken to need for its upkeep, with
	// moving its runs away.
	machineCycleTime = 5 * time.Second
	// deadlineMargin is the time before the end of a wave at which it should be done.
	deadlineMargin = 4 * time.Second
)

// waveRecord is the record of how far a wave is.
type waveRecord struct {
	Seen      time.Time
	Begun     []string
	Completed bool
}

// wave is a wave of upkeep under way.
type wave struct {
	*queue.Wave
	waveRecord
	// reportedState is the state that was last reported: 0 none, 1 running, 2 completed.
	reportedState int
}

func (w *wave) record() (store.Record, error) {
	value, err := json.Marshal(w.waveRecord)
	return store.Record{Key: waveKeyPrefix + strconv.FormatInt(w.Number, 10), Value: value}, errors.Wrap(err, "encoding a wave")
}

// WaveState is what the choice of the next machines of a wave depends on.
type WaveState struct {
	// Remaining are the machines whose upkeep hasn't begun.
	Remaining []Candidate
	// Down is how many machines of the wave are down for their upkeep, or may be.
	Down    int
	MaxDown int
	// TimeLeft is the time until the wave should be done.
	TimeLeft time.Duration
}

// Candidate is a machine that is due for upkeep.
type Candidate struct {
	Machine string
	// Up means that the machine can go now.
	Up bool
	// Vacating means that its runs are being moved away already.
	Vacating bool
	// Idle means that nothing runs on it.
	Idle bool
	// PoolSaturated means that its pool has no room to spare.
	PoolSaturated bool
}

// SelectMachines returns the machines whose runs should be moved away now. It keeps
// to the pace that gets the wave done, and goes faster with machines that aren't
// missed.
func SelectMachines(view WaveState) []string {
	ready := slices.DeleteFunc(slices.Clone(view.Remaining), func(c Candidate) bool { return !c.Up })
	slices.SortStableFunc(ready, func(a, b Candidate) int { return selectionClass(a) - selectionClass(b) })
	slots := view.MaxDown - view.Down
	pace := requiredConcurrency(view) - view.Down
	var next []string
	for _, c := range ready {
		if len(next) >= slots {
			break
		}
		if len(next) >= pace && (!c.Idle || c.PoolSaturated) && !c.Vacating {
			continue
		}
		next = append(next, c.Machine)
	}
	return next
}

// selectionClass orders candidates: those that are on the way first, then those that are
// missed least.
func selectionClass(c Candidate) int {
	switch {
	case c.Vacating:
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

// requiredConcurrency returns how many machines must be on their way at once.
func requiredConcurrency(view WaveState) int {
	left := view.TimeLeft - deadlineMargin
	if left <= 0 {
		return view.MaxDown
	}
	return int(math.Ceil(float64(len(view.Remaining)+view.Down) * float64(machineCycleTime) / float64(left)))
}

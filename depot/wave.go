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
	// waveKey begins the keys of the records of waves.
	waveKey = "wave/"
	// cycle is the time that a machine is taken to need for its upkeep, with
	// moving its runs away.
	cycle = 5 * time.Second
	// margin is the time before the end of a wave at which it should be done.
	margin = 4 * time.Second
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
	// reported is the state that was last reported: 0 none, 1 running, 2 completed.
	reported int
}

func (w *wave) record() (store.Record, error) {
	value, err := json.Marshal(w.waveRecord)
	return store.Record{Key: waveKey + strconv.FormatInt(w.Number, 10), Value: value}, errors.Wrap(err, "encoding a wave")
}

// WaveView is what the choice of the next machines of a wave depends on.
type WaveView struct {
	// Left are the machines whose upkeep hasn't begun.
	Left []Candidate
	// Down is how many machines of the wave are down for their upkeep, or may be.
	Down int
	Cap  int
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
	// Strained means that its pool has no room to spare.
	Strained bool
}

// NextOfWave returns the machines whose runs should be moved away now. It keeps
// to the pace that gets the wave done, and goes faster with machines that aren't
// missed.
func NextOfWave(view WaveView) []string {
	ready := slices.DeleteFunc(slices.Clone(view.Left), func(c Candidate) bool { return !c.Up })
	slices.SortStableFunc(ready, func(a, b Candidate) int { return class(a) - class(b) })
	slots := view.Cap - view.Down
	pace := paceOf(view) - view.Down
	var next []string
	for _, c := range ready {
		if len(next) >= slots {
			break
		}
		if len(next) >= pace && (!c.Idle || c.Strained) && !c.Vacating {
			continue
		}
		next = append(next, c.Machine)
	}
	return next
}

// class orders candidates: those that are on the way first, then those that are
// missed least.
func class(c Candidate) int {
	switch {
	case c.Vacating:
		return 0
	case c.Idle && !c.Strained:
		return 1
	case !c.Strained:
		return 2
	case c.Idle:
		return 3
	default:
		return 4
	}
}

// paceOf returns how many machines must be on their way at once.
func paceOf(view WaveView) int {
	left := view.TimeLeft - margin
	if left <= 0 {
		return view.Cap
	}
	return int(math.Ceil(float64(len(view.Left)+view.Down) * float64(cycle) / float64(left)))
}

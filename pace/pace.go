package pace

import "time"

// Shares of their full speed at which tasks that fill work, in percent.
const (
	// Full is the share of a task that nobody slows down.
	Full = 100
	// rise is how much the share rises while the tails leave room.
	rise = 10
	// least is the share below which tasks that fill stand still.
	least = 10
)

// The tail of a serving task against its target decides where the share goes. It
// falls faster than it rises, since serving counts for more.
const (
	// over is the part of the target beyond which the share is halved.
	over = 0.9
	// near is the part beyond which it falls a little.
	near = 0.75
	// roomy is the part below which it rises.
	roomy = 0.6
)

// Tail is a serving task's response time against what it must stay below.
type Tail struct {
	Measured time.Duration
	Target   time.Duration
}

// Next returns the share at which the tasks that fill on a host work from now
// on, given the present one and the tails of the tasks that serve there.
func Next(share int, tails []Tail) int {
	worst := worstOf(tails)
	switch {
	case len(tails) == 0:
		share = Full
	case worst > over:
		share /= 2
	case worst > near:
		share -= rise
	case worst < roomy:
		share += rise
	}
	if share < least {
		return 0
	}
	return min(share, Full)
}

// worstOf returns the largest tail as a part of its target.
func worstOf(tails []Tail) float64 {
	worst := 0.0
	for _, tail := range tails {
		if tail.Target > 0 {
			worst = max(worst, float64(tail.Measured)/float64(tail.Target))
		}
	}
	return worst
}

package pace

import "time"

// Shares of full speed at which best-effort tasks run, in percent.
const (
	// FullShare is the share of an unthrottled task.
	FullShare = 100
	// shareStep is how much the share changes at a time, except when it is halved.
	shareStep = 10
	// minShare is the lowest share; below it best-effort tasks are suspended.
	minShare = 10
)

// Thresholds for the tail latency of serving tasks as a fraction of its target. The
// share falls faster than it rises, since serving tasks matter more.
const (
	// halveAbove is the fraction above which the share is halved.
	halveAbove = 0.9
	// lowerAbove is the fraction above which the share is lowered by shareStep.
	lowerAbove = 0.75
	// raiseBelow is the fraction below which the share is raised by shareStep.
	raiseBelow = 0.6
)

// TailLatency is the tail of a serving task's response times and its upper limit.
type TailLatency struct {
	Measured time.Duration
	Target   time.Duration
}

// NextShare returns the next share of the best-effort tasks on a host, from the
// current share and the tail latencies of the serving tasks on that host.
func NextShare(share int, tails []TailLatency) int {
	worst := worstRatio(tails)
	switch {
	case len(tails) == 0:
		share = FullShare
	case worst > halveAbove:
		share /= 2
	case worst > lowerAbove:
		share -= shareStep
	case worst < raiseBelow:
		share += shareStep
	}
	if share < minShare {
		return 0
	}
	return min(share, FullShare)
}

// worstRatio returns the largest ratio of a tail latency to its target.
func worstRatio(tails []TailLatency) float64 {
	worst := 0.0
	for _, tail := range tails {
		if tail.Target > 0 {
			worst = max(worst, float64(tail.Measured)/float64(tail.Target))
		}
	}
	return worst
}

package place

import (
	"cmp"
	"time"

	"rattanpath/core"
)

// Urgency describes a job with waiting tasks for the order of placement.
type Urgency struct {
	Priority int
	// Begun means that the job has serving tasks, or that some of its work would be
	// wasted if the rest came too late.
	Begun bool
	// Late means that the job can no longer meet its objective.
	Late bool
	// Accepted is when the job was accepted or became due, and LatestStart when the
	// rest of it must start to meet the objective.
	Accepted    time.Time
	LatestStart time.Time
	// Backlog is the CPU time of the waiting tasks that could start now, in
	// millicore-milliseconds.
	Backlog int64
}

// Order is the order in which jobs are placed.
type Order int

// The orders of placement.
const (
	// EarliestFirst places the job with the earliest latest start first. Every job
	// meets its objective if the pool can work off the backlog in time.
	EarliestFirst Order = iota
	// NewestFirst places jobs that have begun first, and then the newest. If the pool
	// can't keep up, EarliestFirst starts each job when it is just too late.
	NewestFirst
)

// ChooseOrder returns the order for jobs that share a CPU capacity in millicores: the
// pool keeps up if it can work off the backlog within the mean slack of the jobs that
// have not begun. Late jobs count as well: while some wait, it does not.
func ChooseOrder(jobs []*Urgency, capacity int64) Order {
	// Sums of what callers ask for may exceed an int64.
	var backlog, slack float64
	count := 0
	for _, job := range jobs {
		backlog += float64(job.Backlog)
		if !job.Begun {
			slack += float64(job.LatestStart.Sub(job.Accepted))
			count++
		}
	}
	if count == 0 || capacity <= 0 {
		return EarliestFirst
	}
	drain := backlog / float64(capacity) * float64(time.Millisecond)
	if drain > slack/float64(count) {
		return NewestFirst
	}
	return EarliestFirst
}

// Compare compares two jobs: by priority; then jobs that can still meet their
// objective come before those that can't, since finishing a late job earlier gains
// little; then by the order.
func (o Order) Compare(a, b *Urgency) int {
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case a.Late != b.Late:
		return core.CompareBools(a.Late, b.Late)
	case o == NewestFirst && !a.Late && a.Begun != b.Begun:
		return core.CompareBools(b.Begun, a.Begun)
	case o == NewestFirst && !a.Late && !a.Begun:
		return b.Accepted.Compare(a.Accepted)
	}
	return cmp.Or(a.LatestStart.Compare(b.LatestStart), a.Accepted.Compare(b.Accepted))
}

// CompareStartedFirst compares two jobs as Compare does, but of one priority those that have
// begun come first even if they are late: after an outage, what they have done would be wasted
// for longest.
func (o Order) CompareStartedFirst(a, b *Urgency) int {
	if a.Priority == b.Priority && a.Begun != b.Begun {
		return core.CompareBools(b.Begun, a.Begun)
	}
	return o.Compare(a, b)
}

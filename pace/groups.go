package pace

import (
	"cmp"
	"slices"
)

// Group is the best-effort tasks of one image on a host, which have one share.
type Group struct {
	Share int
	// Known means that it is known how much they slow the serving tasks of the host down.
	Known bool
	// Slowdown is by how much they do at full share: how far they raise the tail latency
	// of a serving task as a fraction of its target, 0 if they are harmless.
	Slowdown float64
}

// NextShares returns the next share of each group, from the tail latencies of the serving tasks
// and the common share, which is that of a host of which nothing is known.
//
// Groups of which nothing is known get the common share. Of the others, those that disturb most
// are throttled first, by at least as much in all as the common share would, and harmless ones
// are not. If this doesn't help, that is if urgent says that the previous report was urgent too
// (see IsUrgent) and this one still is, all groups are limited to the common share.
func NextShares(groups []Group, tails []TailLatency, common int, urgent bool) []int {
	shares := make([]int, len(groups))
	worst := worstRatio(tails)
	for i, g := range groups {
		switch {
		case !g.Known:
			shares[i] = common
		case worst < raiseBelow || g.Slowdown == 0 && worst <= lowerAbove:
			shares[i] = min(g.Share+shareStep, FullShare)
		default:
			shares[i] = g.Share
		}
	}
	if worst > lowerAbove {
		throttle(groups, shares, reduction(groups, worst))
	}
	for i := range shares {
		if urgent && worst > halveAbove {
			shares[i] = min(shares[i], common)
		}
		if shares[i] < minShare {
			shares[i] = 0
		}
	}
	return shares
}

// IsNear reports whether tasks are throttled for a serving task with this tail latency.
func IsNear(tail TailLatency) bool { return worstRatio([]TailLatency{tail}) > lowerAbove }

// IsUrgent reports whether a tail latency is so close to its target that all groups are to be
// throttled if the next report is urgent too.
func IsUrgent(tails []TailLatency) bool { return worstRatio(tails) > halveAbove }

// reduction returns by how much the known groups are to lower the worst tail latency: by as much
// as one step of the common share would. If it is urgent, at least down to lowerAbove.
func reduction(groups []Group, worst float64) float64 {
	slowdown, lowered := 0.0, 0.0
	for _, g := range groups {
		if g.Known {
			slowdown += g.Slowdown * float64(g.Share) / FullShare
			lowered += g.Slowdown * min(shareStep, float64(g.Share)) / FullShare
		}
	}
	if worst > halveAbove {
		return max(slowdown/2, worst-lowerAbove)
	}
	return lowered
}

// throttle lowers the shares of known groups until the tail latency is lower by an amount,
// beginning with the group that slows the serving tasks down most.
func throttle(groups []Group, shares []int, amount float64) {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(groups[b].Slowdown, groups[a].Slowdown) })
	for _, i := range order {
		g := groups[i]
		if !g.Known || g.Slowdown <= 0 || amount <= 0 {
			continue
		}
		cut := min(float64(shares[i]), amount/g.Slowdown*FullShare)
		amount -= cut * g.Slowdown / FullShare
		shares[i] = int(float64(shares[i]) - cut)
	}
}

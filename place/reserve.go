package place

import "cmp"

// reservedFraction is the fraction of the hosts, as a divisor, that is reserved at most.
const reservedFraction = 4

// Reserve reserves hosts for tasks that need isolation: without it, a host on which others
// keep starting would never be without fresh runs. It leaves most hosts to the others.
func Reserve(reqs []Requirements, hosts []*Host) {
	left := max(1, len(hosts)/reservedFraction)
	for _, h := range hosts {
		if h.Reserved {
			left--
		}
	}
	for _, req := range reqs {
		if left <= 0 {
			return
		}
		if h := pickToReserve(req, hosts); h != nil {
			h.Reserved = true
			left--
		}
	}
}

// pickToReserve returns the host on which an isolated task can start soonest, or nil: one
// with room for it and the oldest fresh run, or else the one with the most room.
func pickToReserve(req Requirements, hosts []*Host) *Host {
	var best *Host
	for _, h := range hosts {
		if h.Reserved || !canEverRun(req, h) {
			continue
		}
		if best == nil || compareToReserve(req, h, best) < 0 {
			best = h
		}
	}
	return best
}

// canEverRun reports whether a task could run on a host without other runs.
func canEverRun(req Requirements, h *Host) bool {
	empty := *h
	empty.Free, empty.QuietIn, empty.TasksWithoutCPU = h.Capacity, 0, 0
	return Feasible(req, &empty)
}

// compareToReserve orders hosts by how soon an isolated task can start there.
func compareToReserve(req Requirements, a, b *Host) int {
	need := req.Step.RequiredResources()
	aFits, bFits := a.Free.CanFit(need), b.Free.CanFit(need)
	switch {
	case aFits && !bFits:
		return -1
	case bFits && !aFits:
		return 1
	case aFits:
		return cmp.Or(cmp.Compare(a.QuietIn, b.QuietIn), cmp.Compare(b.Free.CPU, a.Free.CPU), cmp.Compare(a.ID, b.ID))
	default:
		return cmp.Or(cmp.Compare(b.Free.CPU, a.Free.CPU), cmp.Compare(a.ID, b.ID))
	}
}

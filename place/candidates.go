package place

import (
	"cmp"
	"math"
	"slices"
)

// Candidates are hosts in an order in which the best one for a task is found without a look at each.
// Their free resources must be changed through Place only.
type Candidates struct {
	// hosts are in ascending order of the share of their CPU that is free.
	hosts []*Host
	// probes are those that should get a run that shows their speed.
	probes []*Host
	// smallest and largest are the bounds of the CPU capacities that aren't 0.
	smallest float64
	largest  float64
	// examined counts the hosts that searches have looked at.
	examined int
}

// shareTolerance is more than the error of a share of a host's CPU.
const shareTolerance = 1e-9

// NewCandidates returns the hosts as candidates.
func NewCandidates(hosts []*Host) *Candidates {
	c := &Candidates{hosts: slices.Clone(hosts), smallest: math.Inf(1)}
	slices.SortFunc(c.hosts, compareFree)
	for _, h := range hosts {
		if h.NeedsProbe {
			c.probes = append(c.probes, h)
		}
		if capacity := float64(h.Capacity.CPU); capacity > 0 {
			c.smallest, c.largest = min(c.smallest, capacity), max(c.largest, capacity)
		}
	}
	return c
}

// freeShare returns the fraction of a host's CPU that is free.
func (h *Host) freeShare() float64 {
	if h.Capacity.CPU <= 0 {
		return 0
	}
	return float64(h.Free.CPU) / float64(h.Capacity.CPU)
}

func compareFree(a, b *Host) int {
	return cmp.Or(cmp.Compare(a.freeShare(), b.freeShare()), cmp.Compare(a.ID, b.ID))
}

// Pick returns a feasible host with the lowest cost, or nil if there is none. Hosts with the same cost
// come in the order of the share that is free, and then of their IDs.
func (c *Candidates) Pick(req Requirements) *Host {
	if req.Isolated {
		// Such a task prefers empty hosts.
		return Pick(req, c.hosts)
	}
	s := search{req: &req}
	if req.MayProbe {
		// These have costs below their free share.
		s.try(c.probes)
	}
	need := float64(req.Step.RequiredResources().CPU)
	for i := c.firstWithRoom(need); i < len(c.hosts); i++ {
		if s.best != nil && c.minIdleShare(c.hosts[i], &req, need) >= s.cost {
			break
		}
		s.try(c.hosts[i : i+1])
		c.examined++
	}
	return s.best
}

// firstWithRoom returns the index of the first host that may have so much CPU free.
func (c *Candidates) firstWithRoom(need float64) int {
	if need <= 0 || c.largest == 0 {
		return 0
	}
	first, _ := slices.BinarySearchFunc(c.hosts, need/c.largest-shareTolerance, func(h *Host, share float64) int {
		return cmp.Compare(h.freeShare(), share)
	})
	return first
}

// minIdleShare returns a lower bound of the CPU cost of a task on a host and on all after it.
func (c *Candidates) minIdleShare(h *Host, req *Requirements, need float64) float64 {
	if c.smallest == c.largest && h.Capacity.CPU > 0 {
		return idleCPUShare(req.Step, h)
	}
	return h.freeShare() - need/c.smallest - shareTolerance
}

// search is a search for the feasible host with the lowest cost.
type search struct {
	req  *Requirements
	best *Host
	cost float64
}

// try compares further hosts with the best one.
func (s *search) try(hosts []*Host) {
	for _, h := range hosts {
		if s.req.firstObstacle(h) != NoObstacle {
			continue
		}
		if cost := s.req.costs(h).Total(); s.best == nil || cost < s.cost {
			s.best, s.cost = h, cost
		}
	}
}

// Place updates a host for a task that is placed on it.
func (c *Candidates) Place(h *Host, req Requirements) {
	from, found := slices.BinarySearchFunc(c.hosts, h, compareFree)
	h.Place(req)
	c.probes = slices.DeleteFunc(c.probes, func(probe *Host) bool { return probe == h })
	if !found {
		return
	}
	to, _ := slices.BinarySearchFunc(c.hosts[:from], h, compareFree)
	copy(c.hosts[to+1:from+1], c.hosts[to:from])
	c.hosts[to] = h
}

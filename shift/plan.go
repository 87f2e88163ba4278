package shift

import (
	"cmp"
	"math"
	"slices"
)

// Host is a host of a pool as far as moving it is concerned.
type Host struct {
	Machine string
	// Idle means that nothing runs on it.
	Idle bool
	// CPU is the capacity in thousandths of a core.
	CPU int64
}

// Pool is a pool and what is asked of it.
type Pool struct {
	Name string
	// Standby means that the pool's machines are off.
	Standby bool
	Hosts   []Host
	// Coming counts the machines that are on their way to the pool.
	Coming int
	// Least is the number of hosts that the pool always keeps.
	Least int
	// Used, Waiting and Asked are processor time that is in use, that ready tasks
	// wait for, and that new jobs ask for each second, in thousandths of a core.
	Used    int64
	Waiting int64
	Asked   int64
}

// Move puts a machine into another pool.
type Move struct {
	Machine string
	From    string
	To      string
}

const (
	// headroom is how much more than what is asked a pool should hold.
	headroom = 1.15
	// waitingShare is the part of the waiting work that counts as demand: the rest
	// is done by the time a machine has moved.
	waitingShare = 0.5
)

// Wants returns how many hosts of a size a pool should have.
func Wants(pool Pool, hostCPU int64) int {
	if hostCPU <= 0 {
		return pool.Least
	}
	demand := max(pool.Asked, pool.Used+int64(waitingShare*float64(pool.Waiting)))
	return max(pool.Least, int(math.Ceil(headroom*float64(demand)/float64(hostCPU))))
}

// state is a pool while moves are planned.
type state struct {
	Pool
	want int
	idle []Host
}

func (s *state) have() int    { return len(s.Hosts) + s.Coming }
func (s *state) missing() int { return s.want - s.have() }

// spare is how many idle hosts the pool can give.
func (s *state) spare() int {
	if s.Standby {
		return len(s.idle)
	}
	return min(len(s.idle), s.have()-s.want)
}

// Plan returns the moves that bring machines to the pools that miss some, at
// most limit of them. Machines come from pools that have idle ones, and from
// standby last.
func Plan(pools []Pool, limit int) []Move {
	states := newStates(pools)
	var moves []Move
	for len(moves) < limit {
		to := neediest(states)
		from := richest(states)
		if to == nil || from == nil {
			return moves
		}
		host := from.idle[0]
		from.idle = from.idle[1:]
		from.Hosts = slices.DeleteFunc(slices.Clone(from.Hosts), func(h Host) bool { return h.Machine == host.Machine })
		to.Coming++
		moves = append(moves, Move{Machine: host.Machine, From: from.Name, To: to.Name})
	}
	return moves
}

func newStates(pools []Pool) []*state {
	size := hostSize(pools)
	var states []*state
	for _, pool := range pools {
		s := &state{Pool: pool, want: Wants(pool, size)}
		for _, host := range pool.Hosts {
			if host.Idle {
				s.idle = append(s.idle, host)
			}
		}
		slices.SortFunc(s.idle, func(a, b Host) int { return cmp.Compare(a.Machine, b.Machine) })
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *state) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// hostSize returns the mean capacity of a host.
func hostSize(pools []Pool) int64 {
	var sum, count int64
	for _, pool := range pools {
		for _, host := range pool.Hosts {
			sum += host.CPU
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// neediest returns the pool that misses the most hosts, or nil.
func neediest(states []*state) *state {
	var worst *state
	for _, s := range states {
		if s.Standby || s.missing() <= 0 {
			continue
		}
		if worst == nil || s.missing() > worst.missing() {
			worst = s
		}
	}
	return worst
}

// richest returns the pool that can give the most hosts, or nil.
func richest(states []*state) *state {
	var best *state
	for _, s := range states {
		if s.spare() <= 0 {
			continue
		}
		if best == nil || rank(s) > rank(best) {
			best = s
		}
	}
	return best
}

// rank orders pools that can give a host: those in use go before standby, whose
// machines cost nothing while they stay.
func rank(s *state) int {
	if s.Standby {
		return 0
	}
	return s.spare()
}

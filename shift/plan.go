package shift

import (
	"cmp"
	"math"
	"slices"

	"rattanpath/tasks"
)

// Host is a host of a pool as far as moving it is concerned.
type Host struct {
	Machine string
	// Idle means that nothing runs on it.
	Idle bool
	// Due means that the machine is due for upkeep.
	Due  bool
	Room tasks.Resources
}

// Pool is a pool and what is asked of it. Processor time is in thousandths of a
// core.
type Pool struct {
	Name string
	// Standby means that the pool's machines are off.
	Standby bool
	Hosts   []Host
	// Coming counts the machines that are on their way to the pool.
	Coming int
	// Least is the number of hosts that the pool always keeps, and Keep how many it
	// doesn't give to standby.
	Least int
	Keep  int
	// Used is the room in use, Serving that part of it that serving tasks take, and
	// Waiting what ready tasks wait for.
	Used    tasks.Resources
	Serving tasks.Resources
	Waiting tasks.Resources
	// Asked is the processor time that new jobs ask for each second, and Soon what
	// tasks other than serving ones will need once a machine has moved.
	Asked int64
	Soon  int64
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
func Wants(pool Pool, size tasks.Resources) int {
	if size.CPU <= 0 {
		return pool.Least
	}
	asked := pool.Serving.CPU + max(pool.Asked, pool.Soon)
	now := pool.Used.CPU + share(pool.Waiting.CPU)
	wants := max(pool.Least, hostsFor(max(asked, now), size.CPU))
	if size.MemMB > 0 {
		wants = max(wants, hostsFor(pool.Used.MemMB+share(pool.Waiting.MemMB), size.MemMB))
	}
	if pool.Waiting.CPU > 0 && pool.idle() == 0 {
		// What waits may fit on no host though there is room in all.
		wants = max(wants, len(pool.Hosts)+1)
	}
	return wants
}

func share(waiting int64) int64 { return int64(waitingShare * float64(waiting)) }

func hostsFor(demand, size int64) int {
	return int(math.Ceil(headroom * float64(demand) / float64(size)))
}

// idle returns how many hosts of the pool are idle.
func (p *Pool) idle() int {
	count := 0
	for _, host := range p.Hosts {
		if host.Idle {
			count++
		}
	}
	return count
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

// Plan returns the moves that bring machines to the pools that miss some, and then
// those that take machines that nobody misses to standby, at most limit in all.
// Machines come from pools that have idle ones, and from standby last.
func Plan(pools []Pool, limit int) []Move {
	states := newStates(pools)
	var moves []Move
	for len(moves) < limit {
		to, from := neediest(states), richest(states)
		if to == nil || from == nil {
			break
		}
		moves = append(moves, from.give(to))
	}
	return append(moves, rest(states, limit-len(moves))...)
}

// rest returns the moves of idle hosts to standby.
func rest(states []*state, limit int) []Move {
	at := slices.IndexFunc(states, func(s *state) bool { return s.Standby })
	if at < 0 {
		return nil
	}
	var moves []Move
	for _, s := range states {
		for !s.Standby && len(moves) < limit && len(s.idle) > 0 && s.have() > max(s.want, s.Keep) {
			moves = append(moves, s.give(states[at]))
		}
	}
	return moves
}

// give takes an idle host of the pool to another.
func (s *state) give(to *state) Move {
	host := s.idle[0]
	s.idle = s.idle[1:]
	s.Hosts = slices.DeleteFunc(slices.Clone(s.Hosts), func(h Host) bool { return h.Machine == host.Machine })
	to.Coming++
	return Move{Machine: host.Machine, From: s.Name, To: to.Name}
}

func newStates(pools []Pool) []*state {
	size := HostSize(pools)
	var states []*state
	for _, pool := range pools {
		s := &state{Pool: pool, want: Wants(pool, size)}
		for _, host := range pool.Hosts {
			if host.Idle {
				s.idle = append(s.idle, host)
			}
		}
		slices.SortFunc(s.idle, func(a, b Host) int {
			return cmp.Or(compareBools(a.Due, b.Due), cmp.Compare(a.Machine, b.Machine))
		})
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *state) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// HostSize returns the mean capacity of the hosts of pools.
func HostSize(pools []Pool) tasks.Resources {
	var sum tasks.Resources
	var count int64
	for _, pool := range pools {
		for _, host := range pool.Hosts {
			sum = sum.Add(host.Room)
			count++
		}
	}
	if count == 0 {
		return tasks.Resources{}
	}
	return tasks.Resources{CPU: sum.CPU / count, MemMB: sum.MemMB / count, GPU: sum.GPU / count}
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

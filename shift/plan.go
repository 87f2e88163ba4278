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
	// MaintenanceDue means that the machine is due for upkeep.
	MaintenanceDue bool
	Capacity       tasks.Room
}

// Pool is a pool and what is asked of it. Processor time is in thousandths of a
// core.
type Pool struct {
	Name string
	// Standby means that the pool's machines are off.
	Standby bool
	Hosts   []Host
	// Incoming counts the machines that are on their way to the pool.
	Incoming int
	// MinHosts is the number of hosts that the pool always keeps, and Keep how many it
	// doesn't give to standby.
	MinHosts  int
	KeepHosts int
	// Used is the room in use, Serving that part of it that serving tasks take, and
	// Waiting what ready tasks wait for.
	Used    tasks.Room
	Serving tasks.Room
	Waiting tasks.Room
	// ArrivalCPU is the processor time that new jobs ask for each second, and Soon what
	// tasks other than serving ones will need once a machine has moved.
	ArrivalCPU  int64
	ForecastCPU int64
}

// Move puts a machine into another pool.
type Move struct {
	Machine string
	From    string
	To      string
}

const (
	// headroomFactor is how much more than what is asked a pool should hold.
	headroomFactor = 1.15
	// backlogFraction is the part of the waiting work that counts as demand: the rest
	// is done by the time a machine has moved.
	backlogFraction = 0.5
)

// RequiredHosts returns how many hosts of a size a pool should have.
func RequiredHosts(pool Pool, size tasks.Room) int {
	if size.CPU <= 0 {
		return pool.MinHosts
	}
	asked := pool.Serving.CPU + max(pool.ArrivalCPU, pool.ForecastCPU)
	now := pool.Used.CPU + expectedBacklog(pool.Waiting.CPU)
	wants := max(pool.MinHosts, hostsForDemand(max(asked, now), size.CPU))
	if size.MemMB > 0 {
		wants = max(wants, hostsForDemand(pool.Used.MemMB+expectedBacklog(pool.Waiting.MemMB), size.MemMB))
	}
	if pool.Waiting.CPU > 0 && pool.idleHosts() == 0 {
		// What waits may fit on no host though there is room in all.
		wants = max(wants, len(pool.Hosts)+1)
	}
	return wants
}

func expectedBacklog(waiting int64) int64 { return int64(backlogFraction * float64(waiting)) }

func hostsForDemand(demand, size int64) int {
	return int(math.Ceil(headroomFactor * float64(demand) / float64(size)))
}

// idleHosts returns how many hosts of the pool are idle.
func (p *Pool) idleHosts() int {
	count := 0
	for _, host := range p.Hosts {
		if host.Idle {
			count++
		}
	}
	return count
}

// poolState is a pool while moves are planned.
type poolState struct {
	Pool
	required  int
	idleQueue []Host
}

func (s *poolState) hostCount() int { return len(s.Hosts) + s.Incoming }
func (s *poolState) deficit() int   { return s.required - s.hostCount() }

// surplus is how many idle hosts the pool can give.
func (s *poolState) surplus() int {
	if s.Standby {
		return len(s.idleQueue)
	}
	return min(len(s.idleQueue), s.hostCount()-s.required)
}

// Plan returns the moves that bring machines to the pools that miss some, and then
// those that take machines that nobody misses to standby, at most limit in all.
// Machines come from pools that have idle ones, and from standby last.
func Plan(pools []Pool, limit int) []Move {
	states := newPoolStates(pools)
	var moves []Move
	for len(moves) < limit {
		to, from := largestDeficit(states), bestDonor(states)
		if to == nil || from == nil {
			break
		}
		moves = append(moves, from.moveHost(to))
	}
	return append(moves, planStandby(states, limit-len(moves))...)
}

// planStandby returns the moves of idle hosts to standby.
func planStandby(states []*poolState, limit int) []Move {
	at := slices.IndexFunc(states, func(s *poolState) bool { return s.Standby })
	if at < 0 {
		return nil
	}
	var moves []Move
	for _, s := range states {
		for !s.Standby && len(moves) < limit && len(s.idleQueue) > 0 && s.hostCount() > max(s.required, s.KeepHosts) {
			moves = append(moves, s.moveHost(states[at]))
		}
	}
	return moves
}

// moveHost takes an idle host of the pool to another.
func (s *poolState) moveHost(to *poolState) Move {
	host := s.idleQueue[0]
	s.idleQueue = s.idleQueue[1:]
	s.Hosts = slices.DeleteFunc(slices.Clone(s.Hosts), func(h Host) bool { return h.Machine == host.Machine })
	to.Incoming++
	return Move{Machine: host.Machine, From: s.Name, To: to.Name}
}

func newPoolStates(pools []Pool) []*poolState {
	size := MeanCapacity(pools)
	var states []*poolState
	for _, pool := range pools {
		s := &poolState{Pool: pool, required: RequiredHosts(pool, size)}
		for _, host := range pool.Hosts {
			if host.Idle {
				s.idleQueue = append(s.idleQueue, host)
			}
		}
		slices.SortFunc(s.idleQueue, func(a, b Host) int {
			return cmp.Or(compareBools(a.MaintenanceDue, b.MaintenanceDue), cmp.Compare(a.Machine, b.Machine))
		})
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *poolState) int { return cmp.Compare(a.Name, b.Name) })
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

// MeanCapacity returns the mean capacity of the hosts of pools.
func MeanCapacity(pools []Pool) tasks.Room {
	var sum tasks.Room
	var count int64
	for _, pool := range pools {
		for _, host := range pool.Hosts {
			sum = sum.Add(host.Capacity)
			count++
		}
	}
	if count == 0 {
		return tasks.Room{}
	}
	return tasks.Room{CPU: sum.CPU / count, MemMB: sum.MemMB / count, GPU: sum.GPU / count}
}

// largestDeficit returns the pool that misses the most hosts, or nil.
func largestDeficit(states []*poolState) *poolState {
	var worst *poolState
	for _, s := range states {
		if s.Standby || s.deficit() <= 0 {
			continue
		}
		if worst == nil || s.deficit() > worst.deficit() {
			worst = s
		}
	}
	return worst
}

// bestDonor returns the pool that can give the most hosts, or nil.
func bestDonor(states []*poolState) *poolState {
	var best *poolState
	for _, s := range states {
		if s.surplus() <= 0 {
			continue
		}
		if best == nil || donorPriority(s) > donorPriority(best) {
			best = s
		}
	}
	return best
}

// donorPriority orders pools that can give a host: those in use go before standby, whose
// machines cost nothing while they stay.
func donorPriority(s *poolState) int {
	if s.Standby {
		return 0
	}
	return s.surplus()
}

package alloc

import (
	"cmp"
	"math"
	"slices"

	"rattanpath/core"
	"rattanpath/tasks"
)

// Host is a host of a pool as seen by the planner.
type Host struct {
	Machine string
	// Idle means that nothing runs on the host.
	Idle bool
	// Unusable means that no run is assigned to the host at present, for example because it is
	// being vacated.
	Unusable bool
	// Overdue means that waiting serving tasks don't count on the host, although it may soon take
	// runs: the pool's owner should have reached it by now.
	Overdue bool
	// MaintenanceDue means that the machine is due for maintenance.
	MaintenanceDue bool
	Capacity       tasks.Resources
}

// Pool is the state of a pool and the demand on it. Processor time is in
// thousandths of a core.
type Pool struct {
	Name string
	// Standby means that the pool's machines are off.
	Standby bool
	Hosts   []Host
	// Incoming counts the machines that will become hosts of the pool: they are
	// moving to it, down for maintenance or starting.
	Incoming int
	// Overdue counts those of Incoming that waiting serving tasks don't count on.
	Overdue int
	// MinHosts is the number of hosts that the pool always keeps. KeepHosts is
	// the number below which the pool moves no hosts to standby.
	MinHosts  int
	KeepHosts int
	// Apart is the largest number of hosts over which a step must be spread.
	Apart int
	// Used is the capacity in use, Serving the part of it used by serving
	// tasks, and Waiting the capacity that ready tasks wait for.
	Used    tasks.Resources
	Serving tasks.Resources
	Waiting tasks.Resources
	// IsShort means that ready tasks other than best-effort ones have no host. They may
	// request nothing of what Waiting counts.
	IsShort bool
	// HasUnplaced means that serving tasks wait, or are to be stopped for maintenance, that no
	// other host can take, not even an idle one.
	HasUnplaced bool
	// ServingHosts is the number of hosts with serving tasks and of serving tasks that no host can
	// take: they need no more hosts than that.
	ServingHosts int
	// ArrivalCPU is the processor time that new jobs request per second.
	// ForecastCPU is what tasks other than serving ones will need once a
	// machine has moved.
	ArrivalCPU  int64
	ForecastCPU int64
}

// Move assigns a machine to another pool.
type Move struct {
	Machine string
	From    string
	To      string
}

const (
	// headroomFactor is the target ratio of a pool's capacity to the demand on it.
	headroomFactor = 1.15
	// backlogFraction is the part of the waiting work that counts as demand.
	// The rest is done by the time a machine has moved.
	backlogFraction = 0.5
	// maxUnsuited is the number of idle hosts up to which a pool gets another one for a task that
	// none of them can take.
	maxUnsuited = 3
)

// RequiredHosts returns how many hosts of the given capacity a pool should
// have.
func RequiredHosts(pool Pool, capacity tasks.Resources) int {
	required := pool.MinHosts
	if capacity.CPU > 0 {
		expected := pool.Serving.CPU + max(pool.ArrivalCPU, pool.ForecastCPU)
		current := pool.Used.CPU + expectedBacklog(pool.Waiting.CPU)
		required = max(required, hostsForDemand(max(expected, current), capacity.CPU))
	}
	if capacity.MemMB > 0 {
		required = max(required, hostsForDemand(pool.Used.MemMB+expectedBacklog(pool.Waiting.MemMB), capacity.MemMB))
	}
	if capacity.GPU > 0 {
		required = max(required, hostsForDemand(pool.Used.GPU+expectedBacklog(pool.Waiting.GPU), capacity.GPU))
	}
	required = max(required, pool.Apart+pool.unusableCount(), pool.servingRequired(capacity))
	if pool.IsShort || pool.HasUnplaced || pool.Waiting.CPU > 0 {
		// A waiting task may fit on no single host although the total capacity
		// suffices, but on an idle one.
		required = max(required, len(pool.Hosts)-pool.idleCount()+pool.requiredIdle())
	}
	return required
}

// servingRequired returns how many hosts of the given capacity a pool should have for its serving
// tasks, or 0 if it has none: as many usable ones as these are spread over, and another one for tasks
// that no host can take.
func (p *Pool) servingRequired(capacity tasks.Resources) int {
	required := 0
	if p.ServingHosts > 0 {
		required = min(max(p.Apart, hostsFor(p.Serving, capacity), 1), p.ServingHosts) + p.unavailableCount()
	}
	if p.HasUnplaced {
		required = max(required, len(p.Hosts)-p.idleCount()+p.requiredIdle()+p.Overdue)
	}
	return required
}

// hostsFor returns how many hosts of a capacity hold the given resources.
func hostsFor(resources, capacity tasks.Resources) int {
	hosts := int64(0)
	for _, r := range [][2]int64{{resources.CPU, capacity.CPU}, {resources.MemMB, capacity.MemMB}, {resources.GPU, capacity.GPU}} {
		if needed, available := r[0], r[1]; available > 0 {
			hosts = max(hosts, (needed+available-1)/available)
		}
	}
	return int(hosts)
}

// requiredIdle returns how many idle and incoming hosts a pool with tasks that need a host should
// have. If no idle host can take them, it should have another one, but not beyond maxUnsuited: the
// next may not be able to either.
func (p *Pool) requiredIdle() int {
	if !p.HasUnplaced {
		return 1
	}
	return min(p.idleCount()+max(1, p.Incoming-p.Overdue), maxUnsuited+1)
}

func expectedBacklog(backlog int64) int64 { return int64(backlogFraction * float64(backlog)) }

func hostsForDemand(demand, capacity int64) int {
	return int(math.Ceil(headroomFactor * float64(demand) / float64(capacity)))
}

// idleCount returns the number of idle hosts of the pool.
func (p *Pool) idleCount() int {
	count := 0
	for _, host := range p.Hosts {
		if host.Idle {
			count++
		}
	}
	return count
}

// unusableCount returns the number of unusable hosts of the pool.
func (p *Pool) unusableCount() int {
	count := 0
	for _, host := range p.Hosts {
		if host.Unusable {
			count++
		}
	}
	return count
}

// unavailableCount returns the number of hosts and incoming machines of the pool that serving tasks
// don't count on.
func (p *Pool) unavailableCount() int {
	count := p.Overdue
	for _, host := range p.Hosts {
		if host.Unusable || host.Overdue {
			count++
		}
	}
	return count
}

// poolState is the state of a pool during planning.
type poolState struct {
	Pool
	required int
	// servingRequired is the part of required for serving tasks.
	servingRequired int
	idleQueue       []Host
}

func (s *poolState) hostCount() int { return len(s.Hosts) + s.Incoming }
func (s *poolState) deficit() int   { return s.required - s.hostCount() }

// lacksServingHosts reports whether serving tasks of the pool lack a host.
func (s *poolState) lacksServingHosts() bool { return s.hostCount() < s.servingRequired }

// usableCount returns the number of hosts and incoming machines that serving tasks count on.
func (s *poolState) usableCount() int { return s.hostCount() - s.unavailableCount() }

// surplus returns how many idle hosts the pool can release.
func (s *poolState) surplus() int {
	if s.Standby {
		return len(s.idleQueue)
	}
	return min(len(s.idleQueue), s.hostCount()-s.required)
}

// Plan returns the moves of machines to pools that lack hosts, followed by the
// moves of unneeded machines to standby. It returns at most limit moves.
// Pools whose serving tasks lack a host come first, whatever others lack.
// Machines are taken from the pool with the largest surplus first, and from standby
// only if no other pool can release one.
func Plan(pools []Pool, limit int) []Move {
	states := newPoolStates(pools)
	var moves []Move
	for len(moves) < limit {
		recipient, donor := nextRecipient(states), bestDonor(states)
		if recipient == nil || donor == nil {
			break
		}
		moves = append(moves, donor.moveHost(recipient))
	}
	return append(moves, planStandby(states, limit-len(moves))...)
}

// planStandby returns the moves of unneeded idle hosts to standby.
func planStandby(states []*poolState, limit int) []Move {
	standby := slices.IndexFunc(states, func(s *poolState) bool { return s.Standby })
	if standby < 0 {
		return nil
	}
	var moves []Move
	for _, s := range states {
		for !s.Standby && len(moves) < limit && len(s.idleQueue) > 0 && s.hostCount() > max(s.required, s.KeepHosts) {
			moves = append(moves, s.moveHost(states[standby]))
		}
	}
	return moves
}

// moveHost moves an idle host of the pool to another pool.
func (s *poolState) moveHost(to *poolState) Move {
	host := s.idleQueue[0]
	s.idleQueue = s.idleQueue[1:]
	s.Hosts = slices.DeleteFunc(slices.Clone(s.Hosts), func(h Host) bool { return h.Machine == host.Machine })
	to.Incoming++
	return Move{Machine: host.Machine, From: s.Name, To: to.Name}
}

func newPoolStates(pools []Pool) []*poolState {
	capacity := MeanCapacity(pools)
	var states []*poolState
	for _, pool := range pools {
		s := &poolState{Pool: pool, required: RequiredHosts(pool, capacity), servingRequired: pool.servingRequired(capacity)}
		for _, host := range pool.Hosts {
			if host.Idle {
				s.idleQueue = append(s.idleQueue, host)
			}
		}
		slices.SortFunc(s.idleQueue, func(a, b Host) int {
			return cmp.Or(core.CompareBools(a.MaintenanceDue, b.MaintenanceDue), cmp.Compare(a.Machine, b.Machine))
		})
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *poolState) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// MeanCapacity returns the mean capacity of the hosts of pools.
func MeanCapacity(pools []Pool) tasks.Resources {
	var sum tasks.Resources
	var count int64
	for _, pool := range pools {
		for _, host := range pool.Hosts {
			sum = sum.Add(host.Capacity)
			count++
		}
	}
	if count == 0 {
		return tasks.Resources{}
	}
	return tasks.Resources{CPU: sum.CPU / count, MemMB: sum.MemMB / count, GPU: sum.GPU / count}
}

// nextRecipient returns the pool that gets the next machine, or nil if none lacks hosts.
func nextRecipient(states []*poolState) *poolState {
	var next *poolState
	for _, s := range states {
		if s.Standby || s.deficit() <= 0 {
			continue
		}
		if next == nil || goesBefore(s, next) {
			next = s
		}
	}
	return next
}

// goesBefore reports whether a pool that lacks hosts gets the next machine rather than another one:
// first those whose serving tasks lack a host, the one with the fewest usable hosts before the
// others, then the one that lacks the most hosts.
func goesBefore(s, other *poolState) bool {
	switch serving := s.lacksServingHosts(); {
	case serving != other.lacksServingHosts():
		return serving
	case serving && s.usableCount() != other.usableCount():
		return s.usableCount() < other.usableCount()
	default:
		return s.deficit() > other.deficit()
	}
}

// bestDonor returns the pool with the highest donorPriority, or nil if no pool
// can release a host.
func bestDonor(states []*poolState) *poolState {
	var donor *poolState
	for _, s := range states {
		if s.surplus() <= 0 {
			continue
		}
		if donor == nil || donorPriority(s) > donorPriority(donor) {
			donor = s
		}
	}
	return donor
}

// donorPriority ranks pools by surplus. Standby comes last because its machines
// cost nothing as long as they stay there.
func donorPriority(s *poolState) int {
	if s.Standby {
		return 0
	}
	return s.surplus()
}

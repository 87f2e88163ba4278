package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rattanpath/tasks"
)

// randomHosts returns hosts of one capacity, or of several.
func randomHosts(random *rand.Rand, count int, sameSize bool) []*Host {
	var hosts []*Host
	for i := range count {
		capacity := tasks.Resources{CPU: 32000, MemMB: 1000}
		if !sameSize {
			capacity.CPU = int64(random.IntN(4)) * 16000
		}
		h := &Host{ID: fmt.Sprintf("h%03d", i), Rack: fmt.Sprint("r", i%3), Capacity: capacity, Free: capacity}
		h.Free.CPU -= int64(random.IntN(40000))
		h.Free.MemMB -= int64(random.IntN(900))
		h.RecentFailures = max(0, random.IntN(6)-4)
		h.Slow = random.IntN(8) == 0
		h.NeedsProbe = h.Slow && random.IntN(2) == 0
		h.ServingTasks, h.BestEffortTasks = random.IntN(2), random.IntN(2)
		h.Reserved = random.IntN(20) == 0
		hosts = append(hosts, h)
	}
	return hosts
}

func randomRequirements(random *rand.Rand) Requirements {
	step := &tasks.Step{Room: tasks.Resources{CPU: int64(random.IntN(12000)), MemMB: int64(random.IntN(200))}}
	if random.IntN(3) == 0 {
		step.DataRack = "r1"
	}
	step.Lasting = random.IntN(5) == 0
	if random.IntN(5) == 0 {
		step.Fills = true
	}
	req := Requirements{Step: step, SiblingsByHost: map[string]int{"h001": 2}, MayProbe: random.IntN(2) == 0, Isolated: random.IntN(10) == 0, LastAttempt: random.IntN(10) == 0}
	if random.IntN(4) == 0 {
		req.AvoidHost = "h002"
	}
	return req
}

// Guards against candidates that overlook the best host, in any order of placements.
func TestCandidatesFindTheBestHost(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		hosts := randomHosts(random, 1+random.IntN(60), seed%2 == 0)
		candidates := NewCandidates(hosts)
		for range 80 {
			req := randomRequirements(random)
			want, got := Pick(req, hosts), candidates.Pick(req)
			if (want == nil) != (got == nil) {
				t.Fatalf("got host %v with seed %d, want %v", got, seed, want)
			}
			if want == nil {
				continue
			}
			if !Feasible(req, got) || Cost(req, got) != Cost(req, want) {
				t.Fatalf("got %s at cost %v with seed %d, want %s at cost %v", got.ID, Cost(req, got), seed, want.ID, Cost(req, want))
			}
			candidates.Place(got, req)
		}
	}
}

// Guards against a search whose work for one task grows with the hosts of the pool: an owner in a peak
// places thousands of tasks a second.
func TestSearchDoesNotGrowWithHosts(t *testing.T) {
	const placed = 500
	for _, count := range []int{100, 3200} {
		var hosts []*Host
		for i := range count {
			capacity := tasks.Resources{CPU: 32000, MemMB: 1 << 20}
			hosts = append(hosts, &Host{ID: fmt.Sprintf("h%05d", i), Capacity: capacity, Free: capacity})
		}
		candidates := NewCandidates(hosts)
		req := Requirements{Step: &tasks.Step{Room: tasks.Resources{CPU: 4500}}}
		for range placed {
			candidates.Place(candidates.Pick(req), req)
		}
		if got := float64(candidates.examined) / placed; got > 2 {
			t.Errorf("got %.1f hosts examined for a task with %d hosts, want at most 2", got, count)
		}
	}
}

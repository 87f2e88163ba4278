package shift

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"rattanpath/tasks"
)

const (
	testCPU = 1000
	testMem = 100
)

func testPool(name string, hosts, idle int) Pool {
	pool := Pool{Name: name, Least: 1}
	for i := range hosts {
		pool.Hosts = append(pool.Hosts, Host{Machine: fmt.Sprintf("%s%d", name, i), Idle: i < idle, Room: tasks.Resources{CPU: testCPU, MemMB: testMem}})
	}
	return pool
}

// naivePlan is the plain way: it makes one move after the other, each time from
// scratch.
func naivePlan(pools []Pool, limit int) []Move {
	var moves []Move
	for len(moves) < limit {
		next := Plan(pools, 1)
		if len(next) == 0 {
			return moves
		}
		moves = append(moves, next[0])
		for i := range pools {
			var kept []Host
			for _, host := range pools[i].Hosts {
				if host.Machine != next[0].Machine {
					kept = append(kept, host)
				}
			}
			pools[i].Hosts = kept
			if pools[i].Name == next[0].To {
				pools[i].Coming++
			}
		}
	}
	return moves
}

// TestPlan checks a few plans by hand.
func TestPlan(t *testing.T) {
	busy, quiet, spare := testPool("busy", 2, 0), testPool("quiet", 3, 2), testPool("spare", 2, 2)
	busy.Waiting = tasks.Resources{CPU: 6 * testCPU}
	spare.Standby = true
	want := []Move{{"quiet0", "quiet", "busy"}, {"quiet1", "quiet", "busy"}}
	got := Plan([]Pool{busy, quiet, spare}, 10)
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v: hosts that are paid for go before those that are off", got, want)
	}
	busy.Coming, quiet.Keep = 2, 3
	if got := Plan([]Pool{busy, quiet, spare}, 10); len(got) != 0 {
		t.Errorf("got %v while enough machines are on their way and the idle ones were wanted lately, want none", got)
	}
	quiet.Keep = 2
	want = []Move{{"quiet0", "quiet", "spare"}}
	if got := Plan([]Pool{busy, quiet, spare}, 10); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v: a host that nobody misses costs nothing in standby", got, want)
	}
}

// TestPlanKeepsPools checks for drawn pools that no pool gives a busy host, goes
// below what it wants, or gets more than it wants, and that planning all moves at
// once is like planning one after the other.
func TestPlanKeepsPools(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []Pool
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			hosts := rapid.IntRange(0, 6).Draw(t, "hosts")
			pool := testPool(fmt.Sprintf("p%d-", i), hosts, rapid.IntRange(0, hosts).Draw(t, "idle"))
			pool.Standby = rapid.IntRange(0, 4).Draw(t, "standby") == 0
			pool.Waiting = tasks.Resources{CPU: rapid.Int64Range(0, 8*testCPU).Draw(t, "waiting"), MemMB: rapid.Int64Range(0, 8*testMem).Draw(t, "waitingMem")}
			pool.Used = tasks.Resources{CPU: rapid.Int64Range(0, int64(hosts)*testCPU).Draw(t, "used"), MemMB: rapid.Int64Range(0, int64(hosts)*testMem).Draw(t, "usedMem")}
			pool.Keep = rapid.IntRange(0, 6).Draw(t, "keep")
			pool.Asked = rapid.Int64Range(0, 8*testCPU).Draw(t, "asked")
			pool.Soon = rapid.Int64Range(0, 8*testCPU).Draw(t, "soon")
			pool.Coming = rapid.IntRange(0, 2).Draw(t, "coming")
			pools = append(pools, pool)
		}
		moves := Plan(pools, 16)
		given, got, rested := make(map[string]int), make(map[string]int), make(map[string]bool)
		standby := make(map[string]bool)
		for _, pool := range pools {
			standby[pool.Name] = pool.Standby
		}
		for _, move := range moves {
			given[move.From]++
			got[move.To]++
			rested[move.From] = rested[move.From] || standby[move.To]
		}
		for _, pool := range pools {
			idle := 0
			for _, host := range pool.Hosts {
				if host.Idle {
					idle++
				}
			}
			have, want := len(pool.Hosts)+pool.Coming, Wants(pool, HostSize(pools))
			if given[pool.Name] > idle {
				t.Fatalf("got %d hosts given by %s, want at most its %d idle ones", given[pool.Name], pool.Name, idle)
			}
			if !pool.Standby && given[pool.Name] > 0 && have-given[pool.Name] < want {
				t.Fatalf("got %s left with %d hosts, want %d", pool.Name, have-given[pool.Name], want)
			}
			if rested[pool.Name] && have-given[pool.Name] < pool.Keep {
				t.Fatalf("got %s left with %d hosts for standby's sake, want it to keep %d", pool.Name, have-given[pool.Name], pool.Keep)
			}
			if !pool.Standby && got[pool.Name] > 0 && have+got[pool.Name] > want {
				t.Fatalf("got %s grown to %d hosts, want %d", pool.Name, have+got[pool.Name], want)
			}
		}
		if naive := naivePlan(pools, 16); len(naive) != len(moves) {
			t.Fatalf("got %v, want as many as %v", moves, naive)
		}
	})
}

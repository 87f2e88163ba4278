package alloc

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
	pool := Pool{Name: name, MinHosts: 1}
	for i := range hosts {
		pool.Hosts = append(pool.Hosts, Host{Machine: fmt.Sprintf("%s%d", name, i), Idle: i < idle, Capacity: tasks.Resources{CPU: testCPU, MemMB: testMem}})
	}
	return pool
}

// planOneByOne is a reference implementation that calls Plan anew for each
// move.
func planOneByOne(pools []Pool, limit int) []Move {
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
				pools[i].Incoming++
			}
		}
	}
	return moves
}

// TestPlan checks a few plans with known results.
func TestPlan(t *testing.T) {
	busy, quiet, spare := testPool("busy", 2, 0), testPool("quiet", 3, 2), testPool("spare", 2, 2)
	busy.Waiting = tasks.Resources{CPU: 6 * testCPU}
	spare.Standby = true
	want := []Move{{"quiet0", "quiet", "busy"}, {"quiet1", "quiet", "busy"}}
	got := Plan([]Pool{busy, quiet, spare}, 10)
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v: hosts that are running are used before those in standby", got, want)
	}
	busy.Incoming, quiet.KeepHosts = 2, 3
	if got := Plan([]Pool{busy, quiet, spare}, 10); len(got) != 0 {
		t.Errorf("got %v with enough machines incoming and the idle ones still to be kept, want none", got)
	}
	quiet.KeepHosts = 2
	want = []Move{{"quiet0", "quiet", "spare"}}
	if got := Plan([]Pool{busy, quiet, spare}, 10); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v: an unneeded host goes to standby, where it costs nothing", got, want)
	}
}

// TestPoolGrowsForTasksWithoutCPU guards against a full pool that gets no machine because its waiting
// tasks request no CPU: a GPU, memory, or nothing that is counted.
func TestPoolGrowsForTasksWithoutCPU(t *testing.T) {
	tests := map[string]struct {
		capacity      tasks.Resources
		used, waiting tasks.Resources
		isShort       bool
		want          int
	}{
		"GPUs":                      {tasks.Resources{CPU: testCPU, GPU: 4}, tasks.Resources{GPU: 8}, tasks.Resources{GPU: 16}, true, 3},
		"GPUs of hosts without CPU": {tasks.Resources{GPU: 4}, tasks.Resources{GPU: 8}, tasks.Resources{GPU: 16}, true, 3},
		"memory":                    {tasks.Resources{MemMB: testMem}, tasks.Resources{MemMB: 2 * testMem}, tasks.Resources{MemMB: 4 * testMem}, true, 3},
		"nothing":                   {tasks.Resources{CPU: testCPU}, tasks.Resources{}, tasks.Resources{}, true, 1},
		"no tasks":                  {tasks.Resources{CPU: testCPU}, tasks.Resources{}, tasks.Resources{}, false, 0},
	}
	for name, test := range tests {
		short, spare := testPool("short", 2, 0), testPool("spare", 8, 8)
		spare.Standby = true
		short.Used, short.Waiting, short.IsShort = test.used, test.waiting, test.isShort
		for _, pool := range []Pool{short, spare} {
			for i := range pool.Hosts {
				pool.Hosts[i].Capacity = test.capacity
			}
		}
		if got := len(Plan([]Pool{short, spare}, 10)); got != test.want {
			t.Errorf("%s: got %d machines moved, want %d", name, got, test.want)
		}
	}
}

// TestStepHasEnoughUsableHosts guards against a step whose tasks must run on different hosts and that
// has fewer hosts that take runs: those being vacated counted. It also guards against a machine moved
// for each host that is vacated, although the pool has spare ones.
func TestStepHasEnoughUsableHosts(t *testing.T) {
	const apart, spare = 5, 3
	tests := []struct{ unusable, incoming, want int }{
		{unusable: 0, want: 0},
		{unusable: spare, want: 0},
		{unusable: spare + 1, want: 1},
		{unusable: apart + spare, want: apart},
		{unusable: apart + spare, incoming: 2, want: apart - 2},
	}
	for _, test := range tests {
		vacated, standby := testPool("vacated", apart+spare, 0), testPool("standby", 8, 8)
		vacated.Apart, vacated.MinHosts, vacated.Incoming = apart, apart+spare, test.incoming
		standby.Standby = true
		for i := range test.unusable {
			vacated.Hosts[i].Unusable = true
		}
		if got := len(Plan([]Pool{vacated, standby}, 10)); got != test.want {
			t.Errorf("%d hosts unusable, %d incoming: got %d machines moved, want %d", test.unusable, test.incoming, got, test.want)
		}
	}
}

// TestShrunkenPoolGrows checks that a pool whose hosts have shrunk to a quarter, and are
// full, gets a machine for its waiting tasks: by the capacity of its machines it would
// have enough.
func TestShrunkenPoolGrows(t *testing.T) {
	shrunken, spare := testPool("shrunken", 4, 0), testPool("spare", 2, 2)
	shrunken.Used, shrunken.Waiting = tasks.Resources{CPU: testCPU}, tasks.Resources{CPU: testCPU / 10}
	shrunken.ForecastCPU = shrunken.Used.CPU + shrunken.Waiting.CPU
	spare.Standby = true
	want := []Move{{"spare0", "spare", "shrunken"}}
	if got := Plan([]Pool{shrunken, spare}, 10); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestPoolWithWaitingTasksKeepsIdleHost guards against a pool that gives its last idle host away while
// tasks wait, and gets a machine in its place: the tasks wait for two moves.
func TestPoolWithWaitingTasksKeepsIdleHost(t *testing.T) {
	for idle, want := range map[int]string{
		0: "[{spare0 spare waiting}]",
		1: "[]",
		2: "[{waiting0 waiting spare}]",
	} {
		waiting, spare := testPool("waiting", 4, idle), testPool("spare", 2, 2)
		waiting.Waiting = tasks.Resources{CPU: testCPU / 10}
		spare.Standby = true
		if got := fmt.Sprint(Plan([]Pool{waiting, spare}, 10)); got != want {
			t.Errorf("%d idle hosts: got moves %v, want %v", idle, got, want)
		}
	}
}

// TestPoolGrowsIfIdleHostsCannotTakeTask guards against a serving task that waits for ever, or that can't
// be stopped for maintenance, while hosts of its pool are idle, none of which can take it. It also guards
// against a pool that gets all machines for a task that none of them can take.
func TestPoolGrowsIfIdleHostsCannotTakeTask(t *testing.T) {
	for _, waits := range []bool{true, false} {
		for idle, want := range map[int]int{0: 1, 1: 1, 3: 1, 4: 0, 5: 0} {
			pool, spare := testPool("pool", 6, idle), testPool("spare", 8, 8)
			pool.IsShort, pool.HasUnplaced, pool.KeepHosts = waits, true, 6
			spare.Standby = true
			if got := len(Plan([]Pool{pool, spare}, 10)); got != want {
				t.Errorf("%d hosts idle, task waits %t: got %d machines moved, want %d", idle, waits, got, want)
			}
		}
	}
}

// TestPoolWithoutUsableHostGoesFirst guards against serving tasks without a run while all idle machines go
// to a pool that lacks more hosts, and against a pool that gets none since its hosts, which take no runs,
// make up its least number.
func TestPoolWithoutUsableHostGoesFirst(t *testing.T) {
	tests := []struct {
		name string
		// unusable and usable are the numbers of hosts of the pool, and apart is how many its
		// steps must be spread over.
		unusable, usable, apart, incoming int
		serving                           int
		unplaced                          bool
		// idle is the number of idle machines elsewhere, of which the pool gets want.
		idle, want int
	}{
		{name: "one idle machine", unusable: 6, apart: 3, serving: 6, idle: 1, want: 1},
		{name: "more idle machines than it needs", unusable: 6, apart: 3, serving: 6, idle: 5, want: 3},
		{name: "machine incoming", unusable: 6, apart: 3, incoming: 1, serving: 6, idle: 5, want: 2},
		{name: "not spread", unusable: 3, serving: 3, idle: 5, want: 1},
		{name: "no serving tasks", unusable: 6, apart: 3, idle: 5, want: 0},
		{name: "few serving tasks", unusable: 5, usable: 1, apart: 3, serving: 1, idle: 5, want: 0},
		{name: "enough usable hosts", unusable: 3, usable: 3, apart: 3, serving: 6, idle: 5, want: 0},
		{name: "full hosts", usable: 6, apart: 3, serving: 6, unplaced: true, idle: 5, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cut, busy, quiet := testPool("cut", test.unusable+test.usable, 0), testPool("busy", 3, 0), testPool("quiet", test.idle+1, test.idle)
			for i := range test.unusable {
				cut.Hosts[i].Unusable = true
			}
			cut.MinHosts, cut.Apart, cut.Incoming = test.apart+3, test.apart, test.incoming
			cut.ServingHosts, cut.HasUnplaced = test.serving, test.unplaced
			busy.IsShort, busy.Waiting = true, tasks.Resources{CPU: 100 * testCPU}
			got := make(map[string]int)
			for _, move := range Plan([]Pool{cut, busy, quiet}, 24) {
				got[move.To]++
			}
			if got["cut"] != test.want || got["busy"] != test.idle-test.want {
				t.Errorf("got %d machines moved to the pool and %d to the one that lacks more, want %d and %d", got["cut"], got["busy"], test.want, test.idle-test.want)
			}
		})
	}
}

// TestPoolsWithoutUsableHostShareMachines guards against one pool that gets all idle machines while the
// serving tasks of another one have no host at all.
func TestPoolsWithoutUsableHostShareMachines(t *testing.T) {
	wide, narrow, spare := testPool("a", 6, 0), testPool("b", 3, 0), testPool("spare", 3, 3)
	wide.Apart, wide.ServingHosts, narrow.ServingHosts = 6, 6, 3
	spare.Standby = true
	for _, pool := range []Pool{wide, narrow} {
		for i := range pool.Hosts {
			pool.Hosts[i].Unusable = true
		}
	}
	want := []Move{{"spare0", "spare", "a"}, {"spare1", "spare", "b"}, {"spare2", "spare", "a"}}
	if got := Plan([]Pool{wide, narrow, spare}, 24); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestServingTasksGetHostsByTheirSize guards against serving tasks that get one host, which can't hold all
// of them, in place of those that they can't use any more.
func TestServingTasksGetHostsByTheirSize(t *testing.T) {
	tests := []struct {
		name           string
		serving        tasks.Resources
		hosts, usable  int
		incoming, want int
	}{
		{name: "one host holds them", serving: tasks.Resources{CPU: testCPU, MemMB: testMem}, hosts: 6, want: 1},
		{name: "more memory", serving: tasks.Resources{CPU: testCPU, MemMB: testMem + 1}, hosts: 6, want: 2},
		{name: "more CPU", serving: tasks.Resources{CPU: 3 * testCPU, MemMB: testMem}, hosts: 6, want: 3},
		{name: "machine incoming", serving: tasks.Resources{CPU: 3 * testCPU}, hosts: 6, incoming: 2, want: 1},
		{name: "usable hosts", serving: tasks.Resources{CPU: 3 * testCPU}, hosts: 6, usable: 3, want: 0},
		{name: "no more hosts than now", serving: tasks.Resources{CPU: 9 * testCPU}, hosts: 2, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cut, busy, spare := testPool("cut", test.hosts+test.usable, 0), testPool("busy", 3, 0), testPool("spare", 6, 6)
			for i := range test.hosts {
				cut.Hosts[i].Unusable = true
			}
			cut.Serving, cut.ServingHosts, cut.Incoming = test.serving, test.hosts, test.incoming
			busy.IsShort, busy.Waiting = true, tasks.Resources{CPU: 100 * testCPU}
			spare.Standby = true
			got := 0
			for _, move := range Plan([]Pool{cut, busy, spare}, 24) {
				if move.To == "cut" {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d machines moved, want %d", got, test.want)
			}
		})
	}
}

// TestServingTasksDoNotCountOnOverdueHosts guards against serving tasks that wait while hosts that their
// owner should have reached by now make up for those that the pool requires, and against more machines
// than these tasks are spread over.
func TestServingTasksDoNotCountOnOverdueHosts(t *testing.T) {
	const apart, unplaced = 3, 6
	// Of the hosts of the pool, busy ones are overdue, and of its incoming machines, overdue ones.
	tests := []struct{ busy, incoming, overdue, want int }{
		{busy: 0, incoming: 6, overdue: 0, want: 0},
		{busy: 0, incoming: 6, overdue: 6, want: apart},
		{busy: 0, incoming: 6, overdue: 4, want: apart - 2},
		{busy: 3, incoming: 3, overdue: 3, want: apart},
		{busy: 6, incoming: 0, overdue: 0, want: apart},
		{busy: 6, incoming: apart, overdue: 0, want: 0},
	}
	for _, test := range tests {
		cut, spare := testPool("cut", test.busy, 0), testPool("spare", 9, 9)
		for i := range cut.Hosts {
			cut.Hosts[i].Overdue = true
		}
		cut.Apart, cut.Incoming, cut.Overdue = apart, test.incoming, test.overdue
		cut.HasUnplaced, cut.ServingHosts = true, unplaced
		spare.Standby = true
		if got := len(Plan([]Pool{cut, spare}, 24)); got != test.want {
			t.Errorf("%+v: got %d machines moved, want %d", test, got, test.want)
		}
	}
}

// TestPlanInvariants checks for generated pools that no pool releases a busy
// host, falls below its required hosts or the usable ones that a step must be spread
// over, or grows beyond the required ones, that none gets a host for anything else while
// serving tasks of another lack one, and that planning all moves at once yields
// as many moves as planning them one by one.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []Pool
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			hosts := rapid.IntRange(0, 6).Draw(t, "hosts")
			pool := testPool(fmt.Sprintf("p%d-", i), hosts, rapid.IntRange(0, hosts).Draw(t, "idle"))
			pool.Standby = rapid.IntRange(0, 4).Draw(t, "standby") == 0
			pool.Waiting = tasks.Resources{CPU: rapid.Int64Range(0, 8*testCPU).Draw(t, "waiting"), MemMB: rapid.Int64Range(0, 8*testMem).Draw(t, "waitingMem")}
			pool.Used = tasks.Resources{CPU: rapid.Int64Range(0, int64(hosts)*testCPU).Draw(t, "used"), MemMB: rapid.Int64Range(0, int64(hosts)*testMem).Draw(t, "usedMem")}
			pool.KeepHosts = rapid.IntRange(0, 6).Draw(t, "keepHosts")
			pool.ArrivalCPU = rapid.Int64Range(0, 8*testCPU).Draw(t, "arrivalCPU")
			pool.ForecastCPU = rapid.Int64Range(0, 8*testCPU).Draw(t, "forecastCPU")
			pool.HasUnplaced = rapid.Bool().Draw(t, "hasUnplaced")
			pool.ServingHosts = rapid.IntRange(0, 6).Draw(t, "servingHosts")
			pool.Serving = tasks.Resources{CPU: rapid.Int64Range(0, 6*testCPU).Draw(t, "serving"), MemMB: rapid.Int64Range(0, 6*testMem).Draw(t, "servingMem")}
			pool.Incoming = rapid.IntRange(0, 2).Draw(t, "incoming")
			pool.Overdue = rapid.IntRange(0, pool.Incoming).Draw(t, "overdue")
			pool.Apart = rapid.IntRange(0, 6).Draw(t, "apart")
			for i := range pool.Hosts {
				pool.Hosts[i].Unusable = !pool.Hosts[i].Idle && rapid.Bool().Draw(t, "unusable")
				pool.Hosts[i].Overdue = !pool.Hosts[i].Idle && rapid.Bool().Draw(t, "hostOverdue")
			}
			pools = append(pools, pool)
		}
		moves := Plan(pools, 16)
		taken, received, movedToStandby := make(map[string]int), make(map[string]int), make(map[string]bool)
		standby := make(map[string]bool)
		for _, pool := range pools {
			standby[pool.Name] = pool.Standby
		}
		for _, move := range moves {
			taken[move.From]++
			received[move.To]++
			movedToStandby[move.From] = movedToStandby[move.From] || standby[move.To]
		}
		for _, pool := range pools {
			idle, usable := 0, 0
			for _, host := range pool.Hosts {
				if host.Idle {
					idle++
				}
				if !host.Unusable {
					usable++
				}
			}
			have, want := len(pool.Hosts)+pool.Incoming, RequiredHosts(pool, MeanCapacity(pools))
			if taken[pool.Name] > idle {
				t.Fatalf("got %d hosts taken from %s, want at most its %d idle ones", taken[pool.Name], pool.Name, idle)
			}
			if !pool.Standby && taken[pool.Name] > 0 && have-taken[pool.Name] < want {
				t.Fatalf("got %s reduced to %d hosts, want at least %d", pool.Name, have-taken[pool.Name], want)
			}
			if left := usable + pool.Incoming - taken[pool.Name]; !pool.Standby && taken[pool.Name] > 0 && left < pool.Apart {
				t.Fatalf("got %s reduced to %d hosts that take runs or are incoming, want at least %d", pool.Name, left, pool.Apart)
			}
			if movedToStandby[pool.Name] && have-taken[pool.Name] < pool.KeepHosts {
				t.Fatalf("got %s reduced to %d hosts by moves to standby, want at least %d", pool.Name, have-taken[pool.Name], pool.KeepHosts)
			}
			if !pool.Standby && received[pool.Name] > 0 && have+received[pool.Name] > want {
				t.Fatalf("got %s grown to %d hosts, want at most %d", pool.Name, have+received[pool.Name], want)
			}
		}
		lacking, capacity := "", MeanCapacity(pools)
		for _, pool := range pools {
			if !pool.Standby && len(pool.Hosts)+pool.Incoming+received[pool.Name]-taken[pool.Name] < pool.servingRequired(capacity) {
				lacking = pool.Name
			}
		}
		for _, pool := range pools {
			most := max(0, pool.servingRequired(capacity)-len(pool.Hosts)-pool.Incoming)
			if lacking != "" && !pool.Standby && received[pool.Name] > most {
				t.Fatalf("got %d hosts moved to %s while serving tasks of %s lack one, want at most %d", received[pool.Name], pool.Name, lacking, most)
			}
		}
		if oneByOne := planOneByOne(pools, 16); len(oneByOne) != len(moves) {
			t.Fatalf("got %v, want as many moves as when planned one by one: %v", moves, oneByOne)
		}
	})
}

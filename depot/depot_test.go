package depot

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/cell"
	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/tasks"
)

const (
	testLease  = 3 * time.Second
	testMove   = 1500 * time.Millisecond
	testUpkeep = 2 * time.Second
	testHosts  = 16
)

var errAway = errors.New("no answer")

// yard is a stand-in for the cloud and the owners of two pools. It notes what
// must not happen to machines.
type yard struct {
	t  *testing.T
	mu sync.Mutex
	// machines are those of all pools, and ready when one is up again.
	machines map[string]*Machine
	ready    map[string]time.Time
	// last is who ordered a machine last, and when.
	last   map[string]Order
	lastAt map[string]time.Time
	moves  int
	// waiting is what each pool waits for, and nodes the depots by address.
	waiting map[string]int64
	nodes   map[string]*Depot
	cut     map[string]bool
	wave    *queue.Wave
	down    int
	// delay is how long orders of the first node are under way.
	delay time.Duration
}

func newYard(t *testing.T) *yard {
	y := &yard{
		t: t, machines: make(map[string]*Machine), ready: make(map[string]time.Time),
		last: make(map[string]Order), lastAt: make(map[string]time.Time),
		waiting: make(map[string]int64), nodes: make(map[string]*Depot), cut: make(map[string]bool),
	}
	for i := range testHosts {
		name := fmt.Sprintf("m%d", i)
		y.machines[name] = &Machine{Name: name, Pool: "east", Room: tasks.Resources{CPU: 1000, MemMB: 1000}, Host: "h-" + name}
	}
	return y
}

func (y *yard) Table() *queue.Table {
	return queue.NewTable(1, nil, []queue.Service{{Name: "east"}, {Name: "west"}}, queue.Limits{})
}

func (y *yard) Waves() map[int64]*queue.Wave {
	if y.wave == nil {
		return nil
	}
	return map[int64]*queue.Wave{y.wave.Number: y.wave}
}

func (y *yard) Machines(context.Context) ([]Machine, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	var machines []Machine
	for name, m := range y.machines {
		listed := *m
		if time.Now().Before(y.ready[name]) {
			listed.Host = ""
		} else {
			listed.State = Up
		}
		machines = append(machines, listed)
	}
	return machines, nil
}

// order takes an order in and checks who gave the last one.
func (y *yard) order(order Order, length time.Duration) Verdict {
	before, known := y.last[order.Machine]
	since := time.Since(y.lastAt[order.Machine])
	if known && before.Holder != order.Holder && since < testLease {
		y.t.Errorf("got %s ordered by %s %v after %s, want at least %v", order.Machine, order.Holder, since, before.Holder, testLease)
	}
	if known && order.Token < before.Token {
		y.t.Errorf("got token %d after %d for %s", order.Token, before.Token, order.Machine)
	}
	if time.Now().Before(y.ready[order.Machine]) {
		return Busy
	}
	y.last[order.Machine], y.lastAt[order.Machine] = order, time.Now()
	y.ready[order.Machine] = time.Now().Add(length)
	y.moves++
	return Accepted
}

// travel spends the time of an order on its way.
func (y *yard) travel(order Order) {
	time.Sleep(5 * time.Millisecond)
	if order.Holder == "first" {
		time.Sleep(y.delay)
	}
}

func (y *yard) Move(_ context.Context, order Order, pool string) (Verdict, error) {
	y.travel(order)
	y.mu.Lock()
	defer y.mu.Unlock()
	verdict := y.order(order, testMove)
	if verdict == Accepted {
		y.machines[order.Machine].Pool = pool
		y.machines[order.Machine].State = Moving
	}
	return verdict, nil
}

func (y *yard) Upkeep(_ context.Context, order Order, wave int64) (Verdict, error) {
	y.travel(order)
	y.mu.Lock()
	defer y.mu.Unlock()
	verdict := y.order(order, testUpkeep)
	if verdict != Accepted {
		return verdict, nil
	}
	y.machines[order.Machine].State = Upkeep
	y.down++
	if y.down > y.wave.Cap {
		y.t.Errorf("got %d machines of wave %d down at once, want at most %d", y.down, wave, y.wave.Cap)
	}
	time.AfterFunc(testUpkeep, func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		y.down--
	})
	return Accepted, nil
}

// Report returns how a pool stands: its hosts are idle.
func (y *yard) Report(_ context.Context, service string) (cell.Report, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	report := cell.Report{Service: service, Epoch: 1, Waiting: tasks.Resources{CPU: y.waiting[service]}}
	for name, m := range y.machines {
		if m.Pool == service && !time.Now().Before(y.ready[name]) {
			report.Hosts = append(report.Hosts, cell.HostReport{ID: m.Host, Room: m.Room, Usable: true})
		}
	}
	return report, nil
}

func (y *yard) Cordon(_ context.Context, _ string, hosts []string, _ time.Duration, _ bool) ([]cell.HostReport, error) {
	var reports []cell.HostReport
	for _, id := range hosts {
		reports = append(reports, cell.HostReport{ID: id, Usable: true, Cordoned: true})
	}
	return reports, nil
}

func (y *yard) Retire(context.Context, string, []string) error { return nil }

// Resign asks another depot, unless it is cut off.
func (y *yard) Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error) {
	y.mu.Lock()
	cut, depot := y.cut[address], y.nodes[address]
	y.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errAway
	}
	return depot.Resign(epoch), nil
}

// cutOff keeps other nodes from asking one to resign.
func (y *yard) cutOff(address string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.cut[address] = true
}

// want makes a pool wait for the room of a number of hosts, and others for none.
func (y *yard) want(service string, hosts int64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	clear(y.waiting)
	// What grows from nothing counts twice.
	y.waiting[service] = 500 * hosts
}

// moved returns how many orders were carried out.
func (y *yard) moved() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.moves
}

// post is a node that may hold the depot.
type post struct {
	holds atomic.Bool
	stop  context.CancelFunc
}

func (y *yard) start(ctx context.Context, s *fake.Store, name string) *post {
	p := &post{}
	begun := time.Now()
	d := New(Options{
		Node: name, Address: name, Cloud: y, Cells: y, Holders: y, Tables: y,
		Journal: s.Client(name),
		Clock:   func() time.Duration { return time.Since(begun) },
		Holds:   p.holds.Load,
		WaveStatus: func(number int64, completed bool) (string, []byte, error) {
			return fmt.Sprint(number), []byte(fmt.Sprint(completed)), nil
		},
		StatusTopic: "status", HolderLease: testLease, MoveTime: testMove, UpkeepTime: testUpkeep,
		Logger: logr.Discard(), Set: metrics.NewSet(),
	})
	y.mu.Lock()
	y.nodes[name] = d
	y.mu.Unlock()
	ctx, p.stop = context.WithCancel(ctx)
	go d.Run(ctx)
	return p
}

// TestHoldersInTurn lets the depot go from one node to another just after the
// first has moved machines: the second leaves just these alone, and for as long
// as two holders may not take turns.
func TestHoldersInTurn(t *testing.T) {
	tests := []struct {
		name string
		// leave takes the depot from the first node.
		leave func(y *yard, s *fake.Store, first *post)
		// others is when machines that the first didn't order must have moved, and
		// ordered when those that it did.
		others, ordered time.Duration
	}{
		{"given up", func(_ *yard, _ *fake.Store, first *post) { first.holds.Store(false) }, time.Second, 4500 * time.Millisecond},
		{"store lost", func(_ *yard, s *fake.Store, _ *post) { s.Fail("first", fake.Silent) }, time.Second, 4 * time.Second},
		{"cut off", func(y *yard, s *fake.Store, _ *post) {
			s.Fail("first", fake.Silent)
			y.cutOff("first")
		}, 2 * time.Second, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				y, s := newYard(t), fake.NewStore()
				first, second := y.start(ctx, s, "first"), y.start(ctx, s, "second")
				first.holds.Store(true)
				time.Sleep(time.Second)
				y.want("west", 2)
				time.Sleep(time.Second)
				before := y.moved()
				if before < 2 || before > 6 {
					t.Fatalf("got %d machines moved to a pool that waits for 2 hosts, want these and some headroom", before)
				}
				test.leave(y, s, first)
				y.want("west", 8)
				second.holds.Store(true)
				time.Sleep(test.others)
				if got := y.moved(); got <= before {
					t.Errorf("got %d orders %v after the depot changed hands, want more than the %d of the first holder", got, test.others, before)
				}
				y.want("east", 2*testHosts)
				time.Sleep(test.ordered - test.others)
				if got := y.poolOf("east"); got != testHosts-spareHosts {
					t.Errorf("got %d machines in the pool that waits %v after the depot changed hands, want %d: those back too that the first had moved", got, test.ordered, testHosts-spareHosts)
				}
				cancel()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// poolOf returns how many machines are in a pool or on their way there.
func (y *yard) poolOf(service string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	count := 0
	for _, m := range y.machines {
		if m.Pool == service {
			count++
		}
	}
	return count
}

// TestWaveAcrossHolders changes the holder at every moment of a wave: no more
// machines than its cap are down at once, and it is done.
func TestWaveAcrossHolders(t *testing.T) {
	for offset := time.Duration(0); offset < 3*time.Second; offset += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			y, s := newYard(t), fake.NewStore()
			y.delay = 400 * time.Millisecond
			y.wave = &queue.Wave{Number: 1, Machines: []string{"m0", "m1", "m2", "m3"}, Within: 20 * time.Second, Cap: 2}
			first, second := y.start(ctx, s, "first"), y.start(ctx, s, "second")
			first.holds.Store(true)
			time.Sleep(500*time.Millisecond + offset)
			s.Fail("first", fake.Silent)
			y.cutOff("first")
			second.holds.Store(true)
			time.Sleep(20 * time.Second)
			if got := y.moved(); got < 4 {
				t.Errorf("got %d machines through their upkeep, want 4", got)
			}
			cancel()
			time.Sleep(3 * time.Second)
		})
	}
}

// TestResignStopsOrders takes the depot from a node in the midst of slow orders:
// once it has resigned, it gives none of those that are left.
func TestResignStopsOrders(t *testing.T) {
	for offset := time.Duration(0); offset < 800*time.Millisecond; offset += 40 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			y, s := newYard(t), fake.NewStore()
			y.delay = 300 * time.Millisecond
			first, second := y.start(ctx, s, "first"), y.start(ctx, s, "second")
			first.holds.Store(true)
			time.Sleep(time.Second)
			y.want("west", 3*testHosts)
			time.Sleep(offset)
			s.Fail("first", fake.Silent)
			second.holds.Store(true)
			time.Sleep(time.Second)
			y.want("east", 3*testHosts)
			time.Sleep(6 * time.Second)
			if got := y.moved(); got < testHosts {
				t.Errorf("got %d orders, want machines moved there and back", got)
			}
			cancel()
			time.Sleep(3 * time.Second)
		})
	}
}

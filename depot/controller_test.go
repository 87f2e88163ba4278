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
	testLease               = 3 * time.Second
	testMoveDuration        = 1500 * time.Millisecond
	testMaintenanceDuration = 2 * time.Second
	testMachines            = 16
)

var errUnreachable = errors.New("no answer")

// fakeFleet is a stand-in for the cloud and the owners of two pools. It notes what
// must not happen to machines.
type fakeFleet struct {
	t  *testing.T
	mu sync.Mutex
	// machines are those of all pools, and ready when one is up again.
	machines map[string]*Machine
	readyAt  map[string]time.Time
	// lastOrder is who ordered a machine last, and when.
	lastOrder   map[string]Order
	lastOrderAt map[string]time.Time
	accepted    int
	// waiting is what each pool waits for, and nodes the depots by address.
	waiting     map[string]int64
	controllers map[string]*Controller
	unreachable map[string]bool
	wave        *queue.Wave
	down        int
	// firstOrderDelay is how long orders of the first node are under way.
	firstOrderDelay time.Duration
}

func newFakeFleet(t *testing.T) *fakeFleet {
	y := &fakeFleet{
		t: t, machines: make(map[string]*Machine), readyAt: make(map[string]time.Time),
		lastOrder: make(map[string]Order), lastOrderAt: make(map[string]time.Time),
		waiting: make(map[string]int64), controllers: make(map[string]*Controller), unreachable: make(map[string]bool),
	}
	for i := range testMachines {
		name := fmt.Sprintf("m%d", i)
		y.machines[name] = &Machine{Name: name, Pool: "east", Capacity: tasks.Room{CPU: 1000, MemMB: 1000}, Host: "h-" + name}
	}
	return y
}

func (y *fakeFleet) Config() *queue.Config {
	return queue.NewConfig(1, nil, []queue.Service{{Name: "east"}, {Name: "west"}}, queue.Limits{})
}

func (y *fakeFleet) Waves() map[int64]*queue.Wave {
	if y.wave == nil {
		return nil
	}
	return map[int64]*queue.Wave{y.wave.Number: y.wave}
}

func (y *fakeFleet) Machines(context.Context) ([]Machine, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	var machines []Machine
	for name, m := range y.machines {
		listed := *m
		if time.Now().Before(y.readyAt[name]) {
			listed.Host = ""
		} else {
			listed.State = Up
		}
		machines = append(machines, listed)
	}
	return machines, nil
}

// recordOrder takes an order in and checks who gave the last one.
func (y *fakeFleet) recordOrder(order Order, length time.Duration) OrderResult {
	before, known := y.lastOrder[order.Machine]
	since := time.Since(y.lastOrderAt[order.Machine])
	if known && before.Leader != order.Leader && since < testLease {
		y.t.Errorf("got %s ordered by %s %v after %s, want at least %v", order.Machine, order.Leader, since, before.Leader, testLease)
	}
	if known && order.Token < before.Token {
		y.t.Errorf("got token %d after %d for %s", order.Token, before.Token, order.Machine)
	}
	if time.Now().Before(y.readyAt[order.Machine]) {
		return Busy
	}
	y.lastOrder[order.Machine], y.lastOrderAt[order.Machine] = order, time.Now()
	y.readyAt[order.Machine] = time.Now().Add(length)
	y.accepted++
	return Accepted
}

// delayOrder spends the time of an order on its way.
func (y *fakeFleet) delayOrder(order Order) {
	time.Sleep(5 * time.Millisecond)
	if order.Leader == "first" {
		time.Sleep(y.firstOrderDelay)
	}
}

func (y *fakeFleet) Move(_ context.Context, order Order, pool string) (OrderResult, error) {
	y.delayOrder(order)
	y.mu.Lock()
	defer y.mu.Unlock()
	verdict := y.recordOrder(order, testMoveDuration)
	if verdict == Accepted {
		y.machines[order.Machine].Pool = pool
		y.machines[order.Machine].State = Moving
	}
	return verdict, nil
}

func (y *fakeFleet) Maintain(_ context.Context, order Order, wave int64) (OrderResult, error) {
	y.delayOrder(order)
	y.mu.Lock()
	defer y.mu.Unlock()
	verdict := y.recordOrder(order, testMaintenanceDuration)
	if verdict != Accepted {
		return verdict, nil
	}
	y.machines[order.Machine].State = Maintenance
	y.down++
	if y.down > y.wave.MaxDown {
		y.t.Errorf("got %d machines of wave %d down at once, want at most %d", y.down, wave, y.wave.MaxDown)
	}
	time.AfterFunc(testMaintenanceDuration, func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		y.down--
	})
	return Accepted, nil
}

// Report returns how a pool stands: its hosts are idle.
func (y *fakeFleet) Report(_ context.Context, service string) (cell.Report, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	report := cell.Report{Service: service, Epoch: 1, Waiting: tasks.Room{CPU: y.waiting[service]}}
	for name, m := range y.machines {
		if m.Pool == service && !time.Now().Before(y.readyAt[name]) {
			report.Hosts = append(report.Hosts, cell.HostReport{ID: m.Host, Room: m.Capacity, Usable: true})
		}
	}
	return report, nil
}

func (y *fakeFleet) Cordon(_ context.Context, _ string, hosts []string, _ time.Duration, _ bool) ([]cell.HostReport, error) {
	var reports []cell.HostReport
	for _, id := range hosts {
		reports = append(reports, cell.HostReport{ID: id, Usable: true, Cordoned: true})
	}
	return reports, nil
}

func (y *fakeFleet) Retire(context.Context, string, []string) error { return nil }

// Resign asks another depot, unless it is cut off.
func (y *fakeFleet) Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error) {
	y.mu.Lock()
	cut, depot := y.unreachable[address], y.controllers[address]
	y.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return depot.Resign(epoch), nil
}

// blockResign keeps other nodes from asking one to resign.
func (y *fakeFleet) blockResign(address string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.unreachable[address] = true
}

// setWaiting makes a pool wait for the room of a number of hosts, and others for none.
func (y *fakeFleet) setWaiting(service string, hosts int64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	clear(y.waiting)
	// What grows from nothing counts twice.
	y.waiting[service] = 500 * hosts
}

// acceptedOrders returns how many orders were carried out.
func (y *fakeFleet) acceptedOrders() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.accepted
}

// testNode is a node that may hold the depot.
type testNode struct {
	isLeader atomic.Bool
	stop     context.CancelFunc
}

func (y *fakeFleet) start(ctx context.Context, s *fake.Store, name string) *testNode {
	p := &testNode{}
	begun := time.Now()
	d := New(Options{
		Node: name, Address: name, Cloud: y, Cells: y, Leaders: y, Config: y,
		Journal:  s.Client(name),
		Clock:    func() time.Duration { return time.Since(begun) },
		IsLeader: p.isLeader.Load,
		WaveStatus: func(number int64, completed bool) (string, []byte, error) {
			return fmt.Sprint(number), []byte(fmt.Sprint(completed)), nil
		},
		StatusTopic: "status", MachineLease: testLease, MoveDuration: testMoveDuration, MaintenanceDuration: testMaintenanceDuration,
		Logger: logr.Discard(), Metrics: metrics.NewSet(),
	})
	y.mu.Lock()
	y.controllers[name] = d
	y.mu.Unlock()
	ctx, p.stop = context.WithCancel(ctx)
	go d.Run(ctx)
	return p
}

// TestLeaderHandover lets the depot go from one node to another just after the
// first has moved machines: the second leaves just these alone, and for as long
// as two holders may not take turns.
func TestLeaderHandover(t *testing.T) {
	tests := []struct {
		name string
		// leave takes the depot from the first node.
		leave func(y *fakeFleet, s *fake.Store, first *testNode)
		// others is when machines that the first didn't order must have moved, and
		// ordered when those that it did.
		others, ordered time.Duration
	}{
		{"given up", func(_ *fakeFleet, _ *fake.Store, first *testNode) { first.isLeader.Store(false) }, time.Second, 4500 * time.Millisecond},
		{"store lost", func(_ *fakeFleet, s *fake.Store, _ *testNode) { s.Fail("first", fake.Silent) }, time.Second, 4 * time.Second},
		{"cut off", func(y *fakeFleet, s *fake.Store, _ *testNode) {
			s.Fail("first", fake.Silent)
			y.blockResign("first")
		}, 2 * time.Second, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				y, s := newFakeFleet(t), fake.NewStore()
				first, second := y.start(ctx, s, "first"), y.start(ctx, s, "second")
				first.isLeader.Store(true)
				time.Sleep(time.Second)
				y.setWaiting("west", 2)
				time.Sleep(time.Second)
				before := y.acceptedOrders()
				if before < 2 || before > 6 {
					t.Fatalf("got %d machines moved to a pool that waits for 2 hosts, want these and some headroom", before)
				}
				test.leave(y, s, first)
				y.setWaiting("west", 8)
				second.isLeader.Store(true)
				time.Sleep(test.others)
				if got := y.acceptedOrders(); got <= before {
					t.Errorf("got %d orders %v after the depot changed hands, want more than the %d of the first holder", got, test.others, before)
				}
				y.setWaiting("east", 2*testMachines)
				time.Sleep(test.ordered - test.others)
				if got := y.poolSize("east"); got != testMachines-spareHosts {
					t.Errorf("got %d machines in the pool that waits %v after the depot changed hands, want %d: those back too that the first had moved", got, test.ordered, testMachines-spareHosts)
				}
				cancel()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// poolSize returns how many machines are in a pool or on their way there.
func (y *fakeFleet) poolSize(service string) int {
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

// TestWaveAcrossLeaders changes the holder at every moment of a wave: no more
// machines than its cap are down at once, and it is done.
func TestWaveAcrossLeaders(t *testing.T) {
	for offset := time.Duration(0); offset < 3*time.Second; offset += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			y, s := newFakeFleet(t), fake.NewStore()
			y.firstOrderDelay = 400 * time.Millisecond
			y.wave = &queue.Wave{Number: 1, Machines: []string{"m0", "m1", "m2", "m3"}, Duration: 20 * time.Second, MaxDown: 2}
			first, second := y.start(ctx, s, "first"), y.start(ctx, s, "second")
			first.isLeader.Store(true)
			time.Sleep(500*time.Millisecond + offset)
			s.Fail("first", fake.Silent)
			y.blockResign("first")
			second.isLeader.Store(true)
			time.Sleep(20 * time.Second)
			if got := y.acceptedOrders(); got < 4 {
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
			y, s := newFakeFleet(t), fake.NewStore()
			y.firstOrderDelay = 300 * time.Millisecond
			first, second := y.start(ctx, s, "first"), y.start(ctx, s, "second")
			first.isLeader.Store(true)
			time.Sleep(time.Second)
			y.setWaiting("west", 3*testMachines)
			time.Sleep(offset)
			s.Fail("first", fake.Silent)
			second.isLeader.Store(true)
			time.Sleep(time.Second)
			y.setWaiting("east", 3*testMachines)
			time.Sleep(6 * time.Second)
			if got := y.acceptedOrders(); got < testMachines {
				t.Errorf("got %d orders, want machines moved there and back", got)
			}
			cancel()
			time.Sleep(3 * time.Second)
		})
	}
}

package infra

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

const (
	testLease               = 3 * time.Second
	testHostLease           = 6 * time.Second
	testMoveDuration        = 1500 * time.Millisecond
	testMaintenanceDuration = 2 * time.Second
	testMachines            = 16
	testIncarnation         = 7
)

var errUnreachable = errors.New("node unreachable")

// fakeFleet implements the cloud and the owners of two pools. It fails the test
// on orders that must not be sent.
type fakeFleet struct {
	t  *testing.T
	mu sync.Mutex
	// machines are the machines of all pools by name, and readyAt is when each
	// is up again.
	machines map[string]*Machine
	readyAt  map[string]time.Time
	// lastOrder is the last accepted order of each machine, and lastOrderAt its
	// time.
	lastOrder     map[string]Order
	lastOrderAt   map[string]time.Time
	acceptedCount int
	// waiting is the processor time that each pool waits for, in thousandths of
	// a core. controllers and unreachable are keyed by address.
	waiting     map[string]int64
	controllers map[string]*Controller
	unreachable map[string]bool
	wave        *queue.Wave
	down        int
	// firstOrderDelay is how long the orders of the first node are delayed.
	firstOrderDelay time.Duration
	// maintained holds the machines that have had their maintenance, and answersToLose is
	// how many more orders for maintenance are accepted without a response.
	maintained    map[string]bool
	answersToLose int
	// maintenanceOrders counts the orders for the maintenance of each machine.
	maintenanceOrders map[string]int
	// odd holds the names of the machines that are listed in an unknown state.
	odd map[string]bool
	// unreported holds the hosts that the owners of pools don't know.
	unreported map[string]bool
	// refused holds the results of moves of machines that are refused, and standby makes the pool
	// east a standby pool, in which no machine has a host.
	refused map[string]OrderResult
	standby bool
	// refusedOrders counts the orders that were refused because of refused.
	refusedOrders int
	// retired holds the hosts that were reported to the owners of pools as gone.
	retired []sched.RetiredHost
	// endsPending is what the owners say of all hosts, and epoch what they report.
	// retireFailures is how many more reports of departed hosts fail.
	endsPending    bool
	epoch          int64
	retireFailures int
	// running is what the owner of east reports of hosts with runs, whatever the cloud lists,
	// beside the idle hosts.
	running []sched.HostReport
}

func newFakeFleet(t *testing.T) *fakeFleet {
	f := &fakeFleet{
		t: t, machines: make(map[string]*Machine), readyAt: make(map[string]time.Time),
		lastOrder: make(map[string]Order), lastOrderAt: make(map[string]time.Time),
		waiting: make(map[string]int64), controllers: make(map[string]*Controller), unreachable: make(map[string]bool),
		maintained: make(map[string]bool), maintenanceOrders: make(map[string]int), epoch: 1,
	}
	for i := range testMachines {
		name := fmt.Sprintf("m%d", i)
		f.machines[name] = &Machine{Name: name, Pool: "east", Capacity: tasks.Resources{CPU: 1000, MemMB: 1000}, Host: "h-" + name}
	}
	return f
}

func (f *fakeFleet) Config() *queue.Config {
	return queue.NewConfig(1, nil, []queue.Service{{Name: "east", Standby: f.standby}, {Name: "west"}}, queue.Limits{})
}

func (f *fakeFleet) Waves() map[int64]*queue.Wave {
	if f.wave == nil {
		return nil
	}
	return map[int64]*queue.Wave{f.wave.Number: f.wave}
}

func (f *fakeFleet) Machines(context.Context) ([]Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var machines []Machine
	for name, m := range f.machines {
		listed := *m
		if time.Now().Before(f.readyAt[name]) {
			listed.Host = ""
		} else if m.State != Down {
			listed.State = Up
		}
		if f.standby && m.Pool == "east" {
			listed.Host = ""
		}
		if f.odd[name] {
			listed = Machine{Name: name, State: Unknown}
		}
		machines = append(machines, listed)
	}
	return machines, nil
}

// recordOrder accepts an order unless the machine is busy. It fails the test if
// another leader sent an order for the machine within the lease or if the token
// is lower than the last one.
func (f *fakeFleet) recordOrder(order Order, duration time.Duration) OrderResult {
	last, ordered := f.lastOrder[order.Machine]
	elapsed := time.Since(f.lastOrderAt[order.Machine])
	if ordered && last.Leader != order.Leader && elapsed < testLease {
		f.t.Errorf("got %s ordered by %s %v after %s, want at least %v between leaders", order.Machine, order.Leader, elapsed, last.Leader, testLease)
	}
	if ordered && order.Token < last.Token {
		f.t.Errorf("got token %d for %s, want at least %d", order.Token, order.Machine, last.Token)
	}
	if time.Now().Before(f.readyAt[order.Machine]) {
		return Busy
	}
	f.lastOrder[order.Machine], f.lastOrderAt[order.Machine] = order, time.Now()
	f.readyAt[order.Machine] = time.Now().Add(duration)
	f.acceptedCount++
	return Accepted
}

// delayOrder sleeps for the transit time of an order.
func (f *fakeFleet) delayOrder(order Order) {
	time.Sleep(5 * time.Millisecond)
	if order.Leader == "first" {
		time.Sleep(f.firstOrderDelay)
	}
}

func (f *fakeFleet) Move(_ context.Context, order Order, pool string) (OrderResult, error) {
	f.delayOrder(order)
	f.mu.Lock()
	defer f.mu.Unlock()
	if result, refused := f.refused[order.Machine]; refused {
		f.refusedOrders++
		return result, nil
	}
	result := f.recordOrder(order, testMoveDuration)
	if result == Accepted {
		f.machines[order.Machine].Pool = pool
		f.machines[order.Machine].State = Moving
	}
	return result, nil
}

func (f *fakeFleet) Maintain(_ context.Context, order Order, wave int64) (OrderResult, error) {
	f.delayOrder(order)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maintenanceOrders[order.Machine]++
	if f.maintained[order.Machine] {
		return Accepted, nil
	}
	result := f.recordOrder(order, testMaintenanceDuration)
	if result != Accepted {
		return result, nil
	}
	f.maintained[order.Machine] = true
	f.machines[order.Machine].State = Maintenance
	f.down++
	if f.down > f.wave.MaxDown {
		f.t.Errorf("got %d machines of wave %d down at once, want at most %d", f.down, wave, f.wave.MaxDown)
	}
	time.AfterFunc(testMaintenanceDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.down--
	})
	if f.answersToLose > 0 {
		f.answersToLose--
		return Accepted, errUnreachable
	}
	return Accepted, nil
}

// Report returns a report in which all hosts of the pool are idle.
func (f *fakeFleet) Report(_ context.Context, service string) (sched.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := sched.Report{Service: service, Epoch: f.epoch, Waiting: tasks.Resources{CPU: f.waiting[service]}}
	if service == "east" {
		report.Hosts = slices.Clone(f.running)
	}
	for name, m := range f.machines {
		if m.Pool == service && !f.unreported[m.Host] && !time.Now().Before(f.readyAt[name]) {
			report.Hosts = append(report.Hosts, sched.HostReport{ID: m.Host, Room: m.Capacity, Usable: true, EndsPending: f.endsPending})
		}
	}
	return report, nil
}

func (f *fakeFleet) Cordon(_ context.Context, _ string, hosts []string, _ time.Duration, _ bool) ([]sched.HostReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []sched.HostReport
	for _, id := range hosts {
		if f.unreported[id] {
			continue
		}
		reports = append(reports, sched.HostReport{ID: id, Incarnation: testIncarnation, Usable: true, Cordoned: true, EndsPending: f.endsPending})
	}
	return reports, nil
}

func (f *fakeFleet) Retire(_ context.Context, _ string, hosts []sched.RetiredHost) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retireFailures > 0 {
		f.retireFailures--
		return errUnreachable
	}
	f.retired = append(f.retired, hosts...)
	return nil
}

// Allot fails the test: the configuration has no organisations.
func (f *fakeFleet) Allot(_ context.Context, service string, a sched.Allotment) error {
	f.t.Errorf("got allotment %+v for %s, want none without organisations", a, service)
	return nil
}

// ordersFor returns the number of orders for the maintenance of a machine.
func (f *fakeFleet) ordersFor(machine string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maintenanceOrders[machine]
}

// retiredHosts returns the hosts that were reported as gone.
func (f *fakeFleet) retiredHosts() []sched.RetiredHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.retired)
}

// Resign makes another controller resign, or times out if it is unreachable.
func (f *fakeFleet) Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error) {
	f.mu.Lock()
	unreachable, controller := f.unreachable[address], f.controllers[address]
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return controller.Resign(epoch), nil
}

// blockResign makes calls to the controller at an address time out.
func (f *fakeFleet) blockResign(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[address] = true
}

// setWaiting makes a pool wait for the capacity of a number of hosts, and all
// other pools for none.
func (f *fakeFleet) setWaiting(service string, hosts int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.waiting)
	// The forecast doubles a demand that grows from zero.
	f.waiting[service] = 500 * hosts
}

// acceptedOrders returns the number of accepted orders.
func (f *fakeFleet) acceptedOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptedCount
}

// testNode is a node that runs a controller.
type testNode struct {
	isLeader atomic.Bool
	stop     context.CancelFunc
}

func (f *fakeFleet) start(ctx context.Context, s *fake.Store, name string) *testNode {
	n := &testNode{}
	started := time.Now()
	c := New(Options{
		Node: name, Address: name, Cloud: f, Cells: f, Leaders: f, Operator: f,
		Journal:  s.Client(name),
		Clock:    func() time.Duration { return time.Since(started) },
		IsLeader: n.isLeader.Load,
		WaveStatus: func(number int64, completed bool) (string, []byte, error) {
			return fmt.Sprint(number), []byte(fmt.Sprint(completed)), nil
		},
		StatusTopic: "status", MachineLease: testLease, MoveDuration: testMoveDuration, MaintenanceDuration: testMaintenanceDuration, MaxLease: testHostLease,
		Logger: logr.Discard(), Metrics: metrics.NewSet(),
	})
	f.mu.Lock()
	f.controllers[name] = c
	f.mu.Unlock()
	ctx, n.stop = context.WithCancel(ctx)
	go c.Run(ctx)
	return n
}

// TestLeaderHandover changes the leader just after the first one has moved
// machines. The new leader must hold exactly these machines, and only until
// their leases have expired.
func TestLeaderHandover(t *testing.T) {
	tests := []struct {
		name string
		// endLeadership ends the leadership of the first node.
		endLeadership func(fleet *fakeFleet, s *fake.Store, first *testNode)
		// otherMachinesBy is the time within which machines that the first
		// leader sent no order for must move, and orderedMachinesBy the time for
		// the others.
		otherMachinesBy, orderedMachinesBy time.Duration
	}{
		{"stepped down", func(_ *fakeFleet, _ *fake.Store, first *testNode) { first.isLeader.Store(false) }, time.Second, 4500 * time.Millisecond},
		{"store unreachable", func(_ *fakeFleet, s *fake.Store, _ *testNode) { s.SetFailure("first", fake.Unresponsive) }, time.Second, 4 * time.Second},
		{"store and first leader unreachable", func(fleet *fakeFleet, s *fake.Store, _ *testNode) {
			s.SetFailure("first", fake.Unresponsive)
			fleet.blockResign("first")
		}, 2 * time.Second, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet, s := newFakeFleet(t), fake.NewStore()
				first, second := fleet.start(ctx, s, "first"), fleet.start(ctx, s, "second")
				first.isLeader.Store(true)
				time.Sleep(time.Second)
				fleet.setWaiting("west", 2)
				time.Sleep(time.Second)
				ordersOfFirst := fleet.acceptedOrders()
				if ordersOfFirst < 2 || ordersOfFirst > 6 {
					t.Fatalf("got %d machines moved to a pool that waits for 2 hosts, want 2 to 6 (with headroom)", ordersOfFirst)
				}
				test.endLeadership(fleet, s, first)
				fleet.setWaiting("west", 8)
				second.isLeader.Store(true)
				time.Sleep(test.otherMachinesBy)
				if got := fleet.acceptedOrders(); got <= ordersOfFirst {
					t.Errorf("got %d orders %v after the change of leader, want more than the %d of the first leader", got, test.otherMachinesBy, ordersOfFirst)
				}
				fleet.setWaiting("east", 2*testMachines)
				time.Sleep(test.orderedMachinesBy - test.otherMachinesBy)
				if got := fleet.poolSize("east"); got != testMachines-spareHosts {
					t.Errorf("got %d machines in the waiting pool %v after the change of leader, want %d, including those that the first leader had moved away", got, test.orderedMachinesBy, testMachines-spareHosts)
				}
				cancel()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// poolSize returns how many machines are in a pool or moving to it.
func (f *fakeFleet) poolSize(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, m := range f.machines {
		if m.Pool == service {
			count++
		}
	}
	return count
}

// TestWaveAcrossLeaders changes the leader at different times during a wave.
// The limit on machines that are down must hold, and the wave must complete.
func TestWaveAcrossLeaders(t *testing.T) {
	for offset := time.Duration(0); offset < 3*time.Second; offset += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			fleet, s := newFakeFleet(t), fake.NewStore()
			fleet.firstOrderDelay = 400 * time.Millisecond
			fleet.wave = &queue.Wave{Number: 1, Machines: []string{"m0", "m1", "m2", "m3"}, Duration: 20 * time.Second, MaxDown: 2}
			first, second := fleet.start(ctx, s, "first"), fleet.start(ctx, s, "second")
			first.isLeader.Store(true)
			time.Sleep(500*time.Millisecond + offset)
			s.SetFailure("first", fake.Unresponsive)
			fleet.blockResign("first")
			second.isLeader.Store(true)
			time.Sleep(20 * time.Second)
			if got := fleet.acceptedOrders(); got < 4 {
				t.Errorf("got %d machines maintained, want at least 4", got)
			}
			cancel()
			time.Sleep(3 * time.Second)
		})
	}
}

// TestResignStopsOrders changes the leader while slow orders are in flight. A
// leader that has resigned must not send its remaining orders.
func TestResignStopsOrders(t *testing.T) {
	for offset := time.Duration(0); offset < 800*time.Millisecond; offset += 40 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			fleet, s := newFakeFleet(t), fake.NewStore()
			fleet.firstOrderDelay = 300 * time.Millisecond
			first, second := fleet.start(ctx, s, "first"), fleet.start(ctx, s, "second")
			first.isLeader.Store(true)
			time.Sleep(time.Second)
			fleet.setWaiting("west", 3*testMachines)
			time.Sleep(offset)
			s.SetFailure("first", fake.Unresponsive)
			second.isLeader.Store(true)
			time.Sleep(time.Second)
			fleet.setWaiting("east", 3*testMachines)
			time.Sleep(6 * time.Second)
			if got := fleet.acceptedOrders(); got < testMachines {
				t.Errorf("got %d orders, want at least %d for moves to one pool and back", got, testMachines)
			}
			cancel()
			time.Sleep(3 * time.Second)
		})
	}
}

// TestMovesLimit checks that a round of moves follows what the cloud accepts, so that a
// large fleet's pools grow as fast as it allows.
func TestMovesLimit(t *testing.T) {
	for rate, want := range map[float64]int{0: minMovesLimit, 64: minMovesLimit, 600: 150} {
		leader := &term{Controller: &Controller{options: Options{OrdersPerSecond: rate}}}
		if got := leader.movesLimit(); got != want {
			t.Errorf("got %d moves a round for %v orders a second, want %d", got, rate, want)
		}
	}
}

// TestRefusedMachineHoldsUpNoMove guards against a pool that is never enlarged: the same machine is
// ordered for it again and again, although the cloud refuses that, and others are idle.
func TestRefusedMachineHoldsUpNoMove(t *testing.T) {
	for _, result := range []OrderResult{Busy, Invalid} {
		t.Run(result.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet, s := newFakeFleet(t), fake.NewStore()
				fleet.standby = true
				fleet.refused = map[string]OrderResult{"m0": result, "m1": result, "m10": result, "m11": result}
				leader := fleet.start(ctx, s, "first")
				leader.isLeader.Store(true)
				time.Sleep(8 * time.Second)
				if got := fleet.poolSize("west"); got != spareHosts {
					t.Errorf("got %d machines in the pool, want %d", got, spareHosts)
				}
				cancel()
				time.Sleep(3 * time.Second)
				if got := fleet.refusedOrders; got > 2*len(fleet.refused) {
					t.Errorf("got %d refused orders, want at most two for each machine", got)
				}
			})
		})
	}
}

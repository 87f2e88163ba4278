package infra

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/sched"
)

// Guards against taking a machine in an unknown state for one that is up, idle or gone, and
// against leaving the others alone because of it.
func TestMachineInUnknownStateIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet, s := newFakeFleet(t), fake.NewStore()
		fleet.odd = map[string]bool{"m0": true}
		fleet.wave = &queue.Wave{Number: 1, Machines: []string{"m0", "m1", "m2"}, Duration: 20 * time.Second, MaxDown: 2}
		leader := fleet.start(ctx, s, "first")
		leader.isLeader.Store(true)
		time.Sleep(15 * time.Second)
		for name, want := range map[string]int{"m0": 0, "m1": 1, "m2": 1} {
			if got := fleet.ordersFor(name); got != want {
				t.Errorf("got %d orders for machine %s, want %d", got, name, want)
			}
		}
		if got := slices.Contains(fleet.retiredHosts(), sched.RetiredHost{ID: "h-m0", Incarnation: testIncarnation}); got {
			t.Error("got the host of the machine reported as gone, want it left alone")
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// TestOnlyDepartedHostsAreRetired guards against reporting a host as gone whose machine stays:
// the cloud also accepts an order that it has carried out before, such as one that is sent
// again because the first response was lost.
func TestOnlyDepartedHostsAreRetired(t *testing.T) {
	tests := []struct {
		name          string
		answersToLose int
		want          bool
	}{
		{"order is carried out", 0, true},
		{"order was carried out before", 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet, s := newFakeFleet(t), fake.NewStore()
				fleet.answersToLose = test.answersToLose
				fleet.wave = &queue.Wave{Number: 1, Machines: []string{"m0"}, Duration: 20 * time.Second, MaxDown: 1}
				leader := fleet.start(ctx, s, "first")
				leader.isLeader.Store(true)
				time.Sleep(10 * time.Second)
				if got := slices.Contains(fleet.retiredHosts(), sched.RetiredHost{ID: "h-m0", Incarnation: testIncarnation}); got != test.want {
					t.Errorf("got the host reported as gone: %t, want %t", got, test.want)
				}
				if got := fleet.ordersFor("m0"); got != 1+test.answersToLose {
					t.Errorf("got %d orders for the machine, want %d", got, 1+test.answersToLose)
				}
				cancel()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against the move or the maintenance of a machine whose host holds the only trace of
// ends that its owner can't persist.
func TestHostWithPendingEndsStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet, s := newFakeFleet(t), fake.NewStore()
		fleet.wave = &queue.Wave{Number: 1, Machines: []string{"m0", "m1"}, Duration: 20 * time.Second, MaxDown: 1}
		fleet.setEndsPending(true)
		fleet.setWaiting("west", 4)
		leader := fleet.start(ctx, s, "first")
		leader.isLeader.Store(true)
		time.Sleep(4 * time.Second)
		if got := fleet.acceptedOrders(); got != 0 {
			t.Errorf("got %d orders while ends are pending on all hosts, want 0", got)
		}
		fleet.setEndsPending(false)
		time.Sleep(4 * time.Second)
		if got := fleet.poolSize("west"); got == 0 {
			t.Error("got no machine moved once the ends are persisted, want some")
		}
		if got := fleet.ordersFor("m0") + fleet.ordersFor("m1"); got == 0 {
			t.Error("got no machine maintained once the ends are persisted, want some")
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// setEndsPending sets what the owners say of the ends on all hosts.
func (f *fakeFleet) setEndsPending(pending bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endsPending = pending
}

// setEpoch makes the pools have new owners.
func (f *fakeFleet) setEpoch(epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = epoch
}

// Guards against a new owner that waits for the leases of machines which have left: only the
// owner of that moment was told, once.
func TestNewOwnerIsToldOfDepartedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet, s := newFakeFleet(t), fake.NewStore()
		fleet.wave = &queue.Wave{Number: 1, Machines: []string{"m0"}, Duration: 20 * time.Second, MaxDown: 1}
		fleet.retireFailures = 2
		leader := fleet.start(ctx, s, "first")
		leader.isLeader.Store(true)
		gone := sched.RetiredHost{ID: "h-m0", Incarnation: testIncarnation}
		steps := []struct {
			name  string
			epoch int64
			wait  time.Duration
			want  int
		}{
			{"same owner, after two failures", 1, 4 * time.Second, 1},
			{"second owner", 2, time.Second, 2},
			{"third owner", 3, time.Second, 3},
			{"same owner", 3, 10 * time.Second, 3},
			{"owner after all leases have expired", 4, time.Second, 3},
		}
		for _, step := range steps {
			fleet.setEpoch(step.epoch)
			time.Sleep(step.wait)
			got := 0
			for _, host := range fleet.retiredHosts() {
				if host == gone {
					got++
				}
			}
			if got != step.want {
				t.Errorf("%s: got the host reported as gone %d times, want %d", step.name, got, step.want)
			}
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against an owner that waits for the leases on a host that is gone without an order, and
// against reporting a host as gone that may be on a machine in an unknown state.
func TestHostOnNoMachineIsReported(t *testing.T) {
	tests := []struct {
		name string
		// change changes the machine m0, and odd is another machine that is listed in an unknown
		// state.
		change func(m *Machine)
		odd    string
		want   bool
	}{
		{"machine is down", func(m *Machine) { m.State, m.Host = Down, "" }, "", true},
		{"machine is down, its host is still named", func(m *Machine) { m.State = Down }, "", true},
		{"machine has another host", func(m *Machine) { m.Host = "h-next" }, "", true},
		{"machine is up without a host", func(m *Machine) { m.Host = "" }, "", false},
		{"machine stays", func(*Machine) {}, "", false},
		{"machine is in an unknown state", func(m *Machine) { m.State = Unknown }, "m0", false},
		{"machine is down, another in an unknown state", func(m *Machine) { m.State, m.Host = Down, "" }, "m1", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet, s := newFakeFleet(t), fake.NewStore()
				fleet.running = []sched.HostReport{{ID: "h-m0", Incarnation: testIncarnation, Runs: 1, Usable: true}}
				fleet.unreported = map[string]bool{"h-m0": true}
				leader := fleet.start(ctx, s, "first")
				leader.isLeader.Store(true)
				time.Sleep(3 * time.Second)
				fleet.mu.Lock()
				test.change(fleet.machines["m0"])
				fleet.odd = map[string]bool{test.odd: true}
				fleet.mu.Unlock()
				time.Sleep(3 * time.Second)
				gone := sched.RetiredHost{ID: "h-m0", Incarnation: testIncarnation, Unordered: true}
				if got := slices.Contains(fleet.retiredHosts(), gone); got != test.want {
					t.Errorf("got the host reported as gone: %t, want %t", got, test.want)
				}
				cancel()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

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

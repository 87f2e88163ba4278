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

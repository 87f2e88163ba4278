package infra

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/fake"
	"rattanpath/queue"
)

// TestWaveGoesOnBesideUnreportedHost guards against a wave that stands still: it is always the turn of
// a machine whose host no owner reports, and that can't be ordered, since the host may have runs.
func TestWaveGoesOnBesideUnreportedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet, s := newFakeFleet(t), fake.NewStore()
		fleet.unreported = map[string]bool{"h-m0": true}
		fleet.wave = &queue.Wave{Number: 1, Machines: []string{"m0", "m1", "m2"}, Duration: 30 * time.Second, MaxDown: 1}
		leader := fleet.start(ctx, s, "first")
		leader.isLeader.Store(true)
		time.Sleep(20 * time.Second)
		for name, want := range map[string]int{"m0": 0, "m1": 1, "m2": 1} {
			if got := fleet.ordersFor(name); got != want {
				t.Errorf("got %d orders for machine %s, want %d", got, name, want)
			}
		}
		fleet.mu.Lock()
		fleet.unreported = nil
		fleet.mu.Unlock()
		time.Sleep(5 * time.Second)
		if got := fleet.ordersFor("m0"); got != 1 {
			t.Errorf("got %d orders for machine m0 once its host is reported, want 1", got)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

package infra

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/sched"
)

// lateFleet answers one cordon late, as if the controller's process were suspended while the
// answer was on its way, and checks that each order comes while the cordon lasts.
type lateFleet struct {
	*fakeFleet
	hold     *atomic.Int64
	cordoned map[string]time.Time
}

func (f lateFleet) Cordon(ctx context.Context, service string, hosts []string, d time.Duration, evict bool) ([]sched.HostReport, error) {
	f.mu.Lock()
	for _, h := range hosts {
		f.cordoned[h] = time.Now().Add(d)
	}
	f.mu.Unlock()
	if !evict {
		time.Sleep(time.Duration(f.hold.Swap(0)))
	}
	return f.fakeFleet.Cordon(ctx, service, hosts, d, evict)
}

func (f lateFleet) Maintain(ctx context.Context, order Order, wave int64) (OrderResult, error) {
	f.mu.Lock()
	if until := f.cordoned["h-"+order.Machine]; time.Now().After(until) {
		f.t.Errorf("upkeep of %s ordered %v after its cordon had ended", order.Machine, time.Since(until))
	}
	f.mu.Unlock()
	return f.fakeFleet.Maintain(ctx, order, wave)
}

// TestOrderNeedsACordonThatLasts guards against the move or upkeep of a host that got new runs:
// the controller is suspended until the cordon has ended, and wakes with the answer that the
// host has none.
func TestOrderNeedsACordonThatLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := fake.NewStore()
		base := newFakeFleet(t)
		base.wave = &queue.Wave{Number: 1, Machines: []string{"m0", "m1", "m2"}, Duration: 40 * time.Second, MaxDown: 1}
		var hold atomic.Int64
		hold.Store(int64(6 * time.Second))
		f := lateFleet{base, &hold, make(map[string]time.Time)}
		started := time.Now()
		c := New(Options{
			Node: "first", Address: "first", Cloud: f, Cells: f, Leaders: f, Operator: f,
			Journal:  s.Client("first"),
			Clock:    func() time.Duration { return time.Since(started) },
			IsLeader: func() bool { return true },
			WaveStatus: func(number int64, completed bool) (string, []byte, error) {
				return fmt.Sprint(number), []byte(fmt.Sprint(completed)), nil
			},
			StatusTopic: "status", MachineLease: testLease, MoveDuration: testMoveDuration, MaintenanceDuration: testMaintenanceDuration,
			Logger: logr.Discard(), Metrics: metrics.NewSet(),
		})
		go c.Run(ctx)
		time.Sleep(40 * time.Second)
		if got := base.acceptedOrders(); got < 3 {
			t.Errorf("got %d orders, want at least one for each of the 3 machines", got)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

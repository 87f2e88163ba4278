package infra

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/fake"
)

// blindCloud is a cloud that one node can't reach.
type blindCloud struct {
	Cloud
	blind *atomic.Bool
}

// Machines implements Cloud.
func (c blindCloud) Machines(ctx context.Context) ([]Machine, error) {
	if c.blind.Load() {
		return nil, errUnreachable
	}
	return c.Cloud.Machines(ctx)
}

// Guards against pools that get no machine because the leader, and no other node, can't reach the cloud.
func TestLeaderThatCannotReachCloudHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet, s := newFakeFleet(t), fake.NewStore()
		first := fleet.start(ctx, s, "first")
		fleet.start(ctx, s, "second")
		var blind atomic.Bool
		c := fleet.controllers["first"]
		c.options.Cloud = blindCloud{c.options.Cloud, &blind}
		first.isLeader.Store(true)
		time.Sleep(2 * time.Second)
		blind.Store(true)
		before := fleet.acceptedOrders()
		fleet.setWaiting("west", 4)
		time.Sleep(20 * time.Second)
		if got := fleet.acceptedOrders(); got == before {
			t.Errorf("got no more than the %d machines that were moved before within 20s, want some for the tasks that wait", got)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

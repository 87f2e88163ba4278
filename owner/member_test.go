package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/store"
)

// TestStandbyTakesOverAndLeaves checks that a standby takes over all partitions
// when the regular node loses the store, and leaves when that node is back.
func TestStandbyTakesOverAndLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		regular := NewMember(s.Client("a"), "a", "1:1", time.Second, false, logr.Discard())
		standby := NewMember(s.Client("b"), "b", "1:2", time.Second, true, logr.Discard())
		go regular.Run(ctx)
		go standby.Run(ctx)
		want := func(after time.Duration, a, b bool) {
			t.Helper()
			time.Sleep(after)
			if got := [2]bool{len(regular.Partitions()) > 0, len(standby.Partitions()) > 0}; got != [2]bool{a, b} {
				t.Errorf("got partitions at the regular node %t, at the standby %t; want %t, %t", got[0], got[1], a, b)
			}
		}
		want(5*time.Second, true, false)
		s.SetFailure("a", fake.Unresponsive)
		// The membership expires and the standby's join delay elapses.
		want(memberTTL+standbyJoinDelay+time.Second, true, true)
		s.SetFailure("a", fake.NoFailure)
		want(standbyLeaveDelay+2*time.Second, true, false)
		want(10*time.Second, true, false)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestStandbyNodesShareAllPartitions checks that all partitions are assigned to the
// standby nodes if there is no regular node.
func TestStandbyNodesShareAllPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		a := NewMember(s.Client("a"), "a", "1:1", time.Second, true, logr.Discard())
		b := NewMember(s.Client("b"), "b", "1:2", time.Second, true, logr.Discard())
		go a.Run(ctx)
		go b.Run(ctx)
		time.Sleep(4 * time.Second)
		if got := len(a.Partitions()) + len(b.Partitions()); got != 32 {
			t.Errorf("got %d partitions held after 4 s, want all 32", got)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestNodesThatStartTogether lets nodes join shortly after each other. None may act on
// more than its share, although the first to join is assigned all partitions.
func TestNodesThatStartTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		const nodes, share = 8, 32 / 8
		var members []*Member
		for i := range nodes {
			name := string(rune('a' + i))
			m := NewMember(s.Client(name), name, "1:"+name, time.Second, false, logr.Discard())
			members = append(members, m)
			go m.Run(ctx)
			time.Sleep(20 * time.Millisecond)
		}
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, m := range members {
				if got := len(m.Partitions()); got > share {
					t.Fatalf("got %d partitions at %s %v after the last start, want at most %d", got, m.membership.Member, time.Since(start), share)
				}
			}
		}
		for _, m := range members {
			if got := len(m.Partitions()); got != share {
				t.Errorf("got %d partitions at %s, want %d", got, m.membership.Member, share)
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// slowOwnersGroup is a group that never returns the partition owners while it is slow.
type slowOwnersGroup struct {
	Group
	slow atomic.Bool
}

func (g *slowOwnersGroup) PartitionOwners(ctx context.Context, name string) ([]store.PartitionOwner, error) {
	if !g.slow.Load() {
		return g.Group.PartitionOwners(ctx, name)
	}
	return nil, core.Sleep(ctx, time.Minute)
}

// TestStandbyRenewsBesideSlowRead makes the reads by which a standby looks for regular
// nodes hang. Its membership must not expire.
func TestStandbyRenewsBesideSlowRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		group := &slowOwnersGroup{Group: s.Client("a")}
		standby := NewMember(group, "a", "1:1", time.Second, true, logr.Discard())
		go standby.Run(ctx)
		time.Sleep(4 * time.Second)
		group.slow.Store(true)
		for range 100 {
			if standby.Expired() {
				t.Fatal("got an expired membership, want it renewed")
			}
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// failingGroup is a group in which every other join gets no response in time.
type failingGroup struct {
	Group
	joins atomic.Int64
}

func (g *failingGroup) Join(ctx context.Context, membership store.Membership) (store.Assignment, error) {
	if g.joins.Add(1)%2 == 0 {
		_ = core.Sleep(ctx, 500*time.Millisecond)
		return store.Assignment{}, errors.New("no response")
	}
	return g.Group.Join(ctx, membership)
}

// TestOneFailedRenewal lets every other renewal fail. The membership must not expire.
func TestOneFailedRenewal(t *testing.T) {
	for _, standby := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := fake.NewStore()
			group := &slowOwnersGroup{Group: &failingGroup{Group: s.Client("a")}}
			m := NewMember(group, "a", "1:1", time.Second, standby, logr.Discard())
			go m.Run(ctx)
			time.Sleep(4 * time.Second)
			group.slow.Store(true)
			for range 1000 {
				if m.Expired() {
					t.Fatalf("got an expired membership of a member (standby: %t), want it renewed", standby)
				}
				time.Sleep(10 * time.Millisecond)
			}
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
}

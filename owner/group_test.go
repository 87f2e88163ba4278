package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/fake"
)

// TestReserveStepsInAndBack lets a node in reserve stand by while another is in
// the group, take everything over when that one is lost, and give it back.
func TestReserveStepsInAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		strong := NewMember(s.Client("a"), "a", "1:1", time.Second, false, logr.Discard())
		spare := NewMember(s.Client("b"), "b", "1:2", time.Second, true, logr.Discard())
		go strong.Run(ctx)
		go spare.Run(ctx)
		want := func(after time.Duration, a, b bool) {
			t.Helper()
			time.Sleep(after)
			if got := [2]bool{len(strong.Held()) > 0, len(spare.Held()) > 0}; got != [2]bool{a, b} {
				t.Errorf("got partitions at the node %t, at the reserve %t; want %t, %t", got[0], got[1], a, b)
			}
		}
		want(5*time.Second, true, false)
		s.SetFailure("a", fake.Unresponsive)
		// The membership lapses, and nobody is seen for a while.
		want(memberTTL+stepInTime+time.Second, true, true)
		s.SetFailure("a", fake.NoFailure)
		want(stepBackTime+2*time.Second, true, false)
		want(10*time.Second, true, false)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestReserveAloneHoldsAll starts nodes in reserve only.
func TestReserveAloneHoldsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		a := NewMember(s.Client("a"), "a", "1:1", time.Second, true, logr.Discard())
		b := NewMember(s.Client("b"), "b", "1:2", time.Second, true, logr.Discard())
		go a.Run(ctx)
		go b.Run(ctx)
		time.Sleep(4 * time.Second)
		if got := len(a.Held()) + len(b.Held()); got != 32 {
			t.Errorf("got %d partitions held after 4 s, want all 32", got)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

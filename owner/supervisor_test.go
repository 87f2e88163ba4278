package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/store"
)

// unreachableGroup is a group whose joins fail from a time on.
type unreachableGroup struct {
	Group
	failsFrom time.Time
}

func (g *unreachableGroup) Join(ctx context.Context, membership store.Membership) (store.Assignment, error) {
	if time.Now().After(g.failsFrom) {
		return store.Assignment{}, errors.New("no response")
	}
	return g.Group.Join(ctx, membership)
}

// TestExpiredMemberDoesNotClaim lets a node's membership expire while it reads the
// records of a cell. It must not claim the cell from the node that owns it by then.
func TestExpiredMemberDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		const readTime = 4 * time.Second
		group := &unreachableGroup{Group: s.Client("a"), failsFrom: time.Now().Add(2 * renewInterval)}
		a := startNode(ctx, s, group, "a", readTime)
		time.Sleep(2 * renewInterval)
		b := startNode(ctx, s, s.Client("b"), "b", 0)
		time.Sleep(3 * time.Second)
		cell := b.supervisor.Cell(testService)
		if cell == nil {
			t.Fatal("got no cell at the node that renews its membership, want one")
		}
		time.Sleep(2 * readTime)
		if got := a.supervisor.Cell(testService); got != nil {
			t.Errorf("got a cell of epoch %d at the node whose membership has expired, want none", got.Epoch())
		}
		if got := b.supervisor.Cell(testService); got != cell {
			t.Error("got another cell at the node that renews its membership, want the first one to stay")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

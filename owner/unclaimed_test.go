package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/fake"
)

// TestCellIsClaimedByAnotherNode guards against a cell that nobody runs while the node that holds its
// partition renews its membership but doesn't get through with its claim: leases lapse, and no other
// node may act. A serving task may be without a run for 9 s.
func TestCellIsClaimedByAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		startNode(ctx, s, s.Client("a"), "a", time.Hour)
		b := startNode(ctx, s, s.Client("b"), "b", 0)
		time.Sleep(9 * time.Second)
		if b.supervisor.Cell(testService) == nil {
			t.Error("got no cell at the node that can claim it, want one 9 s after the other node got the partition")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

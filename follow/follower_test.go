package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/replay"
)

// stateAfter returns the state after the given number of malformed records.
func stateAfter(t *testing.T, records int) *replay.State {
	t.Helper()
	state := replay.New()
	for i := range records {
		after, err := state.Apply(core.Entry{Offset: int64(i), Data: []byte("noise")})
		if err != nil {
			t.Fatal(err)
		}
		state = after
	}
	return state
}

func newFollower(records, snapshots *fake.Log) *Follower {
	return New(Streams{Records: records, Snapshots: snapshots}, time.Second, logr.Discard())
}

// TestFollowerNeverMovesBackward checks that an older state, an older record
// and a gap leave the state unchanged.
func TestFollowerNeverMovesBackward(t *testing.T) {
	follower := newFollower(fake.NewLog(0), fake.NewLog(0))
	follower.InstallState(stateAfter(t, 5))
	follower.InstallState(stateAfter(t, 3))
	if got, want := follower.State().Next, int64(5); got != want {
		t.Errorf("got next %d after an older state, want %d", got, want)
	}
	if err := follower.ApplyEntries([]core.Entry{{Offset: 2, Data: []byte("other")}}); err != nil {
		t.Errorf("got %v for an older record, want it skipped", err)
	}
	if err := follower.ApplyEntries([]core.Entry{{Offset: 7, Data: []byte("x")}}); err == nil {
		t.Error("got no error for a gap, want one")
	}
	if got, want := follower.State().Digest, stateAfter(t, 5).Digest; got != want {
		t.Errorf("got digest %d, want %d", got, want)
	}
}

// TestEntriesSinceReturnsCachedEntries requests records inside and outside the
// cache.
func TestEntriesSinceReturnsCachedEntries(t *testing.T) {
	follower := newFollower(fake.NewLog(0), fake.NewLog(0))
	var entries []core.Entry
	const total = maxRecentEntries + 10
	for i := range total {
		entries = append(entries, core.Entry{Offset: int64(i), Data: []byte("x")})
	}
	if err := follower.ApplyEntries(entries); err != nil {
		t.Fatal(err)
	}
	if _, cached := follower.EntriesSince(5); cached {
		t.Error("got records that were dropped from the cache, want none")
	}
	got, cached := follower.EntriesSince(total - 3)
	if !cached || len(got) != 3 || got[0].Offset != total-3 {
		t.Errorf("got %d records, cached %t; want the last 3", len(got), cached)
	}
	if got, cached := follower.EntriesSince(total); !cached || len(got) != 0 {
		t.Errorf("got %d records, cached %t; want 0 and true", len(got), cached)
	}
}

// TestCatchUpFailsWhenLogIsShorter checks a log that ends before the state, as
// after the loss of records.
func TestCatchUpFailsWhenLogIsShorter(t *testing.T) {
	state := stateAfter(t, 5)
	streams := Streams{Records: fake.NewLog(0), Snapshots: fake.NewLog(0)}
	after, err := CatchUp(t.Context(), streams, state)
	if err == nil || after.Next != 5 {
		t.Errorf("got next %d and %v, want 5 and an error", after.Next, err)
	}
}

// TestCatchUpFailsOnGapWithoutSnapshot expires records that no snapshot covers.
func TestCatchUpFailsOnGapWithoutSnapshot(t *testing.T) {
	records := fake.NewLog(0)
	for range 5 {
		_, _ = records.Append(t.Context(), []byte("x"))
	}
	records.Expire(3)
	after, err := CatchUp(t.Context(), Streams{Records: records, Snapshots: fake.NewLog(0)}, replay.New())
	if err == nil || after.Next != 0 {
		t.Errorf("got next %d and %v, want 0 and an error", after.Next, err)
	}
}

// TestSnapshotsPrecedeRetention appends records to a log with short retention,
// at several rates. A new node must be able to catch up at any time.
func TestSnapshotsPrecedeRetention(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, time.Minute} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRetention(t, pause) })
		})
	}
}

func testRetention(t *testing.T, pause time.Duration) {
	records, snapshots := fake.NewLog(100), fake.NewLog(20)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	follower := newFollower(records, snapshots)
	for range 2 {
		snapshotter := NewSnapshotter(follower, 32, 10*time.Minute, logr.Discard())
		go snapshotter.Run(ctx)
	}
	go follower.Run(ctx)
	for i := range 400 {
		if _, err := records.Append(ctx, []byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pause)
		state, err := CatchUp(ctx, follower.streams, replay.New())
		if err != nil || state.Next != int64(i+1) {
			t.Fatalf("got next %d and %v after %d records, want all", state.Next, err, i+1)
		}
	}
	bounds, _ := snapshots.Bounds(ctx)
	due := int64(400/32) + int64(400*pause/(10*time.Minute))
	if bounds.Next > 2*due {
		t.Errorf("got %d snapshots from two writers, want at most %d, one per writer whenever due", bounds.Next, 2*due)
	}
}

package follow

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/replay"
)

// Snapshotter writes snapshots of a follower's state to the log before the
// records they cover expire. Any node may write one. To make duplicates rare,
// each node waits a random time and checks for a newer snapshot first.
type Snapshotter struct {
	follower       *Follower
	recordInterval int64
	interval       time.Duration
	logger         logr.Logger

	// snapshotNext is the offset after the newest known snapshot, and
	// snapshotTime is when this node wrote or found that snapshot.
	snapshotNext int64
	snapshotTime time.Time
}

// NewSnapshotter returns a snapshotter that writes a snapshot after the given
// number of records, or after the given interval if there was any record.
func NewSnapshotter(follower *Follower, records int64, interval time.Duration, logger logr.Logger) *Snapshotter {
	return &Snapshotter{follower: follower, recordInterval: records, interval: interval, logger: logger.WithName("snapshot"), snapshotTime: time.Now()}
}

// maxSnapshotDelay bounds the random delay before a snapshot is written.
const maxSnapshotDelay = 2 * time.Second

// Run writes snapshots when they are due until the context is done.
func (s *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.awaitDue(ctx)
		if core.Sleep(ctx, jitter(min(maxSnapshotDelay, s.interval/4))) != nil {
			return
		}
		if err := s.writeIfDue(ctx); err != nil && ctx.Err() == nil {
			s.logger.Error(err, "writing snapshot failed")
			_ = core.Sleep(ctx, jitter(maxBackoff))
		}
	}
}

func (s *Snapshotter) awaitDue(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.follower.Changed()
		if s.due() {
			return
		}
		timer := time.NewTimer(max(minBackoff, s.interval-time.Since(s.snapshotTime)))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (s *Snapshotter) due() bool {
	newRecords := s.follower.State().Next - s.snapshotNext
	if !s.follower.Ready() || newRecords == 0 {
		return false
	}
	return newRecords >= s.recordInterval || time.Since(s.snapshotTime) >= s.interval
}

// writeIfDue writes a snapshot unless another node has written one meanwhile.
func (s *Snapshotter) writeIfDue(ctx context.Context) error {
	newest, err := ReadSnapshot(ctx, s.follower.streams.Snapshots)
	if err != nil {
		return err
	}
	if newest != nil && newest.Next > s.snapshotNext {
		s.recordSnapshot(newest.Next)
		if !s.due() {
			return nil
		}
	}
	state := s.follower.State()
	if err := WriteSnapshot(ctx, s.follower.streams.Snapshots, state); err != nil {
		return err
	}
	s.recordSnapshot(state.Next)
	s.logger.Info("snapshot written", "next", state.Next, "revision", state.Revision)
	return nil
}

func (s *Snapshotter) recordSnapshot(next int64) {
	s.snapshotNext = next
	s.snapshotTime = time.Now()
}

// WriteSnapshot appends the chunks of a state to the log. After an error some of
// them may be in the log; readers ignore incomplete snapshots.
func WriteSnapshot(ctx context.Context, log Log, state *replay.State) error {
	chunks, err := state.Chunks()
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		data, err := json.Marshal(chunk)
		if err != nil {
			return errors.Wrap(err, "encoding snapshot chunk")
		}
		if _, err := log.Append(ctx, data); err != nil {
			return errors.Wrap(err, "writing snapshot")
		}
	}
	return nil
}

package follow

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/fold"
)

// Snapshotter writes snapshots of a follower's state into the log before the
// records behind them expire. Any node may write one; each waits for a random
// part of its turn and looks again first, so that they seldom write the same.
type Snapshotter struct {
	follower *Follower
	records  int64
	every    time.Duration
	logger   logr.Logger

	// covered is the offset that the newest known snapshot reaches.
	covered   int64
	coveredAt time.Time
}

// NewSnapshotter returns a snapshotter for which a snapshot is due after so
// many records, or so much time with any record.
func NewSnapshotter(follower *Follower, records int64, every time.Duration, logger logr.Logger) *Snapshotter {
	return &Snapshotter{follower: follower, records: records, every: every, logger: logger.WithName("snapshot"), coveredAt: time.Now()}
}

// maxTurn bounds the random wait before a snapshot is written.
const maxTurn = 2 * time.Second

// Run writes snapshots when they are due until the context ends.
func (s *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.awaitDue(ctx)
		if core.Sleep(ctx, jitter(min(maxTurn, s.every/4))) != nil {
			return
		}
		if err := s.step(ctx); err != nil && ctx.Err() == nil {
			s.logger.Error(err, "no snapshot written")
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
		timer := time.NewTimer(max(minBackoff, s.every-time.Since(s.coveredAt)))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (s *Snapshotter) due() bool {
	behind := s.follower.State().Next - s.covered
	if !s.follower.Ready() || behind == 0 {
		return false
	}
	return behind >= s.records || time.Since(s.coveredAt) >= s.every
}

// step writes a snapshot unless another node has done so meanwhile.
func (s *Snapshotter) step(ctx context.Context) error {
	newest, err := ReadSnapshot(ctx, s.follower.streams.Snapshots)
	if err != nil {
		return err
	}
	if newest != nil && newest.Next > s.covered {
		s.cover(newest.Next)
		if !s.due() {
			return nil
		}
	}
	state := s.follower.State()
	if err := WriteSnapshot(ctx, s.follower.streams.Snapshots, state); err != nil {
		return err
	}
	s.cover(state.Next)
	s.logger.Info("snapshot written", "next", state.Next, "revision", state.Revision)
	return nil
}

func (s *Snapshotter) cover(next int64) {
	s.covered = next
	s.coveredAt = time.Now()
}

// WriteSnapshot appends the chunks of a state. After an error some chunks may
// be in the log; readers leave an incomplete snapshot out.
func WriteSnapshot(ctx context.Context, log Log, state *fold.State) error {
	chunks, err := state.Chunks()
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		data, err := json.Marshal(chunk)
		if err != nil {
			return errors.Wrap(err, "encoding a chunk")
		}
		if _, err := log.Append(ctx, data); err != nil {
			return errors.Wrap(err, "writing a snapshot")
		}
	}
	return nil
}

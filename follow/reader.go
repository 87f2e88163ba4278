package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/fold"
)

// Log is a stream of the platform's append-only log.
type Log interface {
	// Append adds a record; after an error it may or may not have taken effect.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records from an offset on and fails with a
	// core.ExpiredError if the log keeps that offset no longer.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]core.Entry, error)
	// Bounds returns the limits of what the log holds.
	Bounds(ctx context.Context) (core.LogBounds, error)
}

// Streams are the two streams that a fleet uses.
type Streams struct {
	// Records carries what is folded into the state.
	Records Log
	// Snapshots carries chunks of folded states.
	Snapshots Log
}

// SnapshotSuffix follows the name of the record stream in the name of the
// stream of its snapshots.
const SnapshotSuffix = ".snapshots"

const (
	readLimit = 256
	// snapshotWindow is the number of chunks first looked at from the end.
	snapshotWindow = 4
)

// ReadSnapshot returns the newest whole snapshot, or nil if there is none.
func ReadSnapshot(ctx context.Context, log Log) (*fold.State, error) {
	bounds, err := log.Bounds(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "looking for a snapshot")
	}
	for window := int64(snapshotWindow); ; window *= 4 {
		from := max(bounds.First, bounds.Next-window)
		state, err := assemble(ctx, log, from, bounds.Next)
		if err != nil || state != nil || from == bounds.First {
			return state, err
		}
	}
}

func assemble(ctx context.Context, log Log, from, to int64) (*fold.State, error) {
	assembler := fold.NewAssembler()
	for from < to {
		entries, err := log.Read(ctx, from, readLimit, 0)
		if err != nil {
			return nil, errors.Wrap(err, "reading a snapshot")
		}
		if len(entries) == 0 {
			break
		}
		for _, entry := range entries {
			assembler.Add(entry.Data)
		}
		from = entries[len(entries)-1].Offset + 1
	}
	return assembler.Newest, nil
}

// CatchUp returns the state after every record that the log held at the time
// of the call, starting from an earlier state or the newest snapshot. With an
// error it returns the state as far as it came.
func CatchUp(ctx context.Context, streams Streams, state *fold.State) (*fold.State, error) {
	bounds, err := streams.Records.Bounds(ctx)
	if err != nil {
		return state, errors.Wrap(err, "reading the log's bounds")
	}
	if state.Next > bounds.Next {
		return state, errors.Errorf("the log ends at %d and the state at %d: the log has lost records", bounds.Next, state.Next)
	}
	if state.Next < bounds.First || state.Next == 0 {
		state, err = newer(ctx, streams.Snapshots, state)
		if err != nil {
			return state, err
		}
	}
	return readTo(ctx, streams.Records, state, bounds.Next)
}

// readTo folds the records below an offset.
func readTo(ctx context.Context, log Log, state *fold.State, end int64) (*fold.State, error) {
	for state.Next < end {
		entries, err := log.Read(ctx, state.Next, readLimit, 0)
		if err != nil {
			return state, errors.Wrap(err, "reading the log")
		}
		if len(entries) == 0 {
			return state, errors.Errorf("the log holds records back from offset %d on", state.Next)
		}
		state, err = applyAll(state, entries)
		if err != nil {
			return state, err
		}
	}
	return state, nil
}

// newer returns the newest snapshot if it is ahead of state.
func newer(ctx context.Context, snapshots Log, state *fold.State) (*fold.State, error) {
	snapshot, err := ReadSnapshot(ctx, snapshots)
	if err != nil {
		return state, err
	}
	if snapshot != nil && snapshot.Next > state.Next {
		return snapshot, nil
	}
	return state, nil
}

// applyAll folds the entries that state does not hold yet.
func applyAll(state *fold.State, entries []core.Entry) (*fold.State, error) {
	for _, entry := range entries {
		if entry.Offset < state.Next {
			continue
		}
		after, err := state.Apply(entry)
		if err != nil {
			return state, err
		}
		state = after
	}
	return state, nil
}

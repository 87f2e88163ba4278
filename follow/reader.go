package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/replay"
)

// Log is a stream of the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record
	// may or may not have been appended.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns up to limit records from the given offset on; at the end of
	// the log it waits for one up to the given time. It returns a
	// core.ExpiredError if the offset is no longer retained.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]core.Entry, error)
	// Bounds returns the range of offsets that the log holds.
	Bounds(ctx context.Context) (core.LogBounds, error)
}

// Streams are the two log streams of a fleet.
type Streams struct {
	// Records holds the records that are applied to the state.
	Records Log
	// Snapshots holds the chunks of snapshots.
	Snapshots Log
}

// SnapshotSuffix is appended to the name of the record stream to name its
// snapshot stream.
const SnapshotSuffix = ".snapshots"

const (
	maxReadEntries = 256
	// initialSnapshotWindow is the number of chunks at the end of the stream
	// that are searched first for a complete snapshot.
	initialSnapshotWindow = 4
)

// ReadSnapshot returns the newest complete snapshot, or nil if there is none.
// It searches the end of the stream, in a window that grows fourfold until it
// holds one.
func ReadSnapshot(ctx context.Context, log Log) (*replay.State, error) {
	bounds, err := log.Bounds(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "finding newest snapshot")
	}
	for window := int64(initialSnapshotWindow); ; window *= 4 {
		from := max(bounds.First, bounds.Next-window)
		state, err := readSnapshotRange(ctx, log, from, bounds.Next)
		if err != nil || state != nil || from == bounds.First {
			return state, err
		}
	}
}

// readSnapshotRange returns the newest complete snapshot in a range of offsets,
// or nil.
func readSnapshotRange(ctx context.Context, log Log, from, to int64) (*replay.State, error) {
	assembler := replay.NewAssembler()
	for from < to {
		entries, err := log.Read(ctx, from, maxReadEntries, 0)
		if err != nil {
			return nil, errors.Wrap(err, "reading snapshot")
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

// CatchUp returns the state after all records in the log at the time of the
// call. It starts from the given state, or from the newest snapshot if the
// state is empty or the log no longer holds the next record. With an error it
// returns the state reached so far.
func CatchUp(ctx context.Context, streams Streams, state *replay.State) (*replay.State, error) {
	bounds, err := streams.Records.Bounds(ctx)
	if err != nil {
		return state, errors.Wrap(err, "reading log bounds")
	}
	if state.Next > bounds.Next {
		return state, errors.Errorf("log ends at offset %d, before the state at offset %d: the log has lost records", bounds.Next, state.Next)
	}
	if state.Next < bounds.First || state.Next == 0 {
		state, err = newerSnapshot(ctx, streams.Snapshots, state)
		if err != nil {
			return state, err
		}
	}
	return replayTo(ctx, streams.Records, state, bounds.Next)
}

// replayTo applies the records below the given offset.
func replayTo(ctx context.Context, log Log, state *replay.State, end int64) (*replay.State, error) {
	for state.Next < end {
		entries, err := log.Read(ctx, state.Next, maxReadEntries, 0)
		if err != nil {
			return state, errors.Wrap(err, "reading log")
		}
		if len(entries) == 0 {
			return state, errors.Errorf("log returned no records from offset %d on, before its end", state.Next)
		}
		state, err = applyEntries(state, entries)
		if err != nil {
			return state, err
		}
	}
	return state, nil
}

// newerSnapshot returns the newest snapshot if it is ahead of state, and state
// otherwise.
func newerSnapshot(ctx context.Context, snapshots Log, state *replay.State) (*replay.State, error) {
	snapshot, err := ReadSnapshot(ctx, snapshots)
	if err != nil {
		return state, err
	}
	if snapshot != nil && snapshot.Next > state.Next {
		return snapshot, nil
	}
	return state, nil
}

// applyEntries applies the entries that are not yet in state.
func applyEntries(state *replay.State, entries []core.Entry) (*replay.State, error) {
	for _, entry := range entries {
		if entry.Offset < state.Next {
			continue
		}
		next, err := state.Apply(entry)
		if err != nil {
			return state, err
		}
		state = next
	}
	return state, nil
}

package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/replay"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxRecentEntries is the number of records cached for peers.
	maxRecentEntries = 1024
	// maxRecentBytes bounds the payload of the records cached for peers.
	maxRecentBytes = 4 << 20
)

// LogStatus is the result of a node's recent calls to the log.
type LogStatus struct {
	// LastRead is the time of the last successful call; zero if there was none.
	LastRead time.Time
	// Err is the error of the last call, or nil.
	Err error
}

// Follower maintains a node's replica of the state. Its methods are safe for
// concurrent use; State doesn't lock.
type Follower struct {
	streams  Streams
	readWait time.Duration
	logger   logr.Logger

	state     atomic.Pointer[replay.State]
	logStatus atomic.Pointer[LogStatus]
	ready     atomic.Bool

	// mu serializes changes of the state.
	mu            sync.Mutex
	recentEntries []core.Entry
	recentBytes   int

	changed core.Signal
}

// New returns a follower with an empty state. Reads at the end of the log wait
// up to the given time for new records.
func New(streams Streams, wait time.Duration, logger logr.Logger) *Follower {
	f := &Follower{
		streams:  streams,
		readWait: wait,
		logger:   logger.WithName("follow"),
	}
	f.state.Store(replay.New())
	f.logStatus.Store(&LogStatus{})
	return f
}

// State returns the current state.
func (f *Follower) State() *replay.State { return f.state.Load() }

// LogStatus returns the result of the recent calls to the log.
func (f *Follower) LogStatus() LogStatus { return *f.logStatus.Load() }

// LogFailing reports whether the last call to the log failed.
func (f *Follower) LogFailing() bool { return f.logStatus.Load().Err != nil }

// Ready reports whether the state has caught up with the log at least once or,
// while the log was unavailable, with the newest state of the peers.
func (f *Follower) Ready() bool { return f.ready.Load() }

// SetReady marks the state as ready to serve from.
func (f *Follower) SetReady() {
	if f.ready.CompareAndSwap(false, true) {
		f.logger.Info("ready", "next", f.State().Next, "revision", f.State().Revision)
		f.changed.Notify()
	}
}

// Changed returns a channel that is closed when the state changes or becomes
// ready.
func (f *Follower) Changed() <-chan struct{} { return f.changed.Changed() }

// ApplyEntries applies records read from the log or received from a peer, and
// skips those already applied.
func (f *Follower) ApplyEntries(entries []core.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Load()
	next, err := applyEntries(before, entries)
	f.cacheEntries(before, next, entries)
	f.setState(before, next)
	return err
}

// InstallState replaces the state by one from a snapshot or a peer, if that is
// newer.
func (f *Follower) InstallState(state *replay.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Load()
	if state.Next <= before.Next {
		return
	}
	f.recentEntries, f.recentBytes = nil, 0
	f.setState(before, state)
}

// setState publishes a new state to readers. The caller must hold mu.
func (f *Follower) setState(before, next *replay.State) {
	if next.Next == before.Next {
		return
	}
	f.state.Store(next)
	f.changed.Notify()
	if next.Revision != before.Revision {
		f.logger.Info("active configuration changed", "revision", next.Revision, "writer", next.Writer, "next", next.Next)
	}
}

// cacheEntries keeps the records applied between two states for peers, within
// the limits of the cache. The caller must hold mu.
func (f *Follower) cacheEntries(before, next *replay.State, entries []core.Entry) {
	for _, entry := range entries {
		if entry.Offset >= before.Next && entry.Offset < next.Next {
			f.recentEntries = append(f.recentEntries, entry)
			f.recentBytes += len(entry.Data)
		}
	}
	drop := 0
	for len(f.recentEntries)-drop > maxRecentEntries || f.recentBytes > maxRecentBytes {
		f.recentBytes -= len(f.recentEntries[drop].Data)
		drop++
	}
	f.recentEntries = append([]core.Entry(nil), f.recentEntries[drop:]...)
}

// EntriesSince returns the records from the given offset on, and whether all of
// them are still cached.
func (f *Follower) EntriesSince(next int64) ([]core.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next >= f.state.Load().Next {
		return nil, true
	}
	if len(f.recentEntries) == 0 || f.recentEntries[0].Offset > next {
		return nil, false
	}
	return append([]core.Entry(nil), f.recentEntries[next-f.recentEntries[0].Offset:]...), true
}

// Run tails the log until the context is done.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		_ = core.Sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll reads from the log once and applies what it got. It catches up instead
// if the node isn't ready or the next record has expired.
func (f *Follower) poll(ctx context.Context) error {
	if !f.Ready() {
		return f.catchUp(ctx)
	}
	entries, err := f.streams.Records.Read(ctx, f.State().Next, maxReadEntries, f.readWait)
	var expired *core.ExpiredError
	if errors.As(err, &expired) {
		return f.catchUp(ctx)
	}
	if err != nil {
		return err
	}
	return f.ApplyEntries(entries)
}

// catchUp brings the state up to the end of the log, from a snapshot if
// necessary, and marks it as ready.
func (f *Follower) catchUp(ctx context.Context) error {
	state, err := CatchUp(ctx, f.streams, f.State())
	f.InstallState(state)
	if err != nil {
		return err
	}
	f.SetReady()
	return nil
}

// recordResult updates the log status with the error of a poll, and logs when
// polls start to fail or succeed again.
func (f *Follower) recordResult(err error) {
	before := f.LogStatus()
	after := LogStatus{LastRead: before.LastRead, Err: err}
	if err == nil {
		after.LastRead = time.Now()
	}
	f.logStatus.Store(&after)
	switch {
	case err != nil && before.Err == nil:
		f.logger.Error(err, "following the log failed", "next", f.State().Next)
	case err == nil && before.Err != nil:
		f.logger.Info("resumed following the log", "next", f.State().Next)
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

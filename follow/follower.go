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
	"rattanpath/fold"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// recentEntries is the number of records kept for peers.
	recentEntries = 1024
	// recentBytes bounds the memory of the records kept for peers.
	recentBytes = 4 << 20
)

// Contact says how a node stands with the log.
type Contact struct {
	// LastRead is the time of the last successful call; zero if there was none.
	LastRead time.Time
	// Err is the error of the last call, or nil.
	Err error
}

// Follower keeps a copy of the state. State is safe for any number of readers
// and takes no lock.
type Follower struct {
	streams Streams
	wait    time.Duration
	logger  logr.Logger

	state   atomic.Pointer[fold.State]
	contact atomic.Pointer[Contact]
	ready   atomic.Bool

	// mu orders those who change the state.
	mu     sync.Mutex
	recent []core.Entry
	bytes  int

	changed core.Signal
}

// New returns a follower without any state. A read at the end of the log waits
// for wait.
func New(streams Streams, wait time.Duration, logger logr.Logger) *Follower {
	f := &Follower{
		streams: streams,
		wait:    wait,
		logger:  logger.WithName("follow"),
	}
	f.state.Store(fold.New())
	f.contact.Store(&Contact{})
	return f
}

// State returns the newest state.
func (f *Follower) State() *fold.State { return f.state.Load() }

// Contact returns how the node stands with the log.
func (f *Follower) Contact() Contact { return *f.contact.Load() }

// LogFailing reports whether the last call of the log failed.
func (f *Follower) LogFailing() bool { return f.contact.Load().Err != nil }

// Ready reports whether the state once reached the end of the log, or the
// newest state that peers could show while the log failed.
func (f *Follower) Ready() bool { return f.ready.Load() }

// SetReady marks the state as good to serve from.
func (f *Follower) SetReady() {
	if f.ready.CompareAndSwap(false, true) {
		f.logger.Info("ready", "next", f.State().Next, "revision", f.State().Revision)
		f.changed.Notify()
	}
}

// Changed returns a channel that is closed at the next change of the state, or
// when it becomes good to serve from.
func (f *Follower) Changed() <-chan struct{} { return f.changed.Changed() }

// Offer folds records that came from the log or a peer; those already folded
// are passed over.
func (f *Follower) Offer(entries []core.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Load()
	after, err := applyAll(before, entries)
	f.keep(before, after, entries)
	f.publish(before, after)
	return err
}

// Adopt takes a whole state, from a snapshot or a peer, if it is newer.
func (f *Follower) Adopt(state *fold.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Load()
	if state.Next <= before.Next {
		return
	}
	f.recent, f.bytes = nil, 0
	f.publish(before, state)
}

// publish makes a state visible; the caller holds mu.
func (f *Follower) publish(before, after *fold.State) {
	if after.Next == before.Next {
		return
	}
	f.state.Store(after)
	f.changed.Notify()
	if after.Revision != before.Revision {
		f.logger.Info("configuration in force", "revision", after.Revision, "writer", after.Writer, "next", after.Next)
	}
}

// keep remembers the records between two states for peers; the caller holds
// mu.
func (f *Follower) keep(before, after *fold.State, entries []core.Entry) {
	for _, entry := range entries {
		if entry.Offset >= before.Next && entry.Offset < after.Next {
			f.recent = append(f.recent, entry)
			f.bytes += len(entry.Data)
		}
	}
	drop := 0
	for len(f.recent)-drop > recentEntries || f.bytes > recentBytes {
		f.bytes -= len(f.recent[drop].Data)
		drop++
	}
	f.recent = append([]core.Entry(nil), f.recent[drop:]...)
}

// Since returns the records from an offset on if all of them are still kept.
func (f *Follower) Since(next int64) ([]core.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next >= f.state.Load().Next {
		return nil, true
	}
	if len(f.recent) == 0 || f.recent[0].Offset > next {
		return nil, false
	}
	return append([]core.Entry(nil), f.recent[next-f.recent[0].Offset:]...), true
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		_ = core.Sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// step reads once from the log.
func (f *Follower) step(ctx context.Context) error {
	if !f.Ready() {
		return f.start(ctx)
	}
	entries, err := f.streams.Records.Read(ctx, f.State().Next, readLimit, f.wait)
	var expired *core.ExpiredError
	if errors.As(err, &expired) {
		return f.start(ctx)
	}
	if err != nil {
		return err
	}
	return f.Offer(entries)
}

// start brings the state to the end of the log, from a snapshot if need be.
func (f *Follower) start(ctx context.Context) error {
	state, err := CatchUp(ctx, f.streams, f.State())
	f.Adopt(state)
	if err != nil {
		return err
	}
	f.SetReady()
	return nil
}

func (f *Follower) note(err error) {
	before := f.Contact()
	after := Contact{LastRead: before.LastRead, Err: err}
	if err == nil {
		after.LastRead = time.Now()
	}
	f.contact.Store(&after)
	switch {
	case err != nil && before.Err == nil:
		f.logger.Error(err, "the log fails", "next", f.State().Next)
	case err == nil && before.Err != nil:
		f.logger.Info("the log answers again", "next", f.State().Next)
	}
}

// jitter returns a random span between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

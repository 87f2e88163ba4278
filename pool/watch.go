package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// pollInterval is the time between two reads. A draining host must be
	// detected well within two seconds.
	pollInterval = 300 * time.Millisecond
	// expiryGracePeriod is how long a record may be missing before its host is
	// removed. It gives hosts time to renew records that expired during an
	// outage of the store.
	expiryGracePeriod = 2 * time.Second
	// outageThreshold is the time without a successful read after which records
	// may have expired because of an outage of the store.
	outageThreshold = time.Second
	// silenceThreshold is the time between two records of a host after which the second
	// counts as a change: the host may have counted as gone silent.
	silenceThreshold = 2500 * time.Millisecond
)

// Reader reads host records from the store.
type Reader interface {
	Newest(ctx context.Context, topic string) (store.Snapshot, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (store.Batch, error)
}

// Decode decodes a host record. It returns an error that states the reason if the
// record does not describe a host.
type Decode func(id string, value []byte) (*Host, error)

// View is the set of all known hosts at one moment.
type View struct {
	Hosts map[string]*Host
	// ReadAt is when the store was last read successfully, or zero if it never
	// was.
	ReadAt time.Time
}

// Watcher tracks the host records while it is active.
type Watcher struct {
	reader Reader
	topic  string
	decode Decode
	clock  core.Clock
	logger logr.Logger

	mu         sync.Mutex
	view       View
	nextOffset int64
	// completeAt is the reading of clock at which the last read that returned all
	// records was sent, 0 if none did.
	completeAt time.Duration
	loaded     bool
	// readFailed is set if a read has failed since the last successful one.
	readFailed   bool
	missingSince map[string]time.Time
	active       func() bool
	changed      core.Signal
}

// NewWatcher returns a watcher of a topic. It reads while active returns true.
func NewWatcher(reader Reader, topic string, decode Decode, active func() bool, clock core.Clock, logger logr.Logger) *Watcher {
	return &Watcher{
		reader:       reader,
		topic:        topic,
		decode:       decode,
		active:       active,
		clock:        clock,
		logger:       logger.WithName("pool"),
		view:         View{Hosts: make(map[string]*Host)},
		missingSince: make(map[string]time.Time),
	}
}

// View returns a copy of the current view.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := make(map[string]*Host, len(w.view.Hosts))
	for id, host := range w.view.Hosts {
		hosts[id] = host
	}
	return View{Hosts: hosts, ReadAt: w.view.ReadAt}
}

// Changed returns a channel that is closed at the next change of a host.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Changed() }

// Run polls the store until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	for core.Sleep(ctx, pollInterval) == nil {
		if !w.active() {
			w.loaded = false
			continue
		}
		if err := w.Refresh(ctx); err != nil && ctx.Err() == nil {
			w.logger.Info("failed to read host records", "age", time.Since(w.View().ReadAt).Round(time.Millisecond), "err", err.Error())
		}
	}
}

// Refresh reads the store once. It must not be called concurrently.
func (w *Watcher) Refresh(ctx context.Context) error {
	err := w.refresh(ctx)
	w.readFailed = err != nil
	return err
}

func (w *Watcher) refresh(ctx context.Context) error {
	if !w.loaded {
		return w.reload(ctx)
	}
	sent := w.clock()
	batch, err := w.reader.Read(ctx, w.topic, w.nextOffset, 0)
	if errors.Is(err, store.ErrExpired) {
		return w.reload(ctx)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.recordRead(w.clock() - sent)
	for _, record := range batch.Records {
		changed = w.apply(record) || changed
	}
	changed = w.removeExpired() || changed
	w.nextOffset = batch.Next
	if batch.Next >= batch.End {
		w.completeAt = sent
	}
	w.notify(changed)
	return nil
}

// reload reads all host records.
func (w *Watcher) reload(ctx context.Context) error {
	sent := w.clock()
	snapshot, err := w.reader.Newest(ctx, w.topic)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordRead(w.clock() - sent)
	listed := make(map[string]bool)
	for _, record := range snapshot.Records {
		listed[record.Key] = true
		w.apply(record)
	}
	for _, item := range snapshot.Malformed {
		w.logger.Info("invalid host record", "host", item.Key, "err", item.Err.Error())
	}
	for id := range w.view.Hosts {
		if !listed[id] {
			w.markMissing(id)
		}
	}
	w.removeExpired()
	w.nextOffset, w.completeAt = snapshot.Next, sent
	w.loaded = true
	w.notify(true)
	return nil
}

// recordRead records a successful read that took the given time, and reports whether it is the
// first for a while. During an outage of the store, the records of live hosts may have expired, so
// the grace period of missing records restarts after it. That this node hasn't read for a while
// without a failure is no outage.
func (w *Watcher) recordRead(took time.Duration) (afterPause bool) {
	now := time.Now()
	afterPause = !w.view.ReadAt.IsZero() && now.Sub(w.view.ReadAt) > outageThreshold
	if afterPause && (w.readFailed || !w.loaded || took > outageThreshold) {
		w.logger.Info("host records can be read again", "after", now.Sub(w.view.ReadAt).Round(time.Millisecond))
		for id := range w.missingSince {
			w.missingSince[id] = now
		}
	}
	w.view.ReadAt = now
	return afterPause
}

func (w *Watcher) notify(changed bool) {
	if changed {
		w.changed.Notify()
	}
}

// apply applies a host record and reports whether it changed a host.
func (w *Watcher) apply(record store.Record) bool {
	if record.Key == "" {
		return false
	}
	if len(record.Value) == 0 {
		w.markMissing(record.Key)
		return false
	}
	host, err := w.decode(record.Key, record.Value)
	if err != nil {
		w.logger.Info("invalid host record", "host", record.Key, "err", err.Error())
		w.markMissing(record.Key)
		return false
	}
	delete(w.missingSince, record.Key)
	previous := w.view.Hosts[record.Key]
	switch {
	case record.Offset >= w.nextOffset:
		// No earlier read returned the record.
		host.WrittenAfter = w.completeAt
	case previous != nil:
		host.WrittenAfter = previous.WrittenAfter
	}
	w.view.Hosts[record.Key] = host
	return previous == nil || !equalHosts(previous, host) || host.WrittenAfter-previous.WrittenAfter > silenceThreshold
}

func equalHosts(a, b *Host) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Draining == b.Draining && a.Capacity == b.Capacity
}

// markMissing notes when the record of a known host was first found missing.
func (w *Watcher) markMissing(id string) {
	if _, recorded := w.missingSince[id]; !recorded && w.view.Hosts[id] != nil {
		w.missingSince[id] = time.Now()
	}
}

// removeExpired removes the hosts whose records have been missing for the grace
// period, and reports whether there were any.
func (w *Watcher) removeExpired() bool {
	removed := false
	for id, since := range w.missingSince {
		if time.Since(since) < expiryGracePeriod {
			continue
		}
		w.logger.Info("host removed because its record expired", "host", id, "missing", time.Since(since).Round(time.Millisecond))
		delete(w.missingSince, id)
		delete(w.view.Hosts, id)
		removed = true
	}
	return removed
}

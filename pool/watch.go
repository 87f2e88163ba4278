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
	// pollEvery is the time between two reads; a host that drains must be known
	// well within two seconds.
	pollEvery = 300 * time.Millisecond
	// returnTime is how long after the return of the store entries that lapsed
	// meanwhile may still be missing.
	returnTime = 2 * time.Second
	// awayAfter is how long reads must have failed before entries may have
	// lapsed.
	awayAfter = time.Second
)

// Reader reads the entries of hosts.
type Reader interface {
	Newest(ctx context.Context, topic string) (store.Snapshot, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (store.Batch, error)
}

// Decode reads one entry; its error says why the entry names no host.
type Decode func(id string, value []byte) (*Host, error)

// View is what is known of all hosts at one moment.
type View struct {
	Hosts map[string]*Host
	// At is when the store was last read; zero if it never was.
	At time.Time
}

// Watcher follows the entries of hosts while it is wanted.
type Watcher struct {
	reader Reader
	topic  string
	decode Decode
	logger logr.Logger

	mu      sync.Mutex
	view    View
	next    int64
	known   bool
	missing map[string]time.Time
	wanted  func() bool
	changed core.Signal
}

// NewWatcher returns a watcher of a topic that reads while wanted says so.
func NewWatcher(reader Reader, topic string, decode Decode, wanted func() bool, logger logr.Logger) *Watcher {
	return &Watcher{
		reader:  reader,
		topic:   topic,
		decode:  decode,
		wanted:  wanted,
		logger:  logger.WithName("pool"),
		view:    View{Hosts: make(map[string]*Host)},
		missing: make(map[string]time.Time),
	}
}

// View returns a copy of what is known.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := make(map[string]*Host, len(w.view.Hosts))
	for id, host := range w.view.Hosts {
		hosts[id] = host
	}
	return View{Hosts: hosts, At: w.view.At}
}

// Changed returns a channel that is closed when a host changes.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Changed() }

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for core.Sleep(ctx, pollEvery) == nil {
		if !w.wanted() {
			w.known = false
			continue
		}
		if err := w.Refresh(ctx); err != nil && ctx.Err() == nil {
			w.logger.Info("the entries of hosts could not be read", "age", time.Since(w.View().At).Round(time.Millisecond), "err", err.Error())
		}
	}
}

// Refresh reads once. It must not be called by two goroutines at once.
func (w *Watcher) Refresh(ctx context.Context) error {
	if !w.known {
		return w.reload(ctx)
	}
	chunk, err := w.reader.Read(ctx, w.topic, w.next, 0)
	if errors.Is(err, store.ErrExpired) {
		return w.reload(ctx)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returned()
	changed := false
	for _, record := range chunk.Records {
		changed = w.apply(record) || changed
	}
	changed = w.expire() || changed
	w.next = chunk.Next
	w.notify(changed)
	return nil
}

// reload reads every entry anew.
func (w *Watcher) reload(ctx context.Context) error {
	table, err := w.reader.Newest(ctx, w.topic)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returned()
	listed := make(map[string]bool)
	for _, record := range table.Records {
		listed[record.Key] = true
		w.apply(record)
	}
	for id := range w.view.Hosts {
		if !listed[id] {
			w.miss(id)
		}
	}
	w.expire()
	w.next = table.Next
	w.known = true
	w.notify(true)
	return nil
}

// returned notes a successful read. After the store was away, an entry may
// have lapsed though its host lives: it has returnTime to come back.
func (w *Watcher) returned() {
	now := time.Now()
	if !w.view.At.IsZero() && now.Sub(w.view.At) > awayAfter {
		w.logger.Info("the entries of hosts are read again", "after", now.Sub(w.view.At).Round(time.Millisecond))
		for id := range w.missing {
			w.missing[id] = now
		}
	}
	w.view.At = now
}

func (w *Watcher) notify(changed bool) {
	if changed {
		w.changed.Notify()
	}
}

// apply takes one entry in and reports whether it changed a host.
func (w *Watcher) apply(record store.Record) bool {
	if record.Key == "" {
		return false
	}
	if len(record.Value) == 0 {
		w.miss(record.Key)
		return false
	}
	host, err := w.decode(record.Key, record.Value)
	if err != nil {
		w.logger.Info("an entry names no host", "host", record.Key, "err", err.Error())
		w.miss(record.Key)
		return false
	}
	delete(w.missing, record.Key)
	before := w.view.Hosts[record.Key]
	w.view.Hosts[record.Key] = host
	return before == nil || !same(before, host)
}

func same(a, b *Host) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address && a.Draining == b.Draining && a.Room == b.Room
}

// miss notes that a host has no entry.
func (w *Watcher) miss(id string) {
	if _, noted := w.missing[id]; !noted && w.view.Hosts[id] != nil {
		w.missing[id] = time.Now()
	}
}

// expire drops hosts whose entries have been missing for too long.
func (w *Watcher) expire() bool {
	dropped := false
	for id, since := range w.missing {
		if time.Since(since) < returnTime {
			continue
		}
		w.logger.Info("a host is gone: its entry lapsed", "host", id, "missing", time.Since(since).Round(time.Millisecond))
		delete(w.missing, id)
		delete(w.view.Hosts, id)
		dropped = true
	}
	return dropped
}

package queue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// longPollTimeout is how long a read waits for new records. It is short
	// enough to detect an unresponsive connection within the time in which a
	// configuration must take effect.
	longPollTimeout = 500 * time.Millisecond
	// retryDelay is the time between attempts while the store is unavailable.
	retryDelay = 100 * time.Millisecond
)

// Reader reads the operator's records from the store.
type Reader interface {
	Newest(ctx context.Context, topic string) (store.Snapshot, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (store.Batch, error)
}

// Update is a decoded record of the operator: a configuration or a maintenance
// wave.
type Update struct {
	Config *Config
	Wave   *Wave
}

// Wave is a request for the maintenance of machines.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time within which the wave must be completed.
	Duration time.Duration
	// MaxDown is how many machines may be down for maintenance at once.
	MaxDown int
}

// Decode decodes one record. It returns an empty Update for records of other
// kinds.
type Decode func(key string, value []byte) (Update, error)

// Watcher tracks the operator's records. It never replaces a configuration with
// an older version.
type Watcher struct {
	reader Reader
	topic  string
	decode Decode
	logger logr.Logger
	// OnConfig, if not nil, is called with each configuration that is read, before it is
	// activated. complete is false if versions before it may not have been read. It must be
	// set before Run.
	OnConfig func(config *Config, complete bool)
	// next is the offset up to which all records have been read, 0 before the first read.
	next int64

	config   atomic.Pointer[Config]
	waves    atomic.Pointer[map[int64]*Wave]
	lastRead atomic.Int64

	changed core.Signal
}

// NewWatcher returns a watcher of the topic that holds the operator's records.
func NewWatcher(reader Reader, topic string, decode Decode, logger logr.Logger) *Watcher {
	w := &Watcher{reader: reader, topic: topic, decode: decode, logger: logger.WithName("queue")}
	w.waves.Store(&map[int64]*Wave{})
	return w
}

// Config returns the active configuration, or nil if none has been read.
func (w *Watcher) Config() *Config { return w.config.Load() }

// Waves returns the maintenance waves by number.
func (w *Watcher) Waves() map[int64]*Wave { return *w.waves.Load() }

// Changed returns a channel that is closed when new records have been read.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Changed() }

// Age returns the time since the last successful read of the store.
func (w *Watcher) Age() time.Duration { return time.Since(time.Unix(0, w.lastRead.Load())) }

// Run tracks the operator's records until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.reload(ctx)
		for err == nil {
			err = w.readNext(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, store.ErrExpired) {
			w.logger.Info("failed to read the operator's records", "age", w.Age().Round(time.Millisecond), "err", err.Error())
		}
		if core.Sleep(ctx, retryDelay) != nil {
			return
		}
	}
}

// reload reads the newest record of each key. Versions that those have replaced aren't read.
func (w *Watcher) reload(ctx context.Context) error {
	snapshot, err := w.reader.Newest(ctx, w.topic)
	if err != nil {
		return err
	}
	for _, item := range snapshot.Malformed {
		w.logger.Error(item.Err, "failed to decode an item of the operator's records", "key", item.Key)
	}
	w.apply(snapshot.Records, snapshot.Next == w.next)
	w.next = snapshot.Next
	return nil
}

func (w *Watcher) readNext(ctx context.Context) error {
	batch, err := w.reader.Read(ctx, w.topic, w.next, longPollTimeout)
	if err != nil {
		return err
	}
	w.apply(batch.Records, true)
	w.next = batch.Next
	return nil
}

// apply applies records. complete means that no record before them was left out.
func (w *Watcher) apply(records []store.Record, complete bool) {
	w.lastRead.Store(time.Now().UnixNano())
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		update, err := w.decode(record.Key, record.Value)
		if err != nil {
			w.logger.Error(err, "failed to decode a record of the operator", "key", record.Key, "offset", record.Offset)
			continue
		}
		w.applyUpdate(update, complete)
	}
	if len(records) > 0 {
		w.changed.Notify()
	}
}

func (w *Watcher) applyUpdate(update Update, complete bool) {
	if update.Config != nil {
		update.Config.Follow(w.Config(), complete)
		if w.OnConfig != nil {
			w.OnConfig(update.Config, complete)
		}
	}
	if config, current := update.Config, w.Config(); config != nil && (current == nil || config.Version > current.Version) {
		w.config.Store(config)
		w.logger.Info("configuration activated", "version", config.Version, "queues", len(config.Queues), "services", len(config.Services),
			"requiresKeys", config.RequiresKeys, "organisations", len(config.Organisations), "keys", len(config.byKey))
	}
	if wave := update.Wave; wave != nil {
		waves := map[int64]*Wave{wave.Number: wave}
		for number, existing := range w.Waves() {
			if number != wave.Number {
				waves[number] = existing
			}
		}
		w.waves.Store(&waves)
	}
}

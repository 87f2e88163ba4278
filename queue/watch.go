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
	// readWait is how long a read waits for the operator to write. It is short
	// enough that a connection that went silent is noticed within the time in
	// which a configuration must be in force.
	readWait = 500 * time.Millisecond
	// retryPause is the time between attempts while the store is away.
	retryPause = 100 * time.Millisecond
)

// Reader reads what the operator writes.
type Reader interface {
	Newest(ctx context.Context, topic string) (store.Snapshot, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (store.Batch, error)
}

// Orders is what the operator may write: a configuration or a wave.
type Orders struct {
	Table *Table
	Wave  *Wave
}

// Wave asks for the upkeep of hosts.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time in which the wave is to be completed.
	Within time.Duration
	// Cap is how many hosts may be down for their upkeep at once.
	Cap int
}

// Decode reads one record; it returns neither for records of another kind.
type Decode func(key string, value []byte) (Orders, error)

// Watcher follows the operator's writes. It never goes back to an older
// version.
type Watcher struct {
	reader Reader
	topic  string
	decode Decode
	logger logr.Logger

	table atomic.Pointer[Table]
	waves atomic.Pointer[map[int64]*Wave]
	read  atomic.Int64

	changed core.Signal
}

// NewWatcher returns a watcher of the topic to which the operator writes.
func NewWatcher(reader Reader, topic string, decode Decode, logger logr.Logger) *Watcher {
	w := &Watcher{reader: reader, topic: topic, decode: decode, logger: logger.WithName("queue")}
	w.waves.Store(&map[int64]*Wave{})
	return w
}

// Table returns the configuration in force, or nil if none is known.
func (w *Watcher) Table() *Table { return w.table.Load() }

// Waves returns the waves that the operator has asked for.
func (w *Watcher) Waves() map[int64]*Wave { return *w.waves.Load() }

// Changed returns a channel that is closed when the operator has written.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Changed() }

// Age returns the time since the store was last read.
func (w *Watcher) Age() time.Duration { return time.Since(time.Unix(0, w.read.Load())) }

// Run follows the operator's writes until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next, err := w.reload(ctx)
		for err == nil {
			next, err = w.follow(ctx, next)
		}
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, store.ErrExpired) {
			w.logger.Info("the operator's writes could not be read", "age", w.Age().Round(time.Millisecond), "err", err.Error())
		}
		if core.Sleep(ctx, retryPause) != nil {
			return
		}
	}
}

func (w *Watcher) reload(ctx context.Context) (int64, error) {
	table, err := w.reader.Newest(ctx, w.topic)
	if err != nil {
		return 0, err
	}
	w.apply(table.Records)
	return table.Next, nil
}

func (w *Watcher) follow(ctx context.Context, from int64) (int64, error) {
	chunk, err := w.reader.Read(ctx, w.topic, from, readWait)
	if err != nil {
		return 0, err
	}
	w.apply(chunk.Records)
	return chunk.Next, nil
}

func (w *Watcher) apply(records []store.Record) {
	w.read.Store(time.Now().UnixNano())
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		orders, err := w.decode(record.Key, record.Value)
		if err != nil {
			w.logger.Error(err, "a record of the operator could not be read", "key", record.Key, "offset", record.Offset)
			continue
		}
		w.take(orders)
	}
	if len(records) > 0 {
		w.changed.Notify()
	}
}

func (w *Watcher) take(orders Orders) {
	if table, current := orders.Table, w.Table(); table != nil && (current == nil || table.Version > current.Version) {
		w.table.Store(table)
		w.logger.Info("configuration in force", "version", table.Version, "queues", len(table.Queues), "services", len(table.Services))
	}
	if wave := orders.Wave; wave != nil {
		waves := map[int64]*Wave{wave.Number: wave}
		for number, known := range w.Waves() {
			if number != wave.Number {
				waves[number] = known
			}
		}
		w.waves.Store(&waves)
	}
}

package queue

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/store"
)

// logReader is a Reader of a log whose records are all versions of one key.
type logReader struct {
	mu     sync.Mutex
	values []string
	// down makes the next Read fail, whose watcher then starts from the newest record.
	down bool
}

// goDown makes the next read fail.
func (r *logReader) goDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
}

func (r *logReader) takeDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	down := r.down
	r.down = false
	return down
}

// add appends records.
func (r *logReader) add(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = append(r.values, values...)
}

// Newest returns the last record.
func (r *logReader) Newest(context.Context, string) (store.Snapshot, error) {
	batch := r.records(0)
	return store.Snapshot{Records: batch.Records[len(batch.Records)-1:], Next: batch.Next}, nil
}

// Read returns the records from an offset on, after the wait if there are none.
func (r *logReader) Read(ctx context.Context, _ string, from int64, wait time.Duration) (store.Batch, error) {
	if batch := r.records(from); len(batch.Records) > 0 {
		return batch, nil
	}
	if err := core.Sleep(ctx, wait); err != nil {
		return store.Batch{}, err
	}
	if r.takeDown() {
		return store.Batch{}, store.ErrExpired
	}
	return r.records(from), nil
}

func (r *logReader) records(from int64) store.Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := store.Batch{Next: int64(len(r.values))}
	for offset := from; offset < batch.Next; offset++ {
		batch.Records = append(batch.Records, store.Record{Key: "config", Value: []byte(r.values[offset]), Offset: offset})
	}
	return batch
}

// decodeVersion decodes a record whose value is the version of a configuration.
func decodeVersion(_ string, value []byte) (Update, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	return Update{Config: NewConfig(version, nil, nil, Limits{})}, err
}

// versionList is the versions of configurations in the order in which they were passed on.
type versionList struct {
	mu       sync.Mutex
	versions []int64
	// incomplete holds the versions before which others may not have been read.
	incomplete []int64
}

func (l *versionList) add(config *Config, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, config.Version)
	if !complete {
		l.incomplete = append(l.incomplete, config.Version)
	}
}

func (l *versionList) all() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.versions)
}

// startWatcher runs a watcher and returns it and the versions that it passes on.
func startWatcher(ctx context.Context, reader Reader) (*Watcher, *versionList) {
	w := NewWatcher(reader, "op", decodeVersion, logr.Discard())
	list := &versionList{}
	w.OnConfig = list.add
	go w.Run(ctx)
	return w, list
}

// TestEachConfigIsPassedOn guards against losing a configuration that a newer one replaces in
// the same read.
func TestEachConfigIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		reader := &logReader{values: []string{"1"}}
		w, versions := startWatcher(ctx, reader)
		synctest.Wait()
		reader.add("2", "3")
		time.Sleep(2 * longPollTimeout)
		if got, want := versions.all(), []int64{1, 2, 3}; !slices.Equal(got, want) {
			t.Errorf("got versions %v, want %v", got, want)
		}
		if got := w.Config().Version; got != 3 {
			t.Errorf("got version %d active, want 3", got)
		}
		cancel()
		synctest.Wait()
	})
}

// TestConfigNeverGoesBack guards against a withdrawn key that works again because a store
// that lags behind, or one that was read again from the start, returned an older version.
func TestConfigNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		reader := &laggingReader{logReader: logReader{values: []string{"3"}}}
		w, versions := startWatcher(ctx, reader)
		synctest.Wait()
		for _, values := range [][]string{{"2"}, {"1", "2"}, {"3"}} {
			reader.add(values...)
			time.Sleep(2 * longPollTimeout)
			if got := w.Config().Version; got != 3 {
				t.Errorf("got version %d after records %v, want 3", got, values)
			}
		}
		// An expired offset makes the watcher read the newest records again.
		reader.setExpired(true)
		time.Sleep(2 * longPollTimeout)
		reader.add("2")
		reader.setExpired(false)
		time.Sleep(2 * longPollTimeout)
		if got := w.Config().Version; got != 3 {
			t.Errorf("got version %d after a snapshot of version 2, want 3", got)
		}
		reader.add("malformed", "4", "malformed")
		time.Sleep(2 * longPollTimeout)
		if got := w.Config().Version; got != 4 {
			t.Errorf("got version %d among malformed records, want 4", got)
		}
		if got, want := versions.all(), []int64{3, 2, 1, 2, 3}; !slices.Equal(got[:len(want)], want) {
			t.Errorf("got versions %v, want %v first", got, want)
		}
		cancel()
		synctest.Wait()
	})
}

// laggingReader is a logReader whose offsets may be expired.
type laggingReader struct {
	logReader
	expired atomic.Bool
}

func (r *laggingReader) setExpired(expired bool) { r.expired.Store(expired) }

// Read returns the records from an offset on, unless it is expired.
func (r *laggingReader) Read(ctx context.Context, topic string, from int64, wait time.Duration) (store.Batch, error) {
	if r.expired.Load() {
		return store.Batch{}, store.ErrExpired
	}
	return r.logReader.Read(ctx, topic, from, wait)
}

// TestUnreadVersionsAreReported guards against a watcher that hides that it may have missed
// versions, and against one that reports uneven steps of versions as such.
func TestUnreadVersionsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		reader := &logReader{values: []string{"1"}}
		_, versions := startWatcher(ctx, reader)
		for _, step := range []struct {
			down  bool
			added []string
		}{{false, []string{"4", "9"}}, {true, nil}, {false, []string{"11"}}, {true, []string{"12", "20"}}, {false, []string{"22"}}} {
			synctest.Wait()
			if step.down {
				reader.goDown()
			}
			reader.add(step.added...)
			time.Sleep(3 * longPollTimeout)
		}
		versions.mu.Lock()
		defer versions.mu.Unlock()
		if got, want := versions.incomplete, []int64{1, 20}; !slices.Equal(got, want) {
			t.Errorf("got versions %v with others before them that may be unread, want %v; all are %v", got, want, versions.versions)
		}
		cancel()
		synctest.Wait()
	})
}

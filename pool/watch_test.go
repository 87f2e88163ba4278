package pool_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/pool"
	"rattanpath/store"
)

// fakeReader returns the records of a topic, at most limit of them in one read.
type fakeReader struct {
	records []store.Record
	limit   int
	err     error
}

// write appends a record of a host.
func (r *fakeReader) write(id string) {
	r.records = append(r.records, store.Record{Key: id, Value: []byte("record"), Offset: int64(len(r.records))})
}

func (r *fakeReader) Newest(context.Context, string) (store.Snapshot, error) {
	return store.Snapshot{Records: r.records, Next: int64(len(r.records))}, nil
}

func (r *fakeReader) Read(_ context.Context, _ string, from int64, _ time.Duration) (store.Batch, error) {
	if err := r.err; err != nil {
		r.err = nil
		return store.Batch{}, err
	}
	end := int64(len(r.records))
	next := min(end, from+int64(r.limit))
	return store.Batch{Records: r.records[from:next], Next: next, End: end}, nil
}

// TestWrittenAfter checks after what time each record is known to have been written: the
// last read that returned all records but not this one.
func TestWrittenAfter(t *testing.T) {
	reader := &fakeReader{limit: 2}
	now := time.Duration(0)
	decode := func(id string, _ []byte) (*pool.Host, error) { return &pool.Host{ID: id}, nil }
	watcher := pool.NewWatcher(reader, "hosts", decode, nil, func() time.Duration { return now }, logr.Discard())
	steps := []struct {
		name   string
		writes []string
		err    error
		// want is the expected value of each host, in seconds.
		want map[string]int
	}{
		{"the first read doesn't tell", []string{"a"}, nil, map[string]int{"a": 0}},
		{"a new record", []string{"b"}, nil, map[string]int{"a": 0, "b": 1}},
		{"no record", nil, nil, map[string]int{"a": 0, "b": 1}},
		{"a failed read", []string{"a"}, errors.New("down"), map[string]int{"a": 0, "b": 1}},
		{"a record from before a failed read", nil, nil, map[string]int{"a": 3, "b": 1}},
		{"a read that returns two of three records", []string{"a", "b", "c"}, nil, map[string]int{"a": 5, "b": 5}},
		{"the third", nil, nil, map[string]int{"a": 5, "b": 5, "c": 5}},
		{"all records anew, of which one is new", []string{"a"}, store.ErrExpired, map[string]int{"a": 7, "b": 5, "c": 5}},
		{"a record after that", []string{"c"}, nil, map[string]int{"a": 7, "b": 5, "c": 8}},
	}
	for _, step := range steps {
		now += time.Second
		for _, id := range step.writes {
			reader.write(id)
		}
		reader.err = step.err
		if err := watcher.Refresh(t.Context()); err != nil && !errors.Is(err, step.err) {
			t.Fatal(err)
		}
		view := watcher.View()
		for id, want := range step.want {
			if host := view.Hosts[id]; host == nil || host.WrittenAfter != time.Duration(want)*time.Second {
				t.Errorf("%s: got %+v for host %s, want it written after %d s", step.name, host, id, want)
			}
		}
		if got, want := len(view.Hosts), len(step.want); got != want {
			t.Errorf("%s: got %d hosts, want %d", step.name, got, want)
		}
	}
}

// TestRecordAfterSilenceIsAChange checks that an unchanged record counts as a change if
// the one before is old, or reads have failed for long, and only then.
func TestRecordAfterSilenceIsAChange(t *testing.T) {
	synctest.Test(t, testRecordAfterSilence)
}

func testRecordAfterSilence(t *testing.T) {
	reader := &fakeReader{limit: 10}
	now := time.Second
	decode := func(id string, _ []byte) (*pool.Host, error) { return &pool.Host{ID: id}, nil }
	watcher := pool.NewWatcher(reader, "hosts", decode, nil, func() time.Duration { return now }, logr.Discard())
	refresh := func() bool {
		changed := watcher.Changed()
		if err := watcher.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	reader.write("a")
	refresh()
	for _, test := range []struct {
		silence time.Duration
		want    bool
	}{{1500 * time.Millisecond, false}, {1500 * time.Millisecond, false}, {4 * time.Second, true}, {1500 * time.Millisecond, false}} {
		// Reads go on while the host writes nothing.
		for range int(test.silence / (300 * time.Millisecond)) {
			now += 300 * time.Millisecond
			time.Sleep(300 * time.Millisecond)
			if refresh() {
				t.Error("got a change without a record, want none")
			}
		}
		reader.write("a")
		if got := refresh(); got != test.want {
			t.Errorf("got change %v for a record after %v, want %v", got, test.silence, test.want)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if !refresh() {
		t.Error("got no change at the first read after 1.5 s without one, want one")
	}
}

package fake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// LogFaults are the injected faults of a log. Its JSON form is the body of
// PUT /trial/faults.
type LogFaults struct {
	// Down makes every call fail without taking effect.
	Down bool
	// LoseAnswers makes appends take effect and then fail.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
	// Late is the time after its append until a record is visible to readers.
	Late time.Duration
}

// ErrDown is returned by calls while LogFaults.Down is set.
var ErrDown = errors.New("the log is down")

// ErrLostResponse is returned by an append that took effect while
// LogFaults.LoseAnswers is set.
var ErrLostResponse = errors.New("the answer was lost")

type logRecord struct {
	data       []byte
	appendedAt time.Time
}

// Log is an in-memory append-only log.
type Log struct {
	mu      sync.Mutex
	first   int64
	records []logRecord
	// retention is the number of newest records kept; 0 keeps all.
	retention int
	faults    LogFaults
	appended  core.Signal
}

// NewLog returns an empty log that keeps the newest retention records, or all
// if that is 0.
func NewLog(retention int) *Log {
	return &Log{retention: retention}
}

// SetFaults replaces the faults of the log.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// applyFaults returns ErrDown or waits for the injected delay, and returns the
// faults in effect.
func (l *Log) applyFaults(ctx context.Context) (LogFaults, error) {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Down {
		return faults, ErrDown
	}
	return faults, core.Sleep(ctx, faults.Delay)
}

// Append appends a record and returns its offset.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	faults, err := l.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	offset := l.add(data)
	if faults.LoseAnswers {
		return 0, ErrLostResponse
	}
	return offset, nil
}

func (l *Log) add(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, logRecord{data: data, appendedAt: time.Now()})
	offset := l.first + int64(len(l.records)) - 1
	if excess := len(l.records) - l.retention; l.retention > 0 && excess > 0 {
		l.records = l.records[excess:]
		l.first += int64(excess)
	}
	l.appended.Notify()
	return offset
}

// Expire deletes all records below an offset.
func (l *Log) Expire(below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop := min(max(0, below-l.first), int64(len(l.records)))
	l.records = l.records[drop:]
	l.first += drop
}

// Read returns at most limit records, starting at the offset from. If there are
// none, it waits for up to wait for one to become visible, and returns nil if none
// does.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]core.Entry, error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		appended := l.appended.Changed()
		entries, err := l.readVisible(from, limit)
		if err != nil || len(entries) > 0 {
			return entries, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *Log) readVisible(from int64, limit int) ([]core.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, ErrDown
	}
	if from < l.first {
		return nil, &core.ExpiredError{From: from, First: l.first}
	}
	var entries []core.Entry
	for i := from - l.first; i < int64(len(l.records)) && len(entries) < limit; i++ {
		if time.Since(l.records[i].appendedAt) < l.faults.Late {
			break
		}
		entries = append(entries, core.Entry{Offset: l.first + i, Data: l.records[i].data})
	}
	return entries, nil
}

// Bounds returns the first offset that the log holds and the next one.
func (l *Log) Bounds(ctx context.Context) (core.LogBounds, error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return core.LogBounds{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return core.LogBounds{First: l.first, Next: l.first + int64(len(l.records))}, nil
}

package scribe

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// maxQueued bounds the lines that wait for a reader that stands still.
	maxQueued = 4096
	// kept is the part of the queue that only lines of failures may fill.
	kept = maxQueued / 4
	// countEvery is the time between two lines that tell what was left out.
	countEvery = time.Second
	// closeTime is how long Close waits for a reader that stands still.
	closeTime = 300 * time.Millisecond
)

// Scribe writes lines in the background.
type Scribe struct {
	out    io.Writer
	lines  chan []byte
	closed chan struct{}
	done   chan struct{}
	once   sync.Once
	// dropped counts the lines for which there was no place.
	dropped atomic.Int64
	limits  limits
	text    slog.Handler
}

// New returns a scribe that writes to out until Close.
func New(out io.Writer) *Scribe {
	s := &Scribe{
		out:    out,
		lines:  make(chan []byte, maxQueued),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
		limits: limits{kinds: make(map[string]*kind)},
	}
	s.text = slog.NewTextHandler(s, nil)
	go s.run()
	return s
}

// Logger returns a logger whose lines name a node.
func (s *Scribe) Logger(node string) logr.Logger {
	return logr.FromSlogHandler(&handler{scribe: s, next: s.text}).WithValues("node", node)
}

// Write queues one line; a line beyond what the queue holds is counted and left
// out. It never blocks.
func (s *Scribe) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no place so far.
func (s *Scribe) Dropped() int64 { return s.dropped.Load() }

// isCrowded reports whether only failures may still be queued.
func (s *Scribe) isCrowded() bool { return len(s.lines) >= maxQueued-kept }

// run writes lines, and now and then what was left out.
func (s *Scribe) run() {
	defer close(s.done)
	tick := time.NewTicker(countEvery)
	defer tick.Stop()
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-tick.C:
			s.count()
		case <-s.closed:
			s.drain()
			return
		}
	}
}

// put writes one line. Nobody could be told of an error.
func (s *Scribe) put(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Scribe) drain() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

// count logs what was left out since the last time.
func (s *Scribe) count() {
	logger := slog.New(s.text)
	for _, left := range s.limits.leftOut() {
		logger.Warn("log lines left out", "kind", left.kind, "count", left.count, "why", "more than the rate of a kind")
	}
	if dropped := s.dropped.Swap(0); dropped > 0 {
		logger.Warn("log lines left out", "count", dropped, "why", "the reader is too slow")
	}
}

// Close writes what is queued, unless the reader stands still.
func (s *Scribe) Close() {
	s.once.Do(func() { close(s.closed) })
	select {
	case <-s.done:
	case <-time.After(closeTime):
	}
}

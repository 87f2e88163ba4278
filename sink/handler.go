package sink

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	// messageRate is the maximum number of lines per second with the same message.
	messageRate = 200
	// warningRate is the same limit for lines at level Warn and above.
	warningRate = 1000
)

// handler drops records that exceed the rate of their message, and records below
// level Warn while the queue is nearly full.
type handler struct {
	writer *Writer
	next   slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	isWarning := record.Level >= slog.LevelWarn
	if !h.writer.limiter.allow(record.Message, record.Time, isWarning) {
		return nil
	}
	if !isWarning && h.writer.isNearlyFull() {
		h.writer.dropped.Add(1)
		return nil
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{writer: h.writer, next: h.next.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{writer: h.writer, next: h.next.WithGroup(name)}
}

// rateLimiter counts the lines of each message in the current second.
type rateLimiter struct {
	mu     sync.Mutex
	counts map[string]*lineCount
}

// lineCount is the state of one message. dropped counts the lines over the limit
// since the last report.
type lineCount struct {
	second  int64
	written int
	dropped int64
}

// dropCount is the number of dropped lines of a message.
type dropCount struct {
	message string
	count   int64
}

func (l *rateLimiter) allow(message string, at time.Time, isWarning bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[message]
	if c == nil {
		c = &lineCount{}
		l.counts[message] = c
	}
	if second := at.Unix(); second != c.second {
		c.second, c.written = second, 0
	}
	rate := messageRate
	if isWarning {
		rate = warningRate
	}
	if c.written >= rate {
		c.dropped++
		return false
	}
	c.written++
	return true
}

// takeDropped returns the numbers of lines dropped since the last call, sorted by
// message, and resets them.
func (l *rateLimiter) takeDropped() []dropCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	var dropped []dropCount
	for message, c := range l.counts {
		if c.dropped > 0 {
			dropped = append(dropped, dropCount{message: message, count: c.dropped})
			c.dropped = 0
		}
	}
	slices.SortFunc(dropped, func(a, b dropCount) int { return cmp.Compare(a.message, b.message) })
	return dropped
}

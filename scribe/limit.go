package scribe

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	// kindRate is how many lines of a kind may be written in a second. A kind is the
	// text of a line.
	kindRate = 200
	// failureRate is the same for lines of failures.
	failureRate = 1000
)

// handler lets lines through as their kinds' rates allow.
type handler struct {
	scribe *Scribe
	next   slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	failure := record.Level >= slog.LevelWarn
	if !h.scribe.limits.allow(record.Message, record.Time, failure) {
		return nil
	}
	if !failure && h.scribe.isCrowded() {
		h.scribe.dropped.Add(1)
		return nil
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{scribe: h.scribe, next: h.next.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{scribe: h.scribe, next: h.next.WithGroup(name)}
}

// limits count the lines of each kind.
type limits struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

// kind counts the lines of one kind in the present second.
type kind struct {
	second  int64
	written int
	left    int64
}

// left is how many lines of a kind were left out.
type left struct {
	kind  string
	count int64
}

func (l *limits) allow(name string, at time.Time, failure bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{}
		l.kinds[name] = k
	}
	if second := at.Unix(); second != k.second {
		k.second, k.written = second, 0
	}
	rate := kindRate
	if failure {
		rate = failureRate
	}
	if k.written >= rate {
		k.left++
		return false
	}
	k.written++
	return true
}

// leftOut returns what was left out since the last call, by kind.
func (l *limits) leftOut() []left {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []left
	for name, k := range l.kinds {
		if k.left > 0 {
			all = append(all, left{kind: name, count: k.left})
			k.left = 0
		}
	}
	slices.SortFunc(all, func(a, b left) int { return cmp.Compare(a.kind, b.kind) })
	return all
}

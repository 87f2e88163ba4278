package sink

import (
	"context"
	"log/slog"
)

// handler drops records that exceed the rate of their message and reason, and records
// below level Warn while the queue is nearly full. Those of serving tasks have rates of
// their own.
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
	limiter := &h.writer.limiter
	if isServing(record) {
		limiter = &h.writer.servingLimiter
	}
	if !limiter.allow(record.Message, reasonOf(record), record.Time, isWarning) {
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

const (
	// reasonKey is the key of the reason in lines that have one.
	reasonKey = "why"
	// servingKey is the key of whether a line is about a serving task, in lines about
	// tasks of all sorts.
	servingKey = "serving"
)

// isServing reports whether a record is about a serving task.
func isServing(record slog.Record) bool {
	serving := false
	record.Attrs(func(attr slog.Attr) bool {
		serving = attr.Key == servingKey && attr.Value.Kind() == slog.KindBool && attr.Value.Bool()
		return !serving
	})
	return serving
}

// reasonOf returns the reason in a record, or "" if it has none.
func reasonOf(record slog.Record) string {
	reason := ""
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key != reasonKey {
			return true
		}
		reason = attr.Value.Resolve().String()
		return false
	})
	return reason
}

package core

import (
	"io"
	"log"
	"log/slog"

	"github.com/go-logr/logr"
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// event.
func NewLogger(out io.Writer, node string) logr.Logger {
	handler := slog.NewTextHandler(out, nil)
	return logr.FromSlogHandler(handler).WithValues("node", node)
}

// StandardLog returns a standard library logger, for use by net/http, that writes
// to the given logger at level Warn. It returns nil for a logger that discards its
// output, so that net/http falls back to standard error.
func StandardLog(logger logr.Logger) *log.Logger {
	if logger.IsZero() {
		return nil
	}
	return slog.NewLogLogger(logr.ToSlogHandler(logger), slog.LevelWarn)
}

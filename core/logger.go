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

// StandardLog returns a logger of the standard library, such as net/http takes,
// whose lines become events of the given logger. For a logger that discards
// everything it is nil, so that net/http writes to standard error.
func StandardLog(logger logr.Logger) *log.Logger {
	if logger.IsZero() {
		return nil
	}
	return slog.NewLogLogger(logr.ToSlogHandler(logger), slog.LevelWarn)
}

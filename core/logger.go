package core

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// event.
func NewLogger(out io.Writer, node string) logr.Logger {
	handler := slog.NewTextHandler(out, nil)
	return logr.FromSlogHandler(handler).WithValues("node", node)
}

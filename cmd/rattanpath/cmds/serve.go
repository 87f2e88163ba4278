package cmds

import (
	"context"
	"log/slog"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/node"
)

// serveCommand runs an entry node until a signal stops it.
type serveCommand struct {
	core.Settings
}

// Run starts the node, waits for a signal and stops it gracefully.
func (c *serveCommand) Run(e *env) error {
	logger := core.NewLogger(e.errOut, c.Name)
	// Route log lines that libraries write to slog to the node's log.
	slog.SetDefault(slog.New(logr.ToSlogHandler(logger)))
	app := node.New(c.Settings, node.NewPlatform(c.Settings), logger)
	startCtx, cancel := context.WithTimeout(e.ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	<-e.ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}

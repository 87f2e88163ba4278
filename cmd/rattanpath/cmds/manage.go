package cmds

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/go-logr/logr"

	"rattanpath/engine"
	"rattanpath/platform"
	"rattanpath/sink"
)

// manageCommand runs a management node, which accepts jobs and runs them on the
// fleet.
type manageCommand struct {
	AdminPort int `help:"Port of the admin server; 0 selects the second internal port."`
	// Clients are the limits on clients.
	Clients clientFlags `embed:"" group:"Limits on clients"`
}

// Run starts the node, waits for a signal and stops it gracefully.
func (c *manageCommand) Run(e *env) error {
	settings, err := c.readSettings()
	if err != nil {
		return err
	}
	logWriter := sink.New(e.out)
	defer logWriter.Close()
	logger := logWriter.Logger(settings.Name)
	slog.SetDefault(slog.New(logr.ToSlogHandler(logger)))
	app := engine.New(settings, platform.New(settings), logger)
	startCtx, cancel := context.WithTimeout(e.ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	c.waitForStop(e.ctx, settings, logger)
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}

// readSettings reads the settings file and applies the flags.
func (c *manageCommand) readSettings() (engine.Settings, error) {
	settings, err := platform.ReadSettings()
	if err != nil {
		return settings, err
	}
	if c.AdminPort != 0 {
		settings.AdminListen = net.JoinHostPort(settings.IP, strconv.Itoa(c.AdminPort))
	}
	settings.Clients, err = c.Clients.apply(settings.Clients)
	return settings, err
}

// waitForStop returns when ctx is done. On SIGHUP it reads the settings file again
// and logs whether a restart would change the settings.
func (c *manageCommand) waitForStop(ctx context.Context, settings engine.Settings, logger logr.Logger) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			reread, err := c.readSettings()
			if err != nil {
				logger.Error(err, "can't load the settings file; the current settings stay active")
				continue
			}
			logger.Info("settings file read again", "changed", reread != settings)
		case <-ctx.Done():
			return
		}
	}
}

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
	"rattanpath/scribe"
)

// manageCommand runs a node that takes jobs in and runs them on the fleet.
type manageCommand struct {
	AdminPort int `help:"Port on which operators are answered; 0 is the second of the internal ports."`
}

// Run starts the node, waits for a signal and stops it gracefully.
func (c *manageCommand) Run(e *env) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	if c.AdminPort != 0 {
		settings.AdminListen = net.JoinHostPort(settings.IP, strconv.Itoa(c.AdminPort))
	}
	lines := scribe.New(e.out)
	defer lines.Close()
	logger := lines.Logger(settings.Name)
	slog.SetDefault(slog.New(logr.ToSlogHandler(logger)))
	app := engine.New(settings, platform.New(settings), logger)
	startCtx, cancel := context.WithTimeout(e.ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	c.wait(e.ctx, settings, logger)
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}

// wait returns when the node is told to stop. At SIGHUP it reads the settings
// file again and says whether a restart would change anything.
func (c *manageCommand) wait(ctx context.Context, settings engine.Settings, logger logr.Logger) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			again, err := platform.ReadSettings()
			if err != nil {
				logger.Error(err, "the settings file can't be used; the settings stay")
				continue
			}
			again.AdminListen = settings.AdminListen
			logger.Info("settings file read again", "changed", again != settings)
		case <-ctx.Done():
			return
		}
	}
}

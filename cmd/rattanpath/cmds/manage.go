package cmds

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/engine"
	"rattanpath/platform"
	"rattanpath/sink"
)

// manageCommand runs a management node, which accepts jobs and runs them on the
// fleet.
type manageCommand struct {
	AdminPort int `help:"Port of the admin server; 0 selects the second internal port."`
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
	logWriter := sink.New(e.out)
	defer logWriter.Close()
	logger := logWriter.Logger(settings.Name)
	slog.SetDefault(slog.New(logr.ToSlogHandler(logger)))
	return runNode(e.ctx, engine.New(settings, platform.New(settings), logger), settings, logger)
}

// application is a node that can be started once.
type application interface {
	StartTimeout() time.Duration
	StopTimeout() time.Duration
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// runNode starts a node, waits until ctx is done and stops the node gracefully.
func runNode(ctx context.Context, app application, settings engine.Settings, logger logr.Logger) error {
	defer handleReloads(settings, logger)()
	startCtx, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}

// handleReloads reads the settings file again on each SIGHUP, and logs whether a restart would
// change the settings, until the returned function is called. From then on the signal is
// ignored, as the process is about to end: by default, it ends a process at once.
func handleReloads(settings engine.Settings, logger logr.Logger) (end func()) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { loopReloads(ctx, reload, settings, logger) })
	return func() {
		signal.Ignore(syscall.SIGHUP)
		cancel()
		wg.Wait()
	}
}

func loopReloads(ctx context.Context, reload <-chan os.Signal, settings engine.Settings, logger logr.Logger) {
	for {
		select {
		case <-reload:
			reread, err := platform.ReadSettings()
			if err != nil {
				logger.Error(err, "can't load the settings file; the current settings stay active")
				continue
			}
			reread.AdminListen = settings.AdminListen
			logger.Info("settings file read again", "changed", reread != settings)
		case <-ctx.Done():
			return
		}
	}
}

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
	// JudgeHosts is off by default since an owner that is short of processor time starts fewer
	// tasks with it.
	JudgeHosts bool `help:"Place tasks by the observed speed of hosts; takes processor time of owners."`
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
	return runNode(e.ctx, engine.New(settings, platform.New(settings), logger), &reloader{read: c.readSettings, settings: settings, logger: logger})
}

// application is a node that can be started once.
type application interface {
	StartTimeout() time.Duration
	StopTimeout() time.Duration
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// runNode starts a node, waits until ctx is done and stops the node gracefully.
func runNode(ctx context.Context, app application, reload *reloader) error {
	stopReloading := reload.start()
	defer stopReloading()
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

// readSettings reads the settings file and applies the flags.
func (c *manageCommand) readSettings() (engine.Settings, error) {
	settings, err := platform.ReadSettings()
	if err != nil {
		return settings, err
	}
	if c.AdminPort != 0 {
		settings.AdminListen = net.JoinHostPort(settings.IP, strconv.Itoa(c.AdminPort))
	}
	settings.JudgeHosts = c.JudgeHosts
	settings.Clients, err = c.Clients.apply(settings.Clients)
	return settings, err
}

// reloader reads the settings file again on each SIGHUP, and logs whether a restart would change
// the settings.
type reloader struct {
	read     func() (engine.Settings, error)
	settings engine.Settings
	logger   logr.Logger
}

// start handles signals until the returned function is called. From then on the signal is
// ignored while the process ends: by default it would end the process at once.
func (r *reloader) start() (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.run(ctx, signals) })
	return func() {
		signal.Ignore(syscall.SIGHUP)
		cancel()
		wg.Wait()
	}
}

// run handles signals until ctx is done.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			reread, err := r.read()
			if err != nil {
				r.logger.Error(err, "can't load the settings file; the current settings stay active")
				continue
			}
			r.logger.Info("settings file read again", "changed", reread != r.settings)
		case <-ctx.Done():
			return
		}
	}
}

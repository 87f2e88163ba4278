package roster

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rattanpath/core"
)

func init() {
	core.Modules.Register("roster", fx.Module("roster",
		fx.Provide(newFromSettings, newMembers),
		fx.Invoke(start),
	))
}

func newFromSettings(settings core.Settings, lister Lister, logger logr.Logger) *Watcher {
	return New(lister, settings.RosterPoll, logger)
}

func newMembers(settings core.Settings) *Members {
	return NewMembers(settings.Name)
}

func start(loops *core.LoopGroup, watcher *Watcher) {
	loops.Go(watcher.Run)
}

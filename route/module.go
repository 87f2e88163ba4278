package route

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/roster"
)

func init() {
	core.Modules.Register("route", fx.Module("route",
		fx.Provide(newFromSettings),
		fx.Invoke(start),
	))
}

func newFromSettings(settings core.Settings, follower *follow.Follower, watcher *roster.Watcher, members *roster.Members, logger logr.Logger) (*Router, error) {
	newChooser, err := Choosers.Lookup(settings.Chooser)
	if err != nil {
		return nil, err
	}
	return New(settings.Name, follower, watcher, members, newChooser(), logger), nil
}

func start(loops *core.LoopGroup, router *Router) {
	loops.Go(router.Run)
}

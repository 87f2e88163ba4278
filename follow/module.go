package follow

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rattanpath/core"
)

func init() {
	core.Modules.Register("follow", fx.Module("follow",
		fx.Provide(newFromSettings),
		fx.Invoke(start),
	))
}

func newFromSettings(settings core.Settings, streams Streams, logger logr.Logger) *Follower {
	return New(streams, settings.LogWait, logger)
}

func start(loops *core.LoopGroup, follower *Follower, settings core.Settings, logger logr.Logger) {
	snapshotter := NewSnapshotter(follower, settings.SnapshotRecords, settings.SnapshotEvery, logger)
	loops.Go(follower.Run)
	loops.Go(snapshotter.Run)
}

package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	// The blank imports register the modules of an entry node.
	_ "rattanpath/admin"
	"rattanpath/core"
	"rattanpath/follow"
	_ "rattanpath/peer"
	_ "rattanpath/proxy"
	"rattanpath/remote"
	"rattanpath/roster"
	_ "rattanpath/route"
)

// stopMargin is added to linger and grace period to get the stop timeout.
const stopMargin = 5 * time.Second

// Platform holds the clients of the outside platform that a node uses.
type Platform struct {
	Streams follow.Streams
	Lister  roster.Lister
	// Traffic counts the bytes of the node's control traffic.
	Traffic *core.TrafficCounter
}

// NewPlatform returns HTTP clients of the platform at settings.Platform.
func NewPlatform(settings core.Settings) Platform {
	traffic := &core.TrafficCounter{}
	return Platform{
		Streams: NewStreams(settings.Platform, settings.Stream, settings.LogTimeout, traffic),
		Lister:  remote.NewHostList(settings.Platform, settings.LogTimeout, traffic),
		Traffic: traffic,
	}
}

// NewStreams returns HTTP clients of a fleet's record and snapshot streams.
// traffic may be nil.
func NewStreams(platform, stream string, timeout time.Duration, traffic *core.TrafficCounter) follow.Streams {
	return follow.Streams{
		Records:   remote.NewLog(platform, stream, timeout, traffic),
		Snapshots: remote.NewLog(platform, stream+follow.SnapshotSuffix, timeout, traffic),
	}
}

// New returns the application of an entry node; its Start and Stop methods run
// and stop the node.
func New(settings core.Settings, platform Platform, logger logr.Logger, extra ...fx.Option) *fx.App {
	options := []fx.Option{
		fx.NopLogger,
		fx.StopTimeout(settings.Linger + settings.ShutdownGrace + stopMargin),
		fx.Supply(settings, platform.Streams, platform.Traffic, metrics.NewSet()),
		fx.Provide(
			func() logr.Logger { return logger },
			func() roster.Lister { return platform.Lister },
			core.NewLoopGroup,
		),
	}
	options = append(options, core.Modules.All()...)
	options = append(options, extra...)
	return fx.New(options...)
}

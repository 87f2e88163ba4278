package core

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// LoopGroup runs the long-lived goroutines of a node from the start to the stop of
// its lifecycle.
type LoopGroup struct {
	loops  []func(context.Context)
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewLoopGroup returns an empty group that the lifecycle starts and stops.
func NewLoopGroup(lifecycle fx.Lifecycle) *LoopGroup {
	group := &LoopGroup{}
	lifecycle.Append(fx.Hook{OnStart: group.start, OnStop: group.stop})
	return group
}

// Go adds a function to run in a goroutine. Its context is cancelled when the
// lifecycle stops. Go must be called before the lifecycle starts.
func (l *LoopGroup) Go(loop func(context.Context)) {
	l.loops = append(l.loops, loop)
}

func (l *LoopGroup) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for _, loop := range l.loops {
		l.wg.Go(func() { loop(ctx) })
	}
	return nil
}

// stop cancels the context of all loops and waits for them to return. The wait
// is short, as a loop returns once its context is cancelled.
func (l *LoopGroup) stop(context.Context) error {
	l.cancel()
	l.wg.Wait()
	return nil
}

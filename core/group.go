package core

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// Loops runs the goroutines of a node's parts between the start and the stop
// of its lifecycle.
type Loops struct {
	runs   []func(context.Context)
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewLoops returns a group without loops.
func NewLoops(lifecycle fx.Lifecycle) *Loops {
	loops := &Loops{}
	lifecycle.Append(fx.Hook{OnStart: loops.start, OnStop: loops.stop})
	return loops
}

// Go adds a loop; its context ends at the stop. It must be called before the
// start.
func (l *Loops) Go(run func(context.Context)) {
	l.runs = append(l.runs, run)
}

func (l *Loops) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for _, run := range l.runs {
		l.wg.Go(func() { run(ctx) })
	}
	return nil
}

// stop ends every loop and waits for them. A loop ends when its context does,
// so the wait is short.
func (l *Loops) stop(context.Context) error {
	l.cancel()
	l.wg.Wait()
	return nil
}

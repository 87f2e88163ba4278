package gauge

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rattanpath/config"
	"rattanpath/load"
)

// Blocking is how short work fares beside more long work than a pool holds.
type Blocking struct {
	// Class is that of the route of the long work; Interactive is the
	// baseline, in which short and long work share one queue.
	Class config.Class
	// Alone, P50 and P99 are latencies of short work: the median without long
	// work, and with it.
	Alone, P50, P99 time.Duration
	// Short and Long count the whole answers to each, NotRun the refusals of
	// short work.
	Short, Long, NotRun int
}

const (
	blockRounds  = 3
	blockTime    = 4 * time.Second
	blockHosts   = 8
	blockNodes   = 2
	shortCallers = 16
	longCallers  = 96
	shortWork    = 10 * time.Millisecond
	longWork     = 500 * time.Millisecond
)

// MeasureBlocking plays short work beside long work, with the long work's route
// in the baseline's class and in its own in turn.
func MeasureBlocking(ctx context.Context) ([]*Blocking, error) {
	results := []*Blocking{{Class: config.Interactive}, {Class: config.Batch}}
	ledgers := make([]blockLedgers, len(results))
	for i := range results {
		ledgers[i] = blockLedgers{alone: load.NewRecorder(), short: load.NewRecorder(), long: load.NewRecorder()}
	}
	for range blockRounds {
		for i, result := range results {
			if err := playBlocking(ctx, result.Class, ledgers[i]); err != nil {
				return nil, err
			}
		}
	}
	for i, result := range results {
		result.Alone = ledgers[i].alone.Latency(50)
		result.P50 = ledgers[i].short.Latency(50)
		result.P99 = ledgers[i].short.Latency(99)
		result.Short = ledgers[i].short.Count(load.Complete)
		result.NotRun = ledgers[i].short.Count(load.NotRun)
		result.Long = ledgers[i].long.Count(load.Complete)
	}
	return results, nil
}

// blockLedgers keep what callers were told of short work without long work, and
// of both together.
type blockLedgers struct {
	alone, short, long *load.Recorder
}

func playBlocking(ctx context.Context, class config.Class, ledgers blockLedgers) error {
	files := Synthesize(blockHosts, 1, 1)
	files["90-long.yaml"] = fmt.Sprintf("Services:\n  s0:\n    Queue: {Limit: 1000, Wait: 20s}\n    Routes:\n      Long: {Path: /long, Idempotent: true, Class: %s}\n", class)
	f, err := startFleet(ctx, files, blockNodes, true)
	if f != nil {
		defer f.Close(context.WithoutCancel(ctx))
	}
	if err != nil {
		return err
	}
	short := load.RequestSpec{Service: "s0", Path: "/get", Idempotent: true, Work: shortWork, Size: 100}
	long := load.RequestSpec{Service: "s0", Path: "/long", Idempotent: true, Work: longWork, Size: 100}
	client := load.NewClient(time.Minute)
	callShort := load.Caller{Targets: f, Requests: []load.RequestSpec{short}, Recorder: ledgers.alone, Client: client}
	callLong := load.Caller{Targets: f, Requests: []load.RequestSpec{long}, Recorder: ledgers.long, Client: client}
	aloneCtx, cancel := context.WithTimeout(ctx, blockTime/4)
	defer cancel()
	callShort.Run(aloneCtx, shortCallers)
	callShort.Recorder = ledgers.short
	bothCtx, cancel := context.WithTimeout(ctx, blockTime)
	defer cancel()
	var callers sync.WaitGroup
	callers.Go(func() { callLong.Run(bothCtx, longCallers) })
	callers.Go(func() { callShort.Run(bothCtx, shortCallers) })
	callers.Wait()
	return nil
}

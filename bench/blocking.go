package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rattanpath/config"
	"rattanpath/load"
)

// BlockingResult holds the latency of short requests that share a pool with more
// long requests than the pool has slots (head-of-line blocking).
type BlockingResult struct {
	// Class is the class of the long requests' route. Interactive is the baseline,
	// in which short and long requests share one queue.
	Class config.Class
	// Alone is the median latency of short requests without long ones; P50 and P99
	// are percentiles with long ones.
	Alone, P50, P99 time.Duration
	// Short and Long count the complete responses to short and long requests, and
	// NotRun the refused short requests, all while both were sent.
	Short, Long, NotRun int
}

const (
	blockingRounds    = 3
	blockingRoundTime = 4 * time.Second
	blockingHosts     = 8
	blockingNodes     = 2
	shortCallers      = 16
	longCallers       = 96
	shortWork         = 10 * time.Millisecond
	longWork          = 500 * time.Millisecond
)

// MeasureBlocking measures short requests that are sent together with long ones.
// The long requests' route is alternately in class Interactive, the baseline, and
// in class Batch. It returns one result per class.
func MeasureBlocking(ctx context.Context) ([]*BlockingResult, error) {
	results := []*BlockingResult{{Class: config.Interactive}, {Class: config.Batch}}
	recorders := make([]blockingRecorders, len(results))
	for i := range results {
		recorders[i] = blockingRecorders{alone: load.NewRecorder(), short: load.NewRecorder(), long: load.NewRecorder()}
	}
	for range blockingRounds {
		for i, result := range results {
			if err := runBlockingRound(ctx, result.Class, recorders[i]); err != nil {
				return nil, err
			}
		}
	}
	for i, result := range results {
		result.Alone = recorders[i].alone.Latency(50)
		result.P50 = recorders[i].short.Latency(50)
		result.P99 = recorders[i].short.Latency(99)
		result.Short = recorders[i].short.Count(load.Complete)
		result.NotRun = recorders[i].short.Count(load.NotRun)
		result.Long = recorders[i].long.Count(load.Complete)
	}
	return results, nil
}

// blockingRecorders holds the results of short requests sent alone, and of short
// and long requests sent together.
type blockingRecorders struct {
	alone, short, long *load.Recorder
}

func runBlockingRound(ctx context.Context, class config.Class, recorders blockingRecorders) error {
	files := SyntheticFiles(blockingHosts, 1, 1)
	files["90-long.yaml"] = fmt.Sprintf("Services:\n  s0:\n    Queue: {Limit: 1000, Wait: 20s}\n    Routes:\n      Long: {Path: /long, Idempotent: true, Class: %s}\n", class)
	f, err := startFleet(ctx, files, blockingNodes, true)
	if f != nil {
		defer f.Close(context.WithoutCancel(ctx))
	}
	if err != nil {
		return err
	}
	short := load.RequestSpec{Service: "s0", Path: "/get", Idempotent: true, Work: shortWork, Size: 100}
	long := load.RequestSpec{Service: "s0", Path: "/long", Idempotent: true, Work: longWork, Size: 100}
	client := load.NewClient(time.Minute)
	shortCaller := load.Caller{Targets: f, Requests: []load.RequestSpec{short}, Recorder: recorders.alone, Client: client}
	longCaller := load.Caller{Targets: f, Requests: []load.RequestSpec{long}, Recorder: recorders.long, Client: client}
	aloneCtx, cancel := context.WithTimeout(ctx, blockingRoundTime/4)
	defer cancel()
	shortCaller.Run(aloneCtx, shortCallers)
	shortCaller.Recorder = recorders.short
	bothCtx, cancel := context.WithTimeout(ctx, blockingRoundTime)
	defer cancel()
	var callers sync.WaitGroup
	callers.Go(func() { longCaller.Run(bothCtx, longCallers) })
	callers.Go(func() { shortCaller.Run(bothCtx, shortCallers) })
	callers.Wait()
	return nil
}

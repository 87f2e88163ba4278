package engine

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"rattanpath/core"
)

const (
	// minGCPercent is how much the heap of a small node grows, in percent, between two
	// garbage collections, and maxGCPercent that of a busy one.
	minGCPercent = 100
	maxGCPercent = 300
	// busyHeap is the live heap in bytes from which on a node counts as busy.
	busyHeap = 16 << 20
	// heapShare is the share of the memory limit that the heap may take. The rest is left
	// to stacks and to memory outside the heap.
	heapShare = 0.4
	// memoryLimitShare is the share of the memory limit that the runtime may take before it
	// collects garbage more often. The rest is left to the program itself and to what the
	// runtime doesn't count.
	memoryLimitShare = 0.8
	// tuneInterval is the time between two looks at the heap.
	tuneInterval = time.Second
)

// gcTuner makes garbage collections rarer on a busy node while its memory allows it: each
// also reads the stacks of all goroutines, of which an owner has thousands.
type gcTuner struct {
	// memory is the memory limit of the node in bytes, 0 if unknown.
	memory  int64
	percent int
}

func newGCTuner(settings Settings) *gcTuner {
	return &gcTuner{memory: settings.MemoryLimit, percent: minGCPercent}
}

// loop adjusts the percentage until ctx ends.
func (t *gcTuner) loop(ctx context.Context) {
	if t.memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(t.memory)))
	}
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	for core.Sleep(ctx, tuneInterval) == nil {
		metrics.Read(sample)
		if percent := gcPercent(int64(sample[0].Value.Uint64()), t.memory); percent != t.percent {
			t.percent = percent
			debug.SetGCPercent(percent)
		}
	}
}

// gcPercent returns by how much a heap may grow between two garbage collections, for its
// live bytes and a memory limit in bytes.
func gcPercent(live, memory int64) int {
	if live < busyHeap {
		return minGCPercent
	}
	growth := heapShare*float64(memory)/float64(live) - 1
	return min(maxGCPercent, max(minGCPercent, int(100*growth)))
}

package owner

import (
	"context"
	"sync"
	"time"

	"rattanpath/core"
)

const (
	// initialWindow, minWindow and maxWindow bound the submissions in flight from one
	// node to the owner of a service.
	initialWindow = 16
	minWindow     = 1
	maxWindow     = 64
)

// window limits the submissions in flight to the owner of a service, since they hold
// whole jobs. It is halved when one gets no response in time, which means that the
// owner's link or the owner is overloaded, and grows by one once as many as fit into it
// have got theirs.
type window struct {
	mu       sync.Mutex
	size     float64
	inFlight int
	// halvedAt is when the size was last halved.
	halvedAt time.Time
	changed  core.Signal
}

func newWindow() *window { return &window{size: initialWindow} }

// acquire waits until a submission may be sent. It returns the context's error if the
// context ends first.
func (w *window) acquire(ctx context.Context) error {
	for {
		changed := w.changed.Changed()
		if w.tryAcquire() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *window) tryAcquire() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight >= int(w.size) {
		return false
	}
	w.inFlight++
	return true
}

// release ends a submission. Those that were sent before the window was last halved
// don't halve it again.
func (w *window) release(sent time.Time, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	switch {
	case answered:
		w.size = min(w.size+1/w.size, maxWindow)
	case sent.After(w.halvedAt):
		w.size = max(w.size/2, minWindow)
		w.halvedAt = time.Now()
	}
	w.changed.Notify()
}

package core

import (
	"context"
	"sync"
	"time"
)

// Signal notifies any number of waiting goroutines of a change. The zero value is
// ready to use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Changed returns a channel that is closed by the next call of Notify.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Notify wakes all waiting goroutines.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Sleep waits for d and returns nil, or returns the context's error if the context
// ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		// A timer of no length can crash the runtime under the race detector with paused time.
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

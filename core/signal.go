package core

import (
	"context"
	"sync"
	"time"
)

// Signal tells any number of waiters that something has changed. The zero
// value is ready for use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Changed returns a channel that is closed at the next Notify.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Notify tells everyone who waits.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Sleep waits for d and returns nil, or the error of a context that ends
// before.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

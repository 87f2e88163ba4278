package limit

import "sync/atomic"

// Slots is a lock-free counting semaphore whose limit is passed to each
// acquisition, so that it can change while slots are in use.
type Slots struct {
	used atomic.Int64
}

// TryAcquire acquires a slot if fewer than limit are in use.
func (s *Slots) TryAcquire(limit int64) bool {
	for {
		used := s.used.Load()
		if used >= limit {
			return false
		}
		if s.used.CompareAndSwap(used, used+1) {
			return true
		}
	}
}

// Release returns a slot.
func (s *Slots) Release() { s.used.Add(-1) }

// Used returns the number of slots in use.
func (s *Slots) Used() int64 { return s.used.Load() }

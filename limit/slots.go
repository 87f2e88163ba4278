package limit

import "sync/atomic"

// Slots counts the users of a bounded resource without a lock.
type Slots struct {
	used atomic.Int64
}

// TryTake takes a slot if fewer than limit are used.
func (s *Slots) TryTake(limit int64) bool {
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

// Release gives a slot back.
func (s *Slots) Release() { s.used.Add(-1) }

// Used returns the number of slots in use.
func (s *Slots) Used() int64 { return s.used.Load() }

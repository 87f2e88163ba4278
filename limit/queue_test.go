package limit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestQueueIsFirstComeFirstServed lets waiters come one by one and frees slots
// one by one.
func TestQueueIsFirstComeFirstServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue Queue
		var slots Slots
		slots.TryTake(1)
		var mu sync.Mutex
		var served []int
		for i := range 5 {
			go func() {
				if err := queue.Wait(t.Context(), 10, time.Minute, func() bool { return slots.TryTake(1) }); err != nil {
					t.Errorf("waiter %d: got %v, want a slot", i, err)
				}
				mu.Lock()
				served = append(served, i)
				mu.Unlock()
			}()
			synctest.Wait()
		}
		for range 5 {
			slots.Release()
			queue.Wake()
			synctest.Wait()
		}
		for i, got := range served {
			if got != i {
				t.Fatalf("got order %v, want that of arrival", served)
			}
		}
		if len(served) != 5 {
			t.Errorf("got %d served, want 5", len(served))
		}
	})
}

// TestQueueErrors checks what those are told who do not get a slot.
func TestQueueErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue Queue
		never := func() bool { return false }
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error, 2)
		go func() { results <- queue.Wait(ctx, 2, time.Minute, never) }()
		go func() { results <- queue.Wait(t.Context(), 2, time.Second, never) }()
		synctest.Wait()
		if err := queue.Wait(t.Context(), 2, time.Minute, never); !errors.Is(err, ErrFull) {
			t.Errorf("got %v, want %v", err, ErrFull)
		}
		if err := <-results; !errors.Is(err, ErrTimeout) {
			t.Errorf("got %v, want %v", err, ErrTimeout)
		}
		cancel()
		if err := <-results; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}
		if got := queue.Len(); got != 0 {
			t.Errorf("got %d waiters, want 0", got)
		}
	})
}

// TestCancelledWaveLosesNoSlot cancels thousands of waiters while slots are
// freed; whoever is left must get them.
func TestCancelledWaveLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue Queue
		var slots Slots
		slots.TryTake(1)
		take := func() bool { return slots.TryTake(1) }
		ctx, cancel := context.WithCancel(t.Context())
		const wave = 5000
		for range wave {
			go func() {
				if queue.Wait(ctx, wave+1, time.Hour, take) == nil {
					slots.Release()
					queue.Wake()
				}
			}()
		}
		synctest.Wait()
		served := make(chan error, 1)
		go func() { served <- queue.Wait(t.Context(), wave+1, time.Hour, take) }()
		synctest.Wait()
		go cancel()
		slots.Release()
		queue.Wake()
		if err := <-served; err != nil {
			t.Errorf("got %v for the waiter that stayed, want a slot", err)
		}
		if got := queue.Len(); got != 0 {
			t.Errorf("got %d waiters, want 0", got)
		}
	})
}

// TestSlotsNeverExceedTheLimit takes and releases from many goroutines.
func TestSlotsNeverExceedTheLimit(t *testing.T) {
	var slots Slots
	var takers sync.WaitGroup
	for range 8 {
		takers.Go(func() {
			for range 2000 {
				if !slots.TryTake(3) {
					continue
				}
				if got := slots.Used(); got > 3 {
					t.Errorf("got %d slots in use, want at most 3", got)
				}
				slots.Release()
			}
		})
	}
	takers.Wait()
	if got := slots.Used(); got != 0 {
		t.Errorf("got %d slots in use, want 0", got)
	}
}

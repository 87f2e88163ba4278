package limit

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestQueueIsFIFO queues waiters one by one, releases slots one by one, and
// checks that waiters are served in order of arrival.
func TestQueueIsFIFO(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue Queue
		var slots Slots
		slots.TryAcquire(1)
		var mu sync.Mutex
		var served []int
		for i := range 5 {
			go func() {
				if err := queue.Wait(t.Context(), 10, time.Minute, func() bool { return slots.TryAcquire(1) }); err != nil {
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
				t.Fatalf("got order %v, want order of arrival", served)
			}
		}
		if len(served) != 5 {
			t.Errorf("got %d waiters served, want 5", len(served))
		}
	})
}

// TestWaitErrors checks the errors for a full queue, a timeout and a cancelled
// context.
func TestWaitErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue Queue
		fail := func() bool { return false }
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error, 2)
		go func() { results <- queue.Wait(ctx, 2, time.Minute, fail) }()
		go func() { results <- queue.Wait(t.Context(), 2, time.Second, fail) }()
		synctest.Wait()
		if err := queue.Wait(t.Context(), 2, time.Minute, fail); !errors.Is(err, ErrFull) {
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

// TestMassCancellationLosesNoSlot cancels 5000 waiters while a slot is released.
// A cancelled waiter that was woken must pass the wake-up on, or the slot stays
// idle and the remaining waiter never gets it.
func TestMassCancellationLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue Queue
		var slots Slots
		slots.TryAcquire(1)
		tryAcquire := func() bool { return slots.TryAcquire(1) }
		ctx, cancel := context.WithCancel(t.Context())
		const cancelled = 5000
		for range cancelled {
			go func() {
				if queue.Wait(ctx, cancelled+1, time.Hour, tryAcquire) == nil {
					slots.Release()
					queue.Wake()
				}
			}()
		}
		synctest.Wait()
		served := make(chan error, 1)
		go func() { served <- queue.Wait(t.Context(), cancelled+1, time.Hour, tryAcquire) }()
		synctest.Wait()
		go cancel()
		slots.Release()
		queue.Wake()
		if err := <-served; err != nil {
			t.Errorf("got %v for the waiter that was not cancelled, want a slot", err)
		}
		if got := queue.Len(); got != 0 {
			t.Errorf("got %d waiters, want 0", got)
		}
	})
}

// TestSlotsNeverExceedLimit acquires and releases slots concurrently.
func TestSlotsNeverExceedLimit(t *testing.T) {
	var slots Slots
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 2000 {
				if !slots.TryAcquire(3) {
					continue
				}
				if got := slots.Used(); got > 3 {
					t.Errorf("got %d slots in use, want at most 3", got)
				}
				slots.Release()
			}
		})
	}
	workers.Wait()
	if got := slots.Used(); got != 0 {
		t.Errorf("got %d slots in use, want 0", got)
	}
}

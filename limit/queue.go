package limit

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by Queue.Wait.
var (
	// ErrFull is returned if the queue already holds the maximum number of
	// waiters.
	ErrFull = errors.New("queue is full")
	// ErrTimeout is returned if the waiter's timeout expires.
	ErrTimeout = errors.New("timed out waiting in queue")
)

// Queue is a FIFO queue of goroutines waiting for a resource. The zero value is
// an empty queue.
type Queue struct {
	waiting atomic.Int64
	mu      sync.Mutex
	waiters list.List
}

// waiter is an entry of the queue. Its wakeup channel holds a token while a
// wake-up is pending.
type waiter struct {
	wakeup chan struct{}
}

// Len returns the number of waiters.
func (q *Queue) Len() int64 { return q.waiting.Load() }

// Wait calls try until it returns true: immediately if the queue is empty, and
// then on each wake-up while the caller is at the head of the queue. It returns
// ErrFull if maxWaiters are already queued, ErrTimeout after timeout, or
// ctx.Err() if the context ends first.
func (q *Queue) Wait(ctx context.Context, maxWaiters int, timeout time.Duration, try func() bool) error {
	if q.Len() == 0 && try() {
		return nil
	}
	element, err := q.enqueue(maxWaiters)
	if err != nil {
		return err
	}
	err = q.waitTurn(ctx, element.Value.(*waiter), timeout, try)
	q.dequeue(element)
	return err
}

func (q *Queue) waitTurn(ctx context.Context, w *waiter, timeout time.Duration, try func() bool) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-w.wakeup:
			if try() {
				return nil
			}
		case <-timer.C:
			return ErrTimeout
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (q *Queue) enqueue(maxWaiters int) (*list.Element, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters.Len() >= maxWaiters {
		return nil, ErrFull
	}
	w := &waiter{wakeup: make(chan struct{}, 1)}
	if q.waiters.Len() == 0 {
		// A slot released before this waiter was queued woke nobody, so the
		// first waiter starts with a pending wake-up.
		w.wakeup <- struct{}{}
	}
	q.waiting.Add(1)
	return q.waiters.PushBack(w), nil
}

// dequeue removes a waiter and wakes the new head of the queue. This passes on a
// wake-up that the removed waiter has not used, and lets the next one try if more
// slots are free.
func (q *Queue) dequeue(element *list.Element) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters.Remove(element)
	q.waiting.Add(-1)
	q.wakeHead()
}

// Wake wakes the waiter at the head of the queue.
func (q *Queue) Wake() {
	if q.Len() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeHead()
}

func (q *Queue) wakeHead() {
	first := q.waiters.Front()
	if first == nil {
		return
	}
	select {
	case first.Value.(*waiter).wakeup <- struct{}{}:
	default:
	}
}

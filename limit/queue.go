package limit

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of Queue.Wait.
var (
	// ErrFull says that as many wait as are allowed to.
	ErrFull = errors.New("the queue is full")
	// ErrTimeout says that the longest wait has passed.
	ErrTimeout = errors.New("the wait in the queue timed out")
)

// Queue holds those who wait for a resource, first come, first served. The
// zero value is an empty queue.
type Queue struct {
	length  atomic.Int64
	mu      sync.Mutex
	waiters list.List
}

// waiter is one place in the queue; woken holds a token while the waiter has a
// wake-up that it has not acted on.
type waiter struct {
	woken chan struct{}
}

// Len returns the number of those who wait.
func (q *Queue) Len() int64 { return q.length.Load() }

// Wait calls try, at once if nobody waits and then after each Wake, until it
// succeeds. It returns ErrFull if limit others wait, ErrTimeout after wait, or
// the error of a context that ends before.
func (q *Queue) Wait(ctx context.Context, limit int, wait time.Duration, try func() bool) error {
	if q.Len() == 0 && try() {
		return nil
	}
	element, err := q.join(limit)
	if err != nil {
		return err
	}
	err = q.await(ctx, element.Value.(*waiter), wait, try)
	q.leave(element)
	return err
}

func (q *Queue) await(ctx context.Context, w *waiter, wait time.Duration, try func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	// A slot that was given back before the waiter joined woke nobody, so the
	// waiter starts with a wake-up.
	for {
		select {
		case <-w.woken:
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

func (q *Queue) join(limit int) (*list.Element, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters.Len() >= limit {
		return nil, ErrFull
	}
	w := &waiter{woken: make(chan struct{}, 1)}
	if q.waiters.Len() == 0 {
		w.woken <- struct{}{}
	}
	q.length.Add(1)
	return q.waiters.PushBack(w), nil
}

// leave takes a waiter out and hands on a wake-up: the one that it has not
// acted on, or that for whatever room is left after its success.
func (q *Queue) leave(element *list.Element) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters.Remove(element)
	q.length.Add(-1)
	q.wakeFirst()
}

// Wake lets the first waiter try again.
func (q *Queue) Wake() {
	if q.Len() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

func (q *Queue) wakeFirst() {
	first := q.waiters.Front()
	if first == nil {
		return
	}
	select {
	case first.Value.(*waiter).woken <- struct{}{}:
	default:
	}
}

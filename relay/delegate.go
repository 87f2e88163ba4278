package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/lease"
)

const (
	// exchangeInterval is the time between two batches to a delegate, and between two replies
	// from it while calls are frequent: one message for many calls costs little more than for one.
	exchangeInterval = 10 * time.Millisecond
	// exchangeTimeout is how long a delegate may take for a batch at most.
	exchangeTimeout = time.Second
	// maxBatchTime is how long a batch may be on its way before the delegate gets no more calls
	// until it has answered: it may be suspended or out of reach.
	maxBatchTime = 300 * time.Millisecond
	// openTimeout is how long a session may take to begin. Calls wait for it meanwhile, and are made
	// directly if it fails.
	openTimeout = 300 * time.Millisecond
	// maxStartWait is how long a start command may wait for a batch: it is meant for its host as that
	// was known when the command was made.
	maxStartWait = time.Second
	// maxBatchBytes is the size from which on further calls go into the next batch.
	maxBatchBytes = 128 << 10
	// maxDelegateIdle is how long a session is kept without calls.
	maxDelegateIdle = 3 * time.Second
)

// delegate is another node that calls hosts for this one. It gets calls and returns results in
// batches, in a session that ends with its first failure.
type delegate struct {
	client  *Client
	nodes   Nodes
	address string
	session uint64
	wake    chan struct{}

	mu sync.Mutex
	// open is set once the node has answered, and sentAt while a batch of calls is on its way.
	open   bool
	sentAt time.Time
	// starts holds the start commands that are not sent yet, and urgent the other calls, which go
	// first. pending holds the calls without a result by number, and last is the highest number.
	starts  []queuedCall
	urgent  []queuedCall
	pending map[uint64]chan outcome
	last    uint64
	// usedAt is when the last call was queued or got its result. ended is set once the session
	// has ended.
	usedAt time.Time
	ended  bool
}

// queuedCall is a call that is not sent yet, and the local time at which it was made.
type queuedCall struct {
	Call
	madeAt time.Duration
}

func newDelegate(client *Client, nodes Nodes, address string, session uint64) *delegate {
	return &delegate{
		client: client, nodes: nodes, address: address, session: session,
		wake: make(chan struct{}, 1), pending: make(map[uint64]chan outcome), usedAt: time.Now(),
	}
}

// isOpen reports whether the session is open.
func (d *delegate) isOpen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open && !d.ended
}

// takesCalls reports whether the session is open or begins, and the node answers in time.
func (d *delegate) takesCalls() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	answers := d.sentAt.IsZero() || time.Since(d.sentAt) < maxBatchTime
	return !d.ended && answers
}

// hasEnded reports whether the session has ended.
func (d *delegate) hasEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// call makes the node execute a request.
func (d *delegate) call(ctx context.Context, request *Request) (lease.HeartbeatReply, error) {
	number, done := d.enqueue(request)
	if done == nil {
		return lease.HeartbeatReply{}, errors.WithMessage(lease.ErrNotSent, "the session has ended")
	}
	select {
	case o := <-done:
		return o.reply, o.err
	case <-ctx.Done():
		d.forget(number)
		return lease.HeartbeatReply{}, ctx.Err()
	}
}

// enqueue queues a request. It returns the number of the call and a channel for its outcome, which
// is nil if the session has ended.
func (d *delegate) enqueue(request *Request) (uint64, <-chan outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return 0, nil
	}
	d.last++
	done := make(chan outcome, 1)
	d.pending[d.last] = done
	call := queuedCall{Call{Number: d.last, Request: *request}, d.client.clock()}
	if request.Start != nil {
		d.starts = append(d.starts, call)
	} else {
		d.urgent = append(d.urgent, call)
	}
	d.usedAt = time.Now()
	signal(d.wake)
	return d.last, done
}

// forget forgets a call that nobody waits for any more. It isn't sent if it has not been yet.
func (d *delegate) forget(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, number)
}

// run opens the session and sends batches until the session ends.
func (d *delegate) run() {
	if !d.exchange(&Batch{Session: d.session, First: true}, openTimeout) {
		return
	}
	d.setOpen()
	go d.loopCollect()
	for d.awaitCalls() {
		if batch := d.nextBatch(); len(batch.Calls) > 0 && !d.send(batch) {
			return
		}
		_ = core.Sleep(context.Background(), exchangeInterval)
	}
}

// send sends a batch of calls. It returns false once the session has ended.
func (d *delegate) send(batch *Batch) bool {
	d.setSentAt(time.Now())
	defer d.setSentAt(time.Time{})
	return d.exchange(batch, exchangeTimeout)
}

func (d *delegate) setSentAt(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sentAt = at
}

// loopCollect collects results until the session ends.
func (d *delegate) loopCollect() {
	for d.isOpen() {
		if !d.exchange(&Batch{Session: d.session, Wait: maxExchangeWait}, exchangeTimeout) {
			return
		}
		_ = core.Sleep(context.Background(), exchangeInterval)
	}
}

func (d *delegate) setOpen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = true
}

// awaitCalls waits until calls are queued. It returns false if the session has ended.
func (d *delegate) awaitCalls() bool {
	for {
		select {
		case <-d.wake:
			return d.isOpen()
		case <-time.After(maxDelegateIdle):
			if d.endIfIdle() {
				return false
			}
		}
	}
}

// endIfIdle ends the session if it has not been used for maxDelegateIdle, and reports whether it has
// ended.
func (d *delegate) endIfIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) == 0 && time.Since(d.usedAt) >= maxDelegateIdle {
		d.ended = true
	}
	return d.ended
}

// nextBatch removes the next calls from the queues.
func (d *delegate) nextBatch() *Batch {
	d.mu.Lock()
	defer d.mu.Unlock()
	batch := &Batch{Session: d.session}
	d.urgent = d.addCalls(batch, d.urgent)
	d.starts = d.addCalls(batch, d.starts)
	if len(d.urgent)+len(d.starts) > 0 {
		signal(d.wake)
	}
	return batch
}

// addCalls adds calls of a queue to a batch while it is small, and returns the rest. d.mu must be held.
func (d *delegate) addCalls(batch *Batch, queue []queuedCall) []queuedCall {
	size, now := batch.HeldBytes(), d.client.clock()
	for i, call := range queue {
		switch {
		case size >= maxBatchBytes:
			return queue[i:]
		case call.Request.Start != nil && now-call.madeAt > maxStartWait:
			d.end(call.Number, outcome{err: errors.WithMessage(lease.ErrNotSent, "the command has waited too long for a batch")})
		case d.pending[call.Number] != nil:
			batch.Calls = append(batch.Calls, call.Call)
			size += call.Request.HeldBytes()
		}
	}
	return nil
}

// exchange sends a batch and handles the results, for which the node has some time in addition to the
// wait in the batch. It returns false once the session has ended.
func (d *delegate) exchange(batch *Batch, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), batch.Wait+timeout)
	defer cancel()
	// A late reply may still be decoded into the results.
	results := &Results{}
	batch.Deadline = d.client.deadline(d.address)
	err := d.nodes.Exchange(ctx, d.address, batch, results)
	switch {
	case err != nil:
		d.fail(batch, sendError(err))
		return false
	case results.Unknown:
		d.fail(batch, errors.WithMessage(lease.ErrNotSent, "the node doesn't know the session"))
		return false
	}
	d.client.observeClock(d.address, results.Clock)
	if results.Busy {
		d.client.avoidNode(d.address)
	}
	d.deliver(results.Results)
	return true
}

// deliver passes results to those who wait for them.
func (d *delegate) deliver(results []Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range results {
		result := &results[i]
		reply, err := result.Response.result()
		d.end(result.Number, outcome{reply: reply, err: err})
	}
}

// end passes the outcome of a call to whoever waits for it. d.mu must be held.
func (d *delegate) end(number uint64, o outcome) {
	done := d.pending[number]
	if done == nil {
		return
	}
	delete(d.pending, number)
	done <- o
	if o.err == nil {
		d.client.delegated.Inc()
	}
}

// fail ends the session after a failed exchange of a batch. What was not sent yet fails with
// lease.ErrNotSent, the batch with err, and what was sent before as a call without a reply.
func (d *delegate) fail(batch *Batch, err error) {
	d.client.dropDelegate(d, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	signal(d.wake)
	for _, call := range slices.Concat(d.urgent, d.starts) {
		d.end(call.Number, outcome{err: errors.WithMessage(lease.ErrNotSent, err.Error())})
	}
	for _, call := range batch.Calls {
		d.end(call.Number, outcome{err: err})
	}
	for number := range d.pending {
		d.end(number, outcome{err: noReplyError{err.Error()}})
	}
}

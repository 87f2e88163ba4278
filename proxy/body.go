package proxy

import (
	"io"
	"sync"
	"sync/atomic"
)

// callerBody is the body of a caller's request, used for one attempt. It hides
// from net/http that the body may be replayable, so that net/http never retries
// a request on its own.
type callerBody struct {
	// mu serializes drain and reads by net/http, which may go on after the
	// response has arrived.
	mu     sync.Mutex
	reader io.Reader
	// readStarted is set by the first Read, reachedEOF when the body is read to
	// its end.
	readStarted atomic.Bool
	reachedEOF  atomic.Bool
	// readFailed is set if reading the body fails, for example because the
	// caller's connection broke.
	readFailed atomic.Bool
	// stopped makes further reads fail.
	stopped atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped.Load() {
		return 0, errAborted
	}
	n, err := b.reader.Read(p)
	switch {
	case err == io.EOF:
		b.reachedEOF.Store(true)
	case err != nil:
		b.readFailed.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It leaves the caller's body open.
func (b *callerBody) Close() error { return nil }

// stopReads makes further reads fail and reports whether none has started.
func (b *callerBody) stopReads() bool {
	b.stopped.Store(true)
	return !b.readStarted.Load()
}

// drain discards the part of the body that the upstream did not read, so that
// the caller's connection can be reused for the next request. It is bounded by
// the read deadline of the caller's connection.
func (b *callerBody) drain() {
	if b.reachedEOF.Load() {
		return
	}
	b.stopReads()
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = io.Copy(io.Discard, b.reader)
}

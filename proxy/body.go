package proxy

import (
	"io"
	"sync"
	"sync/atomic"
)

// callerBody is the body of a caller's request for one attempt. It hides from
// net/http that a body could be replayed, so that a request is never sent
// again behind the proxy's back.
type callerBody struct {
	// mu orders net/http, which may still read when the answer is there, and
	// drain.
	mu     sync.Mutex
	reader io.Reader
	// started says that bytes were asked for, and ended that the last one came.
	started atomic.Bool
	ended   atomic.Bool
	// failed says that the caller's connection broke within the body.
	failed atomic.Bool
	// stopped says that no byte may be read any more.
	stopped atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped.Load() {
		return 0, errSealed
	}
	n, err := b.reader.Read(p)
	switch {
	case err == io.EOF:
		b.ended.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer and leaves the caller's body open.
func (b *callerBody) Close() error { return nil }

// stop makes sure that no read begins from now on and reports whether none
// has begun.
func (b *callerBody) stop() bool {
	b.stopped.Store(true)
	return !b.started.Load()
}

// drain reads what the upstream left of the body, so that the caller's
// connection stands at the start of the next request. The caller's read
// deadline bounds it.
func (b *callerBody) drain() {
	if b.ended.Load() {
		return
	}
	b.stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = io.Copy(io.Discard, b.reader)
}

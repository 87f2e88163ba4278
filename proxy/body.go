package proxy

import (
	"io"
	"sync/atomic"
)

// States of a callerBody.
const (
	bodyUnread int32 = iota
	bodyStarted
	bodyStopped
)

// callerBody is the body of a caller's request for one attempt. It hides from
// net/http that a body could be replayed, so that a request is never sent
// again behind the proxy's back.
type callerBody struct {
	reader io.Reader
	state  atomic.Int32
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.state.CompareAndSwap(bodyUnread, bodyStarted)
	if b.state.Load() == bodyStopped {
		return 0, errSealed
	}
	return b.reader.Read(p)
}

// Close implements io.Closer and leaves the caller's body open.
func (b *callerBody) Close() error { return nil }

// stop makes sure that no byte is read from now on and reports whether none
// was.
func (b *callerBody) stop() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyStopped)
}

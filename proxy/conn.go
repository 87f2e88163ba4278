package proxy

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errAborted is returned by writes and body reads after the proxy has given up
// the attempt, so that its verdict stays correct.
var errAborted = errors.New("request aborted by the proxy")

// readBufferBytes is the size of the read buffer of net/http for a connection.
const readBufferBytes = 4 << 10

// conn is a connection to an upstream host. It records whether any byte of the
// current request was sent, and delays the request while unsolicited bytes may
// be left in the read buffer.
//
// A host may send surplus bytes after a response. If they arrive together with
// the response, net/http keeps them in its read buffer, and the next request on
// the connection would take them for its own response. The buffer is empty
// exactly when net/http reads from the connection with space for a whole buffer,
// so the first write of a request waits for such a read. A response that arrives
// before that belongs to no request.
type conn struct {
	net.Conn
	mu sync.Mutex
	// changed signals a change of readSpace or closed.
	changed sync.Cond
	// readSpace is the buffer size in bytes of the Read in progress, or 0 if
	// there is none.
	readSpace int
	// sent is set before the first byte of the current request is written.
	sent   bool
	closed bool
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.changed.L = &c.mu
	return c
}

// beginRequest resets the record of sent bytes for a new request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = false
}

// closeIfUnsent reports whether any byte of the current request may have been
// sent. If none was, it closes the connection, so that none can be sent later.
func (c *conn) closeIfUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sent {
		c.closed = true
		c.changed.Broadcast()
		_ = c.Conn.Close()
	}
	return c.sent
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.setReadSpace(len(p))
	defer c.setReadSpace(0)
	return c.Conn.Read(p)
}

func (c *conn) setReadSpace(readSpace int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readSpace = readSpace
	c.changed.Broadcast()
}

// Write sends data unless the connection is closed. The first Write of a request
// waits until the read buffer is known to be empty.
func (c *conn) Write(data []byte) (int, error) {
	if !c.waitToWrite() {
		return 0, errAborted
	}
	return c.Conn.Write(data)
}

// waitToWrite waits until the current request may be written, and reports false
// if the connection is closed first.
func (c *conn) waitToWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && !c.sent && c.readSpace < readBufferBytes {
		c.changed.Wait()
	}
	if c.closed {
		return false
	}
	c.sent = true
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// sendTracker records whether any byte of one request was sent, across the
// connections that net/http uses for it.
type sendTracker struct {
	mu      sync.Mutex
	current *conn
	// sentOnEarlierConn is set if bytes were sent on a connection before current.
	sentOnEarlierConn bool
}

// withTrace returns a context that reports the connections of the request to the
// tracker.
func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.current.closeIfUnsent() {
		t.sentOnEarlierConn = true
	}
	t.current, _ = info.Conn.(*conn)
	if t.current != nil {
		t.current.beginRequest()
	}
}

// closeIfUnsent reports whether any byte of the request may have been sent. If
// none was, it makes sure that none can be sent later.
func (t *sendTracker) closeIfUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return t.sentOnEarlierConn
	}
	return t.current.closeIfUnsent() || t.sentOnEarlierConn
}

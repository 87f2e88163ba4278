package proxy

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is what a write fails with after the verdict on it was given.
var errSealed = errors.New("the request on this connection was given up")

// conn is a connection to an upstream host that knows whether any byte of the
// request at hand was sent.
type conn struct {
	net.Conn
	mu     sync.Mutex
	sent   bool
	sealed bool
}

// begin starts the account of one request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = false
}

// seal ends the account: it reports whether any byte may have been sent, and
// if none was it makes sure that none will be.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sent {
		c.sealed = true
	}
	return c.sent
}

// Write sends data unless the connection is sealed.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.sent = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// exchange follows one request through the connections that it is given.
type exchange struct {
	mu      sync.Mutex
	current *conn
	// sentBefore says that bytes went out on an earlier connection.
	sentBefore bool
}

// withTrace returns a context under which the exchange learns its connections.
func (e *exchange) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn})
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil && e.current.seal() {
		e.sentBefore = true
	}
	e.current, _ = info.Conn.(*conn)
	if e.current != nil {
		e.current.begin()
	}
}

// seal reports whether any byte of the request may have been sent, and makes
// sure that none will be if none was.
func (e *exchange) seal() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return e.sentBefore
	}
	return e.current.seal() || e.sentBefore
}

package core

import (
	"context"
	"net"
	"sync/atomic"
)

// TrafficCounter counts the bytes of a node's control traffic: its calls to the
// platform and to other nodes. A nil counter wraps and dials connections without
// counting.
type TrafficCounter struct {
	received atomic.Int64
	sent     atomic.Int64
}

// Received returns the bytes received so far.
func (t *TrafficCounter) Received() int64 { return t.received.Load() }

// Sent returns the bytes sent so far.
func (t *TrafficCounter) Sent() int64 { return t.sent.Load() }

// Wrap returns a connection that adds its bytes to the counter.
func (t *TrafficCounter) Wrap(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, counter: t}
}

// Dial connects to an address and counts the bytes of the connection.
func (t *TrafficCounter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.Wrap(conn), nil
}

// countedConn is a connection that adds its bytes to a TrafficCounter.
type countedConn struct {
	net.Conn
	counter *TrafficCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

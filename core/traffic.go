package core

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a node sends and receives for control. A nil
// Traffic counts nothing.
type Traffic struct {
	received atomic.Int64
	sent     atomic.Int64
}

// Received returns the bytes received so far.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns the bytes sent so far.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Conn returns a connection whose bytes are counted.
func (t *Traffic) Conn(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: t}
}

// Dial connects to an address and counts the bytes.
func (t *Traffic) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.Conn(conn), nil
}

// countedConn is a connection that adds its bytes to a Traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

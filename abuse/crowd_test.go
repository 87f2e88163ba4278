package abuse

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"rattanpath/fake/stub"
)

const (
	// reconnectInterval is the time after which a client that was disconnected comes back.
	reconnectInterval = 500 * time.Millisecond
	// settleTime bounds the wait for clients that can't send all that they want to.
	settleTime = 5 * time.Second
	// dripInterval is the time between two bytes of a slow client.
	dripInterval = 100 * time.Millisecond
)

// target is an address and path of a node that clients misbehave at.
type target struct {
	name    string
	address string
	path    string
	// peer means that the address expects net/rpc, not HTTP.
	peer bool
}

// targets returns all kinds of addresses and paths of a node.
func (n *node) targets() []target {
	return []target{
		{name: "queue", address: n.Callers(), path: stub.QueuePrefix + jobID("abuse")},
		{name: "unknown", address: n.Callers(), path: "/nowhere"},
		{name: "ready", address: n.Health(), path: "/ready"},
		{name: "admin", address: n.Admin(), path: "/metrics"},
		{name: "peer", address: n.Peers(), peer: true},
	}
}

// behaviour sends what client i of a crowd sends over one connection. It calls settled
// when that is sent, and returns when the connection is of no more use.
type behaviour func(c *client) error

// client is one client of a crowd.
type client struct {
	net.Conn
	ctx    context.Context
	target target
	// number tells the clients of a crowd apart.
	number  int
	settled func()
}

// crowd is a number of clients that misbehave until it leaves.
type crowd struct {
	ctx     context.Context
	cancel  context.CancelFunc
	clients sync.WaitGroup
	settled sync.WaitGroup
}

// gather starts a crowd and waits until its clients have sent what they want to.
func gather(t *testing.T, size int, to target, behave behaviour) *crowd {
	t.Helper()
	c := &crowd{}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	t.Cleanup(c.leave)
	for i := range size {
		c.settled.Add(1)
		c.clients.Add(1)
		go c.run(i, to, behave)
	}
	settled := make(chan struct{})
	go func() {
		c.settled.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-time.After(settleTime):
	}
	return c
}

// leave ends all clients.
func (c *crowd) leave() {
	c.cancel()
	c.clients.Wait()
}

// run connects client i again and again until the crowd leaves.
func (c *crowd) run(i int, to target, behave behaviour) {
	defer c.clients.Done()
	settled := sync.OnceFunc(c.settled.Done)
	defer settled()
	for c.ctx.Err() == nil {
		dialer := net.Dialer{Timeout: settleTime}
		if conn, err := dialer.DialContext(c.ctx, "tcp", to.address); err == nil {
			stop := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
			_ = behave(&client{Conn: conn, ctx: c.ctx, target: to, number: i, settled: settled})
			stop()
			_ = conn.Close()
		}
		settled()
		c.sleep(reconnectInterval)
	}
}

// sleep waits for a time or until the crowd leaves.
func (c *crowd) sleep(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// hold keeps the connection open until the node closes it.
func (c *client) hold() error {
	c.settled()
	_, err := io.Copy(io.Discard, c.Conn)
	return err
}

// holdUnread keeps the connection open, and reads nothing, until the crowd leaves.
func (c *client) holdUnread() error {
	c.settled()
	<-c.ctx.Done()
	return c.ctx.Err()
}

// send writes data in one piece.
func (c *client) send(data []byte) error {
	_, err := c.Write(data)
	return err
}

// sendPieces writes data in pieces of a size, with a pause after each.
func (c *client) sendPieces(data []byte, size int, pause time.Duration) error {
	for len(data) > 0 {
		piece := data[:min(size, len(data))]
		if err := c.send(piece); err != nil {
			return err
		}
		data = data[len(piece):]
		if err := c.pause(pause); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for a time. It fails if the crowd leaves before.
func (c *client) pause(d time.Duration) error {
	select {
	case <-c.ctx.Done():
		return c.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

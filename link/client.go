package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls the methods of one server. It connects on the first call and
// reconnects after a failure.
type Client struct {
	address string
	dial    Dial
	mu      sync.Mutex
	client  *rpc.Client
}

// NewClient returns a client of the server at an address.
func NewClient(address string, dial Dial) *Client {
	return &Client{address: address, dial: dial}
}

// ConnectError means that the connection failed, so the call was not sent.
type ConnectError struct {
	Address string
	Err     error
}

// Error returns the address and the cause.
func (e *ConnectError) Error() string {
	return "connecting to " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// Call calls a method such as "Peer.Exchange". Errors returned by the method itself
// are of type rpc.ServerError. After any other error, including the end of ctx, Call
// closes the connection, since it may be dead.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return &ConnectError{Address: c.address, Err: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	var serverErr rpc.ServerError
	if err != nil && !errors.As(err, &serverErr) {
		c.closeConn(client)
	}
	return errors.Wrapf(err, "calling %s at %s", method, c.address)
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	conn, err := c.dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.client = rpc.NewClient(conn)
	return c.client, nil
}

// closeConn closes a connection and forgets it unless it has been replaced.
func (c *Client) closeConn(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
	}
	_ = client.Close()
}

// Close closes the connection, if any.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

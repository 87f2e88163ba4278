package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

// Dial connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls the process at one address. It connects when it is first needed
// and again after a failure.
type Client struct {
	address string
	dial    Dial
	mu      sync.Mutex
	client  *rpc.Client
}

// NewClient returns a client of the process at an address.
func NewClient(address string, dial Dial) *Client {
	return &Client{address: address, dial: dial}
}

// ConnectError says that no connection was made, so that the call was not sent.
type ConnectError struct {
	Address string
	Err     error
}

// Error names the address.
func (e *ConnectError) Error() string {
	return "connecting to " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the error of the connection.
func (e *ConnectError) Unwrap() error { return e.Err }

// Call calls a method such as "Peer.Exchange". A call that takes longer than ctx
// closes the connection, since it may have gone silent. Errors of the method
// itself are of type rpc.ServerError.
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

// closeConn gives up one connection; a newer one stays.
func (c *Client) closeConn(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
	}
	_ = client.Close()
}

// Close gives up the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

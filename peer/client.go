package peer

import (
	"context"

	"rattanpath/core"
	"rattanpath/link"
)

// Client calls one peer.
type Client interface {
	// Exchange sends a request and waits for the response.
	Exchange(ctx context.Context, request Request) (*Response, error)
	// Close closes the connection.
	Close()
}

// rpcClient calls a peer over net/rpc. It connects on first use.
type rpcClient struct {
	*link.Client
}

// NewClient returns a net/rpc client of the peer at address. Its bytes are
// counted in traffic.
func NewClient(address string, traffic *core.TrafficCounter) Client {
	return rpcClient{Client: link.NewClient(address, traffic.Dial)}
}

// Exchange implements Client. The connection is closed if ctx ends first or the
// call fails, except for an error that the peer's method returned.
func (c rpcClient) Exchange(ctx context.Context, request Request) (*Response, error) {
	response := new(Response)
	if err := c.Call(ctx, serviceName+".Exchange", request, response); err != nil {
		return nil, err
	}
	return response, nil
}

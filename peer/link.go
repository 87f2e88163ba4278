package peer

import (
	"context"

	"rattanpath/core"
	"rattanpath/link"
)

// Link asks one peer.
type Link interface {
	// Exchange asks the peer once.
	Exchange(ctx context.Context, request Request) (*Answer, error)
	// Close gives up the connection.
	Close()
}

// rpcLink is a connection over net/rpc, made when it is needed.
type rpcLink struct {
	*link.Client
}

// NewLink returns a link over net/rpc to the peer at an address, whose bytes
// are counted in traffic.
func NewLink(address string, traffic *core.TrafficCounter) Link {
	return rpcLink{Client: link.NewClient(address, traffic.Dial)}
}

// Exchange implements Link. A call that fails or takes longer than ctx
// closes the connection.
func (l rpcLink) Exchange(ctx context.Context, request Request) (*Answer, error) {
	answer := new(Answer)
	if err := l.Call(ctx, serviceName+".Exchange", request, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

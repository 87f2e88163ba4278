package peer

import (
	"context"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"rattanpath/core"
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
	address string
	traffic *core.Traffic
	mu      sync.Mutex
	client  *rpc.Client
}

// NewLink returns a link over net/rpc to the peer at an address, whose bytes
// are counted in traffic.
func NewLink(address string, traffic *core.Traffic) Link {
	return &rpcLink{address: address, traffic: traffic}
}

// Exchange implements Link. A call that fails or takes longer than ctx
// closes the connection.
func (l *rpcLink) Exchange(ctx context.Context, request Request) (*Answer, error) {
	client, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	answer := new(Answer)
	call := client.Go(serviceName+".Exchange", request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		l.Close()
		return nil, errors.Wrapf(err, "asking the peer at %s", l.address)
	}
	return answer, nil
}

func (l *rpcLink) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	conn, err := l.traffic.Dial(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to a peer")
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

// Close implements Link.
func (l *rpcLink) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}

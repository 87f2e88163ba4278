package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

// link is a connection to one peer, made when it is needed.
type link struct {
	address string
	mu      sync.Mutex
	client  *rpc.Client
}

// exchange asks the peer once. A call that fails or takes longer than ctx
// closes the connection.
func (l *link) exchange(ctx context.Context, request Request) (*Answer, error) {
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
		l.close()
		return nil, errors.Wrapf(err, "asking the peer at %s", l.address)
	}
	return answer, nil
}

func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to a peer")
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}

package relay

import (
	"context"
	"sync"

	"rattanpath/link"
)

// Peers are the other nodes, called over net/rpc on connections of their own. They implement
// Nodes.
type Peers struct {
	others func() []string
	dial   link.Dial

	mu    sync.Mutex
	links map[string]*link.Client
}

// NewPeers returns the nodes whose addresses others returns.
func NewPeers(others func() []string, dial link.Dial) *Peers {
	return &Peers{others: others, dial: dial, links: make(map[string]*link.Client)}
}

// Others implements Nodes.
func (p *Peers) Others() []string { return p.others() }

// Send implements Nodes.
func (p *Peers) Send(ctx context.Context, address string, request *Request, response *Response) error {
	return p.link(address).Call(ctx, RPCName+".Send", request, response)
}

// Exchange implements Nodes.
func (p *Peers) Exchange(ctx context.Context, address string, batch *Batch, results *Results) error {
	return p.link(address).Call(ctx, RPCName+".Exchange", batch, results)
}

func (p *Peers) link(address string) *link.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[address] == nil {
		p.links[address] = link.NewClient(address, p.dial)
	}
	return p.links[address]
}

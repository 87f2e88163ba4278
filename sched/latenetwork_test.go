package sched

import (
	"context"
	"errors"
	"sync"
	"time"

	"rattanpath/lease"
	"rattanpath/pool"
)

// formerLease is the longest lease of a host in these tests, much longer than what is granted.
const formerLease = 10 * time.Second

// lateNetwork is the network between nodes and hosts. Calls to a host that is down wait for it, and
// reach its next incarnation under the same ID even if their caller has given up.
type lateNetwork struct {
	mu    sync.Mutex
	paths map[string]*latePath
}

// latePath is the way to one host.
type latePath struct {
	// cut means that neither calls nor replies get through, mute that replies don't.
	cut  bool
	mute bool
	// held is not nil while calls wait, and closed once they are delivered.
	held chan struct{}
}

func newLateNetwork() *lateNetwork { return &lateNetwork{paths: make(map[string]*latePath)} }

func (n *lateNetwork) change(host string, change func(p *latePath)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paths[host] == nil {
		n.paths[host] = &latePath{}
	}
	change(n.paths[host])
}

func (n *lateNetwork) path(host string) latePath {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paths[host] == nil {
		return latePath{}
	}
	return *n.paths[host]
}

// hold makes calls to a host wait.
func (n *lateNetwork) hold(host string) {
	n.change(host, func(p *latePath) {
		if p.held == nil {
			p.held = make(chan struct{})
		}
	})
}

// release delivers the calls that wait.
func (n *lateNetwork) release(host string) {
	n.change(host, func(p *latePath) {
		if p.held != nil {
			close(p.held)
		}
		p.held = nil
	})
}

func (n *lateNetwork) setCut(host string, cut bool) {
	n.change(host, func(p *latePath) { p.cut, p.mute = cut, false })
}

// mute loses the replies of a host until it is cut off.
func (n *lateNetwork) mute(host string) { n.change(host, func(p *latePath) { p.mute = true }) }

// errLate is a timeout.
var errLate = errors.New("no reply in time")

// deliver delivers a call to a host and returns its reply within a timeout.
func deliver[Reply any](ctx context.Context, n *lateNetwork, host string, timeout time.Duration, call func(ctx context.Context) (Reply, error)) (Reply, error) {
	type result struct {
		reply Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		p := n.path(host)
		if p.held != nil {
			select {
			case <-p.held:
			case <-time.After(timeout):
				return
			}
		}
		if n.path(host).cut {
			return
		}
		reply, err := call(context.WithoutCancel(ctx))
		if p := n.path(host); !p.cut && !p.mute {
			done <- result{reply, err}
		}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-time.After(timeout):
	case <-ctx.Done():
	}
	var none Reply
	return none, errLate
}

// lateClient is a node's client of the hosts over a network.
type lateClient struct {
	network *lateNetwork
	hosts   lease.HostClient
}

// Start implements lease.HostClient.
func (c *lateClient) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	return deliver(ctx, c.network, host.ID, lease.ReplyTimeout, func(ctx context.Context) (lease.Reply, error) { return c.hosts.Start(ctx, host, command) })
}

// Stop implements lease.HostClient.
func (c *lateClient) Stop(ctx context.Context, host *pool.Host, command lease.StopCommand) (lease.Reply, error) {
	return deliver(ctx, c.network, host.ID, lease.ReplyTimeout, func(ctx context.Context) (lease.Reply, error) { return c.hosts.Stop(ctx, host, command) })
}

// Pace implements lease.HostClient.
func (c *lateClient) Pace(ctx context.Context, host *pool.Host, command lease.PaceCommand) (lease.Reply, error) {
	return deliver(ctx, c.network, host.ID, lease.ReplyTimeout, func(ctx context.Context) (lease.Reply, error) { return c.hosts.Pace(ctx, host, command) })
}

// Heartbeat implements lease.HostClient.
func (c *lateClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	return deliver(ctx, c.network, host.ID, lease.ReplyTimeout+heartbeat.Wait, func(ctx context.Context) (lease.HeartbeatReply, error) {
		return c.hosts.Heartbeat(ctx, host, heartbeat)
	})
}

// useLateNetwork makes all nodes call the hosts over a network that delivers calls late.
func (tc *testCluster) useLateNetwork() *lateNetwork {
	network := newLateNetwork()
	tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient { return &lateClient{network, hosts} }
	tc.configure = func(o *Options) { o.MaxLease = formerLease }
	for _, runner := range tc.runners {
		runner.SetLongestLease(formerLease)
	}
	return network
}

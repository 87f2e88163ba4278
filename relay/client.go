package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
)

const (
	// hopTimeout is added to the timeout of a command for the way to another node and back.
	hopTimeout = 500 * time.Millisecond
	// maxLag is by how much a call may exceed its timeout before this node counts as
	// overloaded: calls through others would only add to its work.
	maxLag = 100 * time.Millisecond
	// directInterval is the time between two direct calls to a host that is called through
	// another node.
	directInterval = 2 * time.Second
	// pathRetention is how long a host that isn't called is remembered.
	pathRetention = time.Minute
)

// Nodes are the other nodes.
type Nodes interface {
	// Others returns the addresses of the other nodes.
	Others() []string
	// Send makes the node at an address execute a request.
	Send(ctx context.Context, address string, request *Request, response *Response) error
	// Exchange sends a batch of calls to the node at an address.
	Exchange(ctx context.Context, address string, batch *Batch, results *Results) error
}

// Client calls hosts directly. While that fails, or this node has too many calls to make, other nodes
// make them. It implements lease.HostClient.
type Client struct {
	direct lease.HostClient
	clock  core.Clock
	logger logr.Logger
	// answered and failed count the calls through other nodes to hosts that this one doesn't reach,
	// and delegated those that delegates made.
	answered  *metrics.Counter
	failed    *metrics.Counter
	delegated *metrics.Counter

	mu sync.Mutex
	// nodes is nil until SetNodes.
	nodes    Nodes
	paths    map[string]*path
	prunedAt time.Duration
	// clocks are the clocks of the nodes, by address.
	clocks map[string]nodeClock
	// searches is the number of hosts that other nodes are being asked for.
	searches int
	spread   spread
}

// NewClient returns a client that calls hosts directly until SetNodes is called.
func NewClient(direct lease.HostClient, clock core.Clock, set *metrics.Set, logger logr.Logger) *Client {
	return &Client{
		direct: direct, clock: clock, logger: logger.WithName("relay"),
		answered:  set.NewCounter(`rattanpath_relay_calls_total{result="answered"}`),
		failed:    set.NewCounter(`rattanpath_relay_calls_total{result="failed"}`),
		delegated: set.NewCounter("rattanpath_relay_delegated_calls_total"),
		paths:     make(map[string]*path),
		clocks:    make(map[string]nodeClock),
		spread:    spread{seed: rand.Uint64()},
	}
}

// SetNodes sets the nodes that hosts can be called through.
func (c *Client) SetNodes(nodes Nodes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = nodes
}

// Start implements lease.HostClient.
func (c *Client) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	if r := c.route(host.ID); !r.isDirect() {
		if reply, done, err := c.callOn(ctx, r, host, Request{Start: &command}); done {
			return reply.Reply, err
		}
	}
	return c.direct.Start(ctx, host, command)
}

// Stop implements lease.HostClient.
func (c *Client) Stop(ctx context.Context, host *pool.Host, command lease.StopCommand) (lease.Reply, error) {
	if r := c.route(host.ID); !r.isDirect() {
		if reply, done, err := c.callOn(ctx, r, host, Request{Stop: &command}); done {
			return reply.Reply, err
		}
	}
	return c.direct.Stop(ctx, host, command)
}

// Pace implements lease.HostClient.
func (c *Client) Pace(ctx context.Context, host *pool.Host, command lease.PaceCommand) (lease.Reply, error) {
	if r := c.route(host.ID); !r.isDirect() {
		if reply, done, err := c.callOn(ctx, r, host, Request{Pace: &command}); done {
			return reply.Reply, err
		}
	}
	return c.direct.Pace(ctx, host, command)
}

// callOn makes the node of a route execute a request. It returns false if a delegate has not sent the
// command, so that this node may.
func (c *Client) callOn(ctx context.Context, r route, host *pool.Host, request Request) (lease.HeartbeatReply, bool, error) {
	if r.node != "" {
		request.Host = *host
		reply, err := c.callThrough(ctx, r.node, &request)
		return reply, true, err
	}
	begun := c.clock()
	request.Host = addressOf(host)
	reply, err := r.delegate.call(ctx, &request)
	if err == nil || ctx.Err() != nil {
		return reply, true, err
	}
	c.callDirectly(host.ID)
	late := c.clock()-begun > maxTransit
	return reply, late || !errors.Is(err, lease.ErrNotSent), err
}

// Heartbeat implements lease.HostClient. If a host doesn't answer directly, other nodes are asked
// meanwhile, and it is called through the first that reaches it.
func (c *Client) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	switch r := c.route(host.ID); {
	case r.node != "":
		c.retryDirect(ctx, host, heartbeat.Token)
		return c.heartbeatThrough(ctx, r.node, host, heartbeat)
	case r.delegate != nil:
		reply, done, err := c.callOn(ctx, r, host, Request{Heartbeat: &heartbeat})
		if err == nil {
			c.recordAnswer(host.ID)
		}
		if done {
			return reply, err
		}
		heartbeat.Wait, heartbeat.Acknowledged = 0, 0
	}
	sent := c.clock()
	reply, err := c.heartbeatDirectly(ctx, host, heartbeat)
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	if node := c.nodeFor(host.ID); node != "" {
		// What is acknowledged may be too old by now.
		heartbeat.Wait, heartbeat.Acknowledged = 0, 0
		return c.heartbeatThrough(ctx, node, host, heartbeat)
	}
	// The reply may have arrived at an overloaded node.
	overloaded := c.clock()-sent > heartbeat.Wait+lease.ReplyTimeout+maxLag
	if !overloaded || c.wasLate(host.ID, sent) {
		c.startSearch(ctx, host, heartbeat.Token)
	}
	return reply, err
}

// heartbeatDirectly sends a heartbeat directly, until another node is found that reaches the host.
func (c *Client) heartbeatDirectly(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	ctx, call := c.beginDirect(ctx, host.ID)
	reply, err := c.direct.Heartbeat(ctx, host, heartbeat)
	c.endDirect(host.ID, call, err == nil)
	return reply, err
}

// heartbeatThrough sends a heartbeat through a node, which is left if that fails.
func (c *Client) heartbeatThrough(ctx context.Context, node string, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	reply, err := c.callThrough(ctx, node, &Request{Host: *host, Heartbeat: &heartbeat})
	switch {
	case err == nil:
		c.recordAnswer(host.ID)
	case ctx.Err() == nil:
		c.leaveNode(host.ID, node, err)
		c.startSearch(ctx, host, heartbeat.Token)
	}
	return reply, err
}

// callThrough makes another node execute a request.
func (c *Client) callThrough(ctx context.Context, node string, request *Request) (lease.HeartbeatReply, error) {
	c.mu.Lock()
	nodes := c.nodes
	c.mu.Unlock()
	x := &exchange{client: c, nodes: nodes, address: node, request: request, done: make(chan outcome, 1)}
	go x.run(ctx)
	select {
	case o := <-x.done:
		return o.reply, o.err
	case <-ctx.Done():
		return lease.HeartbeatReply{}, ctx.Err()
	}
}

// exchange is a request to another node.
type exchange struct {
	client  *Client
	nodes   Nodes
	address string
	request *Request
	done    chan outcome
}

// outcome is the result of an exchange.
type outcome struct {
	address string
	reply   lease.HeartbeatReply
	err     error
}

// run makes the call. It doesn't end with ctx, because a call that ends early closes the
// connection to the node, which calls to other hosts use as well.
func (x *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.request.wait()+lease.ReplyTimeout+hopTimeout)
	defer cancel()
	o := outcome{address: x.address}
	var response Response
	request := *x.request
	request.Deadline = x.client.deadline(x.address)
	if err := x.nodes.Send(ctx, x.address, &request, &response); err != nil {
		// A late reply may still be decoded into the response.
		o.err = sendError(err)
		x.client.forgetClock(x.address)
	} else {
		x.client.observeClock(x.address, response.Clock)
		o.reply, o.err = response.result()
	}
	if o.err == nil {
		x.client.answered.Inc()
	} else {
		x.client.failed.Inc()
	}
	x.done <- o
}

// retryDirect sends a heartbeat directly, if that is due, to a host that is called through
// another node.
func (c *Client) retryDirect(ctx context.Context, host *pool.Host, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(host.ID)
	if now := c.clock(); now-p.directAt >= directInterval {
		p.directAt = now
		go (&directRetry{client: c, host: host, token: token}).run(context.WithoutCancel(ctx))
	}
}

// directRetry is a direct call to a host that is called through another node.
type directRetry struct {
	client *Client
	host   *pool.Host
	token  int64
}

// run makes the call, which asks for nothing but an answer.
func (r *directRetry) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.ReplyTimeout)
	defer cancel()
	if _, err := r.client.direct.Heartbeat(ctx, r.host, lease.Heartbeat{Token: r.token}); err == nil {
		r.client.returnToDirect(r.host.ID)
	}
}

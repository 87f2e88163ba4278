package relay

import (
	"context"
	"hash/fnv"
	"time"

	"rattanpath/lease"
	"rattanpath/pool"
)

const (
	// nodesAtOnce is how many nodes are asked at once for a host that is known to live.
	nodesAtOnce = 8
	// maxSearches limits the hosts that other nodes are asked for at once: a node whose link is
	// full reaches nobody.
	maxSearches = 16
	// unknownInterval is the time between two nodes that are asked for a host that may be gone.
	unknownInterval = time.Second
	// roundInterval is how long after all nodes were asked the first is asked again.
	roundInterval = 2 * time.Second
)

// search asks other nodes whether they reach a host.
type search struct {
	client *Client
	nodes  Nodes
	host   string
	token  int64
	// asked is set once a node was asked.
	asked bool
}

// startSearch asks other nodes for a host that hasn't answered, unless they are being asked.
func (c *Client) startSearch(ctx context.Context, host *pool.Host, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(host.ID)
	p.host = host
	if c.nodes == nil || p.searching || p.node != "" || c.searches >= maxSearches {
		return
	}
	p.searching = true
	c.searches++
	go (&search{client: c, nodes: c.nodes, host: host.ID, token: token}).run(context.WithoutCancel(ctx))
}

// run asks the nodes that are next in turn until one reaches the host. It asks all of them if
// the host is known to live, and at most one otherwise.
func (s *search) run(ctx context.Context) {
	defer s.end()
	for {
		host, nodes := s.take()
		if len(nodes) == 0 || s.ask(ctx, host, nodes) {
			return
		}
		s.asked = true
	}
}

// ask asks nodes at once, and calls the host through the first that gets an answer. It reports
// whether there is one.
func (s *search) ask(ctx context.Context, host *pool.Host, nodes []string) bool {
	request := &Request{Host: *host, Heartbeat: &lease.Heartbeat{Token: s.token}}
	done := make(chan outcome, len(nodes))
	for _, node := range nodes {
		x := &exchange{client: s.client, nodes: s.nodes, address: node, request: request, done: done}
		go x.run(ctx)
	}
	for range nodes {
		if o := <-done; o.err == nil {
			s.client.useNode(s.host, o.address)
			return true
		}
	}
	return false
}

// take returns the host as its newest record describes it, and the nodes to ask now.
func (s *search) take() (*pool.Host, []string) {
	others := s.nodes.Others()
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	p, now := c.path(s.host), c.clock()
	if p.next >= len(others) && now-p.askedAt >= roundInterval {
		p.next = 0
	}
	count := min(s.nextCount(p, now), len(others)-p.next)
	var nodes []string
	for i := range count {
		nodes = append(nodes, others[(firstNode(s.host, len(others))+p.next+i)%len(others)])
	}
	if count > 0 {
		p.next, p.askedAt = p.next+count, now
	}
	return p.host, nodes
}

// nextCount returns how many nodes to ask now, if there are as many.
func (s *search) nextCount(p *path, now time.Duration) int {
	switch {
	case p.isAlive():
		return nodesAtOnce
	case s.asked || p.askedAt > 0 && now-p.askedAt < unknownInterval:
		return 0
	default:
		return 1
	}
}

// firstNode returns the index of the node that is asked first for a host, so that the hosts of
// an owner are spread over the nodes.
func firstNode(host string, count int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(host))
	return int(hash.Sum32() % uint32(count))
}

func (s *search) end() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.path(s.host).searching = false
	s.client.searches--
}

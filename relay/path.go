package relay

import (
	"context"
	"time"

	"rattanpath/pool"
)

// path is how a host is called. Times are local.
type path struct {
	// host is as it was when it last didn't answer, nil if it always did.
	host *pool.Host
	// node is the address of the node that the host is called through, "" if it is called
	// directly.
	node string
	// answeredAt is when the host last answered, 0 if never.
	answeredAt time.Duration
	// lateAt is when a call first ended too late to tell that the host didn't answer, 0 if none did
	// since it last answered.
	lateAt time.Duration
	// directAt is when a host that is called through a node was last called directly.
	directAt time.Duration
	// directUntil is until when the host isn't called through a delegate.
	directUntil time.Time
	// searching is set while other nodes are asked. next counts those that were asked in this
	// round, and askedAt is when the last were, 0 if none was.
	searching bool
	next      int
	askedAt   time.Duration
	// usedAt is when the host was last called.
	usedAt time.Duration
	// direct are the direct heartbeats in progress, which end once a node is found.
	direct map[*directCall]bool
}

// directCall is a direct heartbeat in progress.
type directCall struct {
	cancel context.CancelFunc
}

// path returns the path to a host, which is created if missing. c.mu must be held.
func (c *Client) path(host string) *path {
	now := c.clock()
	c.prune(now)
	p := c.paths[host]
	if p == nil {
		p = &path{direct: make(map[*directCall]bool)}
		c.paths[host] = p
	}
	p.usedAt = now
	return p
}

// prune forgets the hosts that aren't called any more. c.mu must be held.
func (c *Client) prune(now time.Duration) {
	if now-c.prunedAt < pathRetention {
		return
	}
	c.prunedAt = now
	for host, p := range c.paths {
		if now-p.usedAt >= pathRetention && len(p.direct) == 0 {
			delete(c.paths, host)
		}
	}
}

// route is who calls a host: this node if nothing is set.
type route struct {
	// node is the address of the node that the host is called through because this one doesn't
	// reach it.
	node     string
	delegate *delegate
}

// isDirect reports whether this node calls the host.
func (r route) isDirect() bool { return r.node == "" && r.delegate == nil }

// route counts a call to a host and returns who makes it.
func (c *Client) route(host string) route {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countCall()
	p := c.paths[host]
	if p != nil && p.node != "" {
		return route{node: p.node}
	}
	return route{delegate: c.delegateFor(host, p)}
}

// nodeFor returns the address of the node that a host is called through, or "".
func (c *Client) nodeFor(host string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.paths[host]; p != nil {
		return p.node
	}
	return ""
}

// beginDirect returns the context of a direct heartbeat, which also ends once a node is found that
// reaches the host. endDirect must be called with the heartbeat.
func (c *Client) beginDirect(ctx context.Context, host string) (context.Context, *directCall) {
	ctx, cancel := context.WithCancel(ctx)
	call := &directCall{cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.path(host).direct[call] = true
	return ctx, call
}

// endDirect records the end of a direct heartbeat and whether it was answered.
func (c *Client) endDirect(host string, call *directCall, answered bool) {
	call.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(host)
	delete(p.direct, call)
	if answered {
		p.recordAnswer()
	}
}

// recordAnswer records that a host has answered.
func (c *Client) recordAnswer(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.path(host).recordAnswer()
}

// recordAnswer records that the host, which has just been looked up, has answered.
func (p *path) recordAnswer() { p.answeredAt, p.lateAt = p.usedAt, 0 }

// wasLate records that a direct call that was sent at a local time ended too late, and reports whether
// an earlier one had by then: a node that was suspended is late once, one that is short of processor
// time is always late, and its hosts may be unreachable all the same.
func (c *Client) wasLate(host string, sent time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(host)
	if p.lateAt == 0 {
		p.lateAt = c.clock()
		return false
	}
	return sent >= p.lateAt
}

// leaveNode calls a host no longer through a node, which has failed.
func (c *Client) leaveNode(host, node string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.path(host); p.node == node {
		p.node = ""
		c.logger.Info("host no longer reached through another node", "host", host, "through", node, "err", err.Error())
	}
}

// useNode calls a host through a node from now on.
func (c *Client) useNode(host, node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(host)
	var silent time.Duration
	if p.answeredAt > 0 {
		silent = p.usedAt - p.answeredAt
	}
	p.node, p.directAt = node, p.usedAt
	p.recordAnswer()
	for call := range p.direct {
		call.cancel()
	}
	c.logger.Info("host reached through another node", "host", host, "through", node, "silent", silent.Round(time.Millisecond))
}

// returnToDirect calls a host directly again.
func (c *Client) returnToDirect(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(host)
	p.recordAnswer()
	if p.node != "" {
		c.logger.Info("host reached directly again", "host", host, "through", p.node)
		p.node = ""
	}
}

// isAlive reports whether the host has written its record after it last answered this node.
func (p *path) isAlive() bool { return p.host.WrittenAfter > p.answeredAt }

package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadInterval is the time over which calls are counted.
	loadInterval = 250 * time.Millisecond
	// minSpreadTime is how long hosts are called through delegates at least, so that the calls of
	// one service don't go back and forth.
	minSpreadTime = 3 * time.Second
	// minDelegates is how many delegates there are at least, so that the failure of one delays few
	// calls.
	minDelegates = 3
	// avoidTime is how long a node that has failed or is busy isn't used as a delegate, and a host
	// that a delegate doesn't reach is called directly.
	avoidTime = 5 * time.Second
)

// spread is the state of the calls that are spread over other nodes. Client.mu guards it.
type spread struct {
	// limit is how many calls a second this node makes itself before it spreads them, 0 if there
	// is no limit.
	limit float64
	// calls counts the calls since begun.
	calls int
	begun time.Time
	// active is set while calls are spread, and highAt is when there were last too many.
	active bool
	highAt time.Time
	// delegates are the nodes in use, and avoided holds until when others are not used.
	delegates []*delegate
	avoided   map[string]time.Time
	// seed makes nodes choose different delegates.
	seed uint64
}

// SetDirectRate sets how many calls to hosts a second this node makes itself. While it has more to
// make, other nodes make them. 0 means that there is no limit.
func (c *Client) SetDirectRate(callsPerSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spread.limit = callsPerSecond
}

// Spreads reports whether this node has so many calls to make that others make them.
func (c *Client) Spreads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSpread(time.Now())
	return c.spread.active
}

// countCall counts a call. c.mu must be held.
func (c *Client) countCall() {
	if c.spread.limit == 0 {
		return
	}
	c.spread.calls++
	c.updateSpread(time.Now())
}

// updateSpread decides whether calls are spread, and over which nodes: at the end of each interval, and
// once there are as many calls in one as this node makes in it. c.mu must be held.
func (c *Client) updateSpread(now time.Time) {
	s := &c.spread
	elapsed := now.Sub(s.begun)
	tooMany := float64(s.calls) > s.limit*loadInterval.Seconds()
	if elapsed < loadInterval && (s.active || !tooMany) {
		return
	}
	rate := float64(s.calls) / max(elapsed, loadInterval).Seconds()
	s.calls, s.begun = 0, now
	if rate > s.limit {
		s.highAt = now
	}
	active := !s.highAt.IsZero() && now.Sub(s.highAt) < minSpreadTime
	if active != s.active {
		s.active = active
		c.logger.Info("calls to hosts are spread over other nodes", "spread", active, "rate", int(rate), "limit", int(s.limit))
	}
	if !active {
		s.delegates = nil
		return
	}
	c.chooseDelegates(rate, now)
}

// chooseDelegates chooses as many delegates as a rate of calls needs if none is to make more calls than
// this node would. c.mu must be held.
func (c *Client) chooseDelegates(rate float64, now time.Time) {
	s := &c.spread
	if c.nodes == nil {
		return
	}
	nodes := slices.DeleteFunc(c.nodes.Others(), func(address string) bool { return now.Before(s.avoided[address]) })
	slices.SortFunc(nodes, func(a, b string) int { return cmp.Compare(s.rank(a), s.rank(b)) })
	count := max(minDelegates, len(s.delegates), int(rate/s.limit)+1)
	nodes = nodes[:min(count, len(nodes))]
	known := make(map[string]*delegate)
	for _, d := range s.delegates {
		known[d.address] = d
	}
	s.delegates = nil
	for _, address := range nodes {
		d := known[address]
		if d == nil || d.hasEnded() {
			d = newDelegate(c, c.nodes, address, rand.Uint64())
			go d.run()
		}
		s.delegates = append(s.delegates, d)
	}
}

// rank returns the place of a node in the order in which this one chooses delegates.
func (s *spread) rank(address string) uint64 { return xxhash.Sum64String(address) ^ s.seed }

// delegateFor returns the delegate that calls a host with a path, which may be nil, or nil if this
// node calls it. c.mu must be held.
func (c *Client) delegateFor(host string, p *path) *delegate {
	s := &c.spread
	if !s.active || len(s.delegates) == 0 {
		return nil
	}
	if p != nil && time.Now().Before(p.directUntil) {
		return nil
	}
	d := s.delegates[xxhash.Sum64String(host)%uint64(len(s.delegates))]
	if !d.takesCalls() {
		return nil
	}
	return d
}

// avoidNode uses a node as a delegate no more for some time.
func (c *Client) avoidNode(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spread.avoid(address)
}

// avoid uses a node as a delegate no more for some time. Client.mu must be held.
func (s *spread) avoid(address string) {
	if s.avoided == nil {
		s.avoided = make(map[string]time.Time)
	}
	s.avoided[address] = time.Now().Add(avoidTime)
	s.delegates = slices.DeleteFunc(s.delegates, func(d *delegate) bool { return d.address == address })
}

// dropDelegate uses a delegate no more whose session has failed.
func (c *Client) dropDelegate(d *delegate, err error) {
	c.forgetClock(d.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spread.avoid(d.address)
	c.logger.Info("node no longer calls hosts for this one", "address", d.address, "err", err.Error())
}

// callDirectly calls a host itself for some time, because a delegate got no answer from it.
func (c *Client) callDirectly(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.path(host).directUntil = time.Now().Add(avoidTime)
}

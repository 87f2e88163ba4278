package relay

import "time"

const (
	// maxTransit is how long a request may take to another node: hosts take longer to restart.
	maxTransit = 500 * time.Millisecond
	// clockRetention is how long the best reading of a node's clock is used: clocks differ in speed.
	clockRetention = 5 * time.Second
)

// nodeClock is a lower bound of the difference between the clock of another node and this one's, and
// the local time at which it was found.
type nodeClock struct {
	ahead time.Duration
	at    time.Duration
}

// observeClock records a reading of a node's clock in a response that has just arrived, 0 if the node
// sends none.
func (c *Client) observeClock(node string, reading time.Duration) {
	if reading == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	known, found := c.clocks[node]
	if ahead := reading - now; !found || ahead >= known.ahead || now-known.at > clockRetention {
		c.clocks[node] = nodeClock{ahead, now}
	}
}

// forgetClock forgets the clock of a node, which may have restarted.
func (c *Client) forgetClock(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.clocks, node)
}

// deadline returns the reading of a node's clock until which a request sent now may be executed, 0 if
// that clock isn't known.
func (c *Client) deadline(node string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, found := c.clocks[node]; found {
		return c.clock() + known.ahead + maxTransit
	}
	return 0
}

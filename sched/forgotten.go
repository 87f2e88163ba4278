package sched

import "time"

// forgottenRetention is how long a cell remembers which fencing tokens it has used for a
// host that it has forgotten. A command without a response may take effect seconds later.
const forgottenRetention = 2 * time.Minute

// forgottenHost is what the cell remembers of a host that it has forgotten.
type forgottenHost struct {
	// restarts is the last value of host.restarts.
	restarts int64
	// forgottenAt is a local time.
	forgottenAt time.Duration
}

// forgetHost deletes the state of a host that has left the pool and has no runs. c.mu must
// be held.
func (c *Cell) forgetHost(h *host) {
	delete(c.hosts, h.id)
	c.speeds.Forget(h.id)
	c.forgotten[h.id] = forgottenHost{restarts: h.restarts, forgottenAt: c.options.Clock()}
}

// recallRestarts returns the initial value of host.restarts for a host. That of a host
// which returns is higher than before, because it may refuse a late command only if it has
// seen a higher token than that of the command.
func (c *Cell) recallRestarts(id string) int64 {
	forgotten, known := c.forgotten[id]
	if !known {
		return 0
	}
	delete(c.forgotten, id)
	return forgotten.restarts + 1
}

// expireForgotten deletes what is remembered of hosts beyond forgottenRetention.
func (c *Cell) expireForgotten() {
	now := c.options.Clock()
	for id, forgotten := range c.forgotten {
		if now-forgotten.forgottenAt > forgottenRetention {
			delete(c.forgotten, id)
		}
	}
}

package sched

import (
	"context"
	"maps"
	"slices"
)

// QueueList is which queues a cell holds jobs of.
type QueueList struct {
	Queues []string
	// ConfigVersion is the version of the node's configuration when the list was made. From
	// then on the cell accepts no new jobs of queues which that version assigns to another
	// service, unless the caller's node acts on a newer one.
	ConfigVersion int64
}

// isReassigned reports whether the node's configuration is newer than the caller's and
// assigns a queue to another service. c.mu must be held until a new job is added, so that
// Queues misses none.
func (c *Cell) isReassigned(key string, caller Caller) bool {
	if c.options.Config == nil {
		return false
	}
	config := c.options.Config()
	if config == nil || config.Version <= caller.ConfigVersion {
		return false
	}
	q := config.Queue(key)
	return q != nil && q.Policy.Service != c.options.Service
}

// Queues returns the queues that the cell holds jobs of, ended ones included, and confirms
// that this node owned the cell meanwhile.
func (c *Cell) Queues(ctx context.Context) (QueueList, error) {
	c.mu.Lock()
	var list QueueList
	if c.options.Config != nil {
		if config := c.options.Config(); config != nil {
			list.ConfigVersion = config.Version
		}
	}
	held := make(map[string]bool)
	for key := range c.jobs {
		held[key.Queue] = true
	}
	c.mu.Unlock()
	list.Queues = slices.Sorted(maps.Keys(held))
	return list, c.ConfirmOwnership(ctx)
}

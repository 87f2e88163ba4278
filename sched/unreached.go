package sched

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"rattanpath/store"
)

// unreachedRefreshInterval is the least time between two records of the same hosts.
const unreachedRefreshInterval = 500 * time.Millisecond

// unreachedHosts tracks the hosts that the stored record of leases lists although this owner
// goes on: the next one counts on it that their leases aren't renewed.
type unreachedHosts struct {
	// recorded holds the IDs of the hosts that are listed by the stored record, or by one whose
	// write is not confirmed.
	recorded map[string]bool
	// encodedAt is the local time at which the last record was encoded.
	encodedAt time.Duration
}

// isUnreached reports whether runs of a previous owner were on the host and this owner can't
// reach it. A host that is only slow to answer isn't counted: it would get its lease later.
func (c *Cell) isUnreached(h *host) bool {
	return len(h.runs) > 0 && !h.reached && (h.info == nil || h.missedHeartbeats > 0)
}

// unreachedLeases returns how long leases may still be valid on unreached hosts, by ID.
func (c *Cell) unreachedLeases(now time.Duration) map[string]time.Duration {
	remaining := make(map[string]time.Duration)
	if now-c.claimedAt <= firstReplyTime {
		return remaining
	}
	for id, h := range c.hosts {
		if c.isUnreached(h) {
			remaining[id] = max(0, c.inheritedLeaseEnd(h)-now)
		}
	}
	return remaining
}

// unreachedChanged reports whether a record of unreached hosts would list others than the last
// one.
func (c *Cell) unreachedChanged() bool {
	remaining := c.unreachedLeases(c.options.Clock())
	if len(remaining) != len(c.unreached.recorded) {
		return true
	}
	for id := range remaining {
		if !c.unreached.recorded[id] {
			return true
		}
	}
	return false
}

// requestUnreachedWrite requests a write if the stored record of unreached hosts has changed. c.mu
// must be held.
func (c *Cell) requestUnreachedWrite() {
	if c.unreachedChanged() {
		wake(c.writeWake)
	}
}

// withholdsLease reports whether the host must get no lease because the next owner would not wait
// for it.
func (c *Cell) withholdsLease(h *host) bool { return c.unreached.recorded[h.id] }

// takeUnreached returns the write that records the unreached hosts, or false if the stored record
// is recent enough. c.mu must be held.
func (c *Cell) takeUnreached() (jobWrite, bool) {
	now := c.options.Clock()
	remaining := c.unreachedLeases(now)
	isRecent := len(remaining) == 0 || now-c.unreached.encodedAt < unreachedRefreshInterval
	if isRecent && !c.unreachedChanged() {
		return jobWrite{}, false
	}
	record, err := c.encodeRemaining(remaining)
	if err != nil {
		c.logger.Error(err, "cannot write the unreached hosts")
		return jobWrite{}, false
	}
	listed := make(map[string]bool, len(remaining))
	for id := range remaining {
		listed[id] = true
	}
	c.unreached.encodedAt = now
	maps.Copy(c.unreached.recorded, listed)
	confirm := func() { c.unreachedPersisted(listed) }
	return jobWrite{writes: [][]store.Record{{record}}, onPersisted: []func(){confirm}}, true
}

// unreachedPersisted records that the stored record lists just these hosts: the loops of others
// no longer wait to grant leases.
func (c *Cell) unreachedPersisted(listed map[string]bool) {
	former := c.unreached.recorded
	c.unreached.recorded = listed
	for id := range former {
		if h := c.hosts[id]; h != nil && !listed[id] {
			wake(h.wake)
		}
	}
}

// encodeRemaining returns the record of how long leases may still be valid, by host.
func (c *Cell) encodeRemaining(remaining map[string]time.Duration) (store.Record, error) {
	value, err := json.Marshal(leaseRecord{Epoch: c.epoch, Remaining: remaining})
	return store.Record{Key: leasesKey, Value: value}, errors.Wrap(err, "encoding the unexpired leases")
}

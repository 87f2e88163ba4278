package route

import (
	"rattanpath/limit"
)

// Upstream is one entry node's view of a host. It is shared by successive
// tables, so that its count of requests in flight stays correct when the table
// is replaced.
type Upstream struct {
	Name    string
	Address string
	// Slots counts this node's requests in flight at the host.
	Slots  limit.Slots
	health health
}

// Target is an upstream host together with this node's share of its slots.
type Target struct {
	*Upstream
	// Share is the number of the host's slots that this node may use.
	Share int64
}

// Chooser selects the host of a request and acquires a slot there.
type Chooser interface {
	// Choose acquires a slot at a host other than exclude and returns the host,
	// or nil if no host has a free slot.
	Choose(targets []Target, exclude *Upstream) *Upstream
}

// tryAcquire acquires a slot unless the host is excluded, full or ejected.
func (t Target) tryAcquire(exclude *Upstream) bool {
	if t.Upstream == exclude || !t.Slots.TryAcquire(t.Share) {
		return false
	}
	if !t.health.allowRequest() {
		t.Slots.Release()
		return false
	}
	return true
}

// lessLoaded reports whether t has a smaller fraction of its share in use than
// other.
func (t Target) lessLoaded(other Target) bool {
	return t.Slots.Used()*other.Share < other.Slots.Used()*t.Share
}

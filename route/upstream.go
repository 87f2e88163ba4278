package route

import (
	"rattanpath/limit"
)

// Upstream is a host as one entry node sees it. It outlives the tables that
// refer to it, so that its count of requests in flight stays right.
type Upstream struct {
	Name    string
	Address string
	// Slots counts this node's requests in flight at the host.
	Slots  limit.Slots
	health health
}

// Target is an upstream with the number of its slots that this node may use.
type Target struct {
	*Upstream
	Share int64
}

// Chooser chooses the host of a request and takes a slot there.
type Chooser interface {
	// Choose returns a host other than exclude at which it took a slot, or nil
	// if none has room.
	Choose(targets []Target, exclude *Upstream) *Upstream
}

func (t Target) tryTake(exclude *Upstream) bool {
	if t.Upstream == exclude || !t.Slots.TryTake(t.Share) {
		return false
	}
	if !t.health.admits() {
		t.Slots.Release()
		return false
	}
	return true
}

// lessBusy reports whether a smaller part of this node's share is in use than
// of the other's.
func (t Target) lessBusy(other Target) bool {
	return t.Slots.Used()*other.Share < other.Slots.Used()*t.Share
}

package route

import (
	"rattanpath/limit"
)

// Upstream is a host as one entry node sees it. It outlives the tables that
// refer to it, so that its count of requests in flight stays right.
type Upstream struct {
	Name       string
	Address    string
	Rack       string
	DataCentre string
	// Slots counts this node's requests in flight at the host.
	Slots limit.Slots
}

// Chooser chooses the host of a request and takes a slot there.
type Chooser interface {
	// Choose returns a host other than exclude at which it took one of share
	// slots, or nil if none has room.
	Choose(upstreams []*Upstream, share int64, exclude *Upstream) *Upstream
}

func (u *Upstream) tryTake(share int64, exclude *Upstream) bool {
	return u != exclude && u.Slots.TryTake(share)
}

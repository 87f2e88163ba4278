package route

import (
	"math/rand/v2"
	"sync/atomic"

	"rattanpath/core"
)

// Choosers holds the plug-ins that choose the host of a request; each entry
// makes one for a node.
var Choosers = core.NewRegistry[func() Chooser]("chooser")

func init() {
	Choosers.Register("LeastOfTwo", func() Chooser { return LeastOfTwo{} })
	Choosers.Register("RoundRobin", func() Chooser { return &RoundRobin{} })
}

// LeastOfTwo takes the less busy of two hosts picked at random, and any other
// with room if both are full.
type LeastOfTwo struct{}

// Choose implements Chooser.
func (LeastOfTwo) Choose(upstreams []*Upstream, share int64, exclude *Upstream) *Upstream {
	if len(upstreams) == 0 {
		return nil
	}
	start := rand.IntN(len(upstreams))
	first, second := upstreams[start], upstreams[rand.IntN(len(upstreams))]
	if second.Slots.Used() < first.Slots.Used() {
		first, second = second, first
	}
	if first.tryTake(share, exclude) {
		return first
	}
	if second.tryTake(share, exclude) {
		return second
	}
	return scan(upstreams, start, share, exclude)
}

// scan returns the first host with room from a position on.
func scan(upstreams []*Upstream, start int, share int64, exclude *Upstream) *Upstream {
	for i := range upstreams {
		upstream := upstreams[(start+i)%len(upstreams)]
		if upstream.tryTake(share, exclude) {
			return upstream
		}
	}
	return nil
}

// RoundRobin takes the hosts in turn. It is the baseline of the other
// choosers.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Chooser.
func (r *RoundRobin) Choose(upstreams []*Upstream, share int64, exclude *Upstream) *Upstream {
	if len(upstreams) == 0 {
		return nil
	}
	start := int(r.next.Add(1) % uint64(len(upstreams)))
	return scan(upstreams, start, share, exclude)
}

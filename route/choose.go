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
func (LeastOfTwo) Choose(targets []Target, exclude *Upstream) *Upstream {
	if len(targets) == 0 {
		return nil
	}
	start := rand.IntN(len(targets))
	first, second := targets[start], targets[rand.IntN(len(targets))]
	if second.lessBusy(first) {
		first, second = second, first
	}
	if first.tryTake(exclude) {
		return first.Upstream
	}
	if second.tryTake(exclude) {
		return second.Upstream
	}
	return scan(targets, start, exclude)
}

// scan returns the first host with room from a position on.
func scan(targets []Target, start int, exclude *Upstream) *Upstream {
	for i := range targets {
		target := targets[(start+i)%len(targets)]
		if target.tryTake(exclude) {
			return target.Upstream
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
func (r *RoundRobin) Choose(targets []Target, exclude *Upstream) *Upstream {
	if len(targets) == 0 {
		return nil
	}
	start := int(r.next.Add(1) % uint64(len(targets)))
	return scan(targets, start, exclude)
}

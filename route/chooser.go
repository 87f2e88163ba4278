package route

import (
	"math/rand/v2"
	"sync/atomic"

	"rattanpath/core"
)

// Choosers is the registry of load-balancing plug-ins. Each entry is a
// constructor, called once per node.
var Choosers = core.NewRegistry[func() Chooser]("chooser")

func init() {
	Choosers.Register("LeastOfTwo", func() Chooser { return LeastOfTwo{} })
	Choosers.Register("RoundRobin", func() Chooser { return &RoundRobin{} })
}

// LeastOfTwo balances load by the power of two choices: it picks two hosts at
// random and prefers the less loaded one. If both are full, it uses any other
// host with a free slot.
type LeastOfTwo struct{}

// Choose implements Chooser.
func (LeastOfTwo) Choose(targets []Target, exclude *Upstream) *Upstream {
	if len(targets) == 0 {
		return nil
	}
	start := rand.IntN(len(targets))
	first, second := targets[start], targets[rand.IntN(len(targets))]
	if second.lessLoaded(first) {
		first, second = second, first
	}
	if first.tryAcquire(exclude) {
		return first.Upstream
	}
	if second.tryAcquire(exclude) {
		return second.Upstream
	}
	return firstAvailable(targets, start, exclude)
}

// firstAvailable acquires a slot at the first host with a free one, starting at
// index start and wrapping around. It returns nil if there is none.
func firstAvailable(targets []Target, start int, exclude *Upstream) *Upstream {
	for i := range targets {
		target := targets[(start+i)%len(targets)]
		if target.tryAcquire(exclude) {
			return target.Upstream
		}
	}
	return nil
}

// RoundRobin cycles through the hosts. It is the baseline that other choosers
// are compared with.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Chooser.
func (r *RoundRobin) Choose(targets []Target, exclude *Upstream) *Upstream {
	if len(targets) == 0 {
		return nil
	}
	start := int(r.next.Add(1) % uint64(len(targets)))
	return firstAvailable(targets, start, exclude)
}

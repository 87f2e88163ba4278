package peer

import (
	"slices"
	"time"
)

const (
	// startFanout is the number of peers that a node calls in a round while it
	// has no state or its peers may not have observed it yet.
	startFanout = 64
	// startInterval is the time between rounds until the peers have observed the
	// node.
	startInterval = 100 * time.Millisecond
	// startTimeout is how long a node without a state waits for unresponsive
	// peers.
	startTimeout = 3 * time.Second
	// joinTimeout is how long a node waits for all peers to observe it before it
	// accepts requests. The wait is bounded because the host list still shows a
	// stopped peer for a while.
	joinTimeout = time.Second
)

// observedByAll reports whether all peers have observed this node, so that they
// include it when they divide the hosts' slots, or joinTimeout has passed.
func (e *Exchanger) observedByAll(exchanges []*exchange) bool {
	if time.Since(e.started) >= joinTimeout {
		return true
	}
	failed := func(x *exchange) bool { return x.response == nil }
	return !e.rosterCache.Roster().ReadAt.IsZero() && !slices.ContainsFunc(exchanges, failed)
}

// canStartFrom reports whether a node that is not ready may serve from the
// state that it received from its peers. The log has precedence. While it
// fails, every peer must have responded or startTimeout must have passed, since
// the state of a partitioned peer may be old.
func (e *Exchanger) canStartFrom(exchanges []*exchange) bool {
	if !e.replica.LogFailing() {
		return false
	}
	failed := 0
	newest := int64(0)
	for _, x := range exchanges {
		switch {
		case x.response == nil:
			failed++
		case x.response.Ready:
			newest = max(newest, x.response.Next)
		}
	}
	if failed > 0 && time.Since(e.started) < startTimeout {
		return false
	}
	return newest > 0 && e.replica.State().Next >= newest
}

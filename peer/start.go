package peer

import (
	"slices"
	"time"
)

const (
	// startFanout is the number of peers asked in one round by a node that has
	// no state yet or that the others may not have heard of.
	startFanout = 64
	// startPause is the time between the rounds of such a node.
	startPause = 100 * time.Millisecond
	// startPatience is how long a node without a state waits for peers that
	// don't answer.
	startPatience = 3 * time.Second
	// joinPatience is how long a node waits for every peer to have heard of it
	// before it takes requests; a peer that is gone is still listed for a while.
	joinPatience = time.Second
)

// heardByAll reports whether every peer has heard of this node, so that they
// leave it its share of the hosts, or patience has run out.
func (e *Exchanger) heardByAll(questions []*question) bool {
	if time.Since(e.started) >= joinPatience {
		return true
	}
	unanswered := func(q *question) bool { return q.answer == nil }
	return !e.rosters.Roster().ReadAt.IsZero() && !slices.ContainsFunc(questions, unanswered)
}

// mayStartFrom reports whether a node without a state may serve from what its
// peers showed. The log goes first; while it fails, every peer must have
// answered, or patience must have run out, since a peer that is cut off may
// show an old state.
func (e *Exchanger) mayStartFrom(questions []*question) bool {
	if !e.states.LogFailing() {
		return false
	}
	silent := 0
	shown := int64(0)
	for _, q := range questions {
		switch {
		case q.answer == nil:
			silent++
		case q.answer.Ready:
			shown = max(shown, q.answer.Next)
		}
	}
	if silent > 0 && time.Since(e.started) < startPatience {
		return false
	}
	return shown > 0 && e.states.State().Next >= shown
}

package peer

import (
	"maps"
	"slices"
	"time"

	"rattanpath/core"
	"rattanpath/fold"
)

// States is this node's copy of the fleet's state.
type States interface {
	State() *fold.State
	Ready() bool
	SetReady()
	// LogFailing reports whether the last call of the log failed.
	LogFailing() bool
	// EntriesSince returns the records from an offset on if all are still kept.
	EntriesSince(next int64) ([]core.Entry, bool)
	// ApplyEntries folds records and Adopt takes a whole state, if they are newer.
	ApplyEntries(entries []core.Entry) error
	InstallState(state *fold.State)
}

// maxAnswerRecords bounds the records of one answer.
const maxAnswerRecords = 256

// Service answers peers over net/rpc.
type Service struct {
	node    string
	states  States
	rosters Rosters
	load    func() Load
	heard   func(Standing)
}

// standing returns where the node stands at a state.
func (s *Service) standing(state *fold.State) Standing {
	return Standing{
		Node:     s.node,
		Next:     state.Next,
		Digest:   state.Digest,
		Revision: state.Revision,
		Ready:    s.states.Ready(),
		Load:     s.load(),
	}
}

// Exchange answers one request; net/rpc gives it its shape.
func (s *Service) Exchange(request Request, answer *Answer) error {
	s.heard(request.Standing)
	state := s.states.State()
	answer.Standing = s.standing(state)
	if request.WantHosts {
		s.giveHosts(answer)
	}
	if request.Next >= state.Next {
		return nil
	}
	entries, kept := s.states.EntriesSince(request.Next)
	if kept {
		answer.Entries = entries[:min(len(entries), maxAnswerRecords)]
		return nil
	}
	data, err := state.Encode()
	if err != nil {
		return err
	}
	answer.State = data
	answer.Hash = fold.Hash(data)
	return nil
}

// giveHosts adds the host list if this node has read it itself.
func (s *Service) giveHosts(answer *Answer) {
	known := s.rosters.Roster()
	if known.ReadAt.IsZero() {
		return
	}
	answer.Hosts = slices.Collect(maps.Values(known.Hosts))
	answer.HostsAge = time.Since(known.ReadAt)
}

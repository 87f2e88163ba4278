package peer

import (
	"maps"
	"slices"
	"time"

	"rattanpath/core"
	"rattanpath/replay"
)

// Replica is this node's copy of the fleet's replicated state.
type Replica interface {
	State() *replay.State
	// Ready reports whether the node may serve from the state.
	Ready() bool
	SetReady()
	// LogFailing reports whether the last call to the log failed.
	LogFailing() bool
	// EntriesSince returns the records from offset next on, and false if some of them
	// are no longer kept.
	EntriesSince(next int64) ([]core.Entry, bool)
	// ApplyEntries applies the records that the state lacks.
	ApplyEntries(entries []core.Entry) error
	// InstallState installs a whole state if it is newer.
	InstallState(state *replay.State)
}

// maxResponseRecords is the maximum number of records in a response.
const maxResponseRecords = 256

// Service serves exchanges to peers over net/rpc.
type Service struct {
	node        string
	replica     Replica
	rosterCache RosterCache
	load        func() Load
	onStanding  func(Standing)
}

// standing returns the node's standing at the given state.
func (s *Service) standing(state *replay.State) Standing {
	return Standing{
		Node:     s.node,
		Next:     state.Next,
		Digest:   state.Digest,
		Revision: state.Revision,
		Ready:    s.replica.Ready(),
		Load:     s.load(),
	}
}

// Exchange serves one request. Its signature is the one that net/rpc requires.
// The response carries the records that the caller lacks, or the whole state if
// some of them are no longer kept.
func (s *Service) Exchange(request Request, response *Response) error {
	s.onStanding(request.Standing)
	state := s.replica.State()
	response.Standing = s.standing(state)
	if request.WantHosts {
		s.addHosts(response)
	}
	if request.Next >= state.Next {
		return nil
	}
	entries, available := s.replica.EntriesSince(request.Next)
	if available {
		response.Entries = entries[:min(len(entries), maxResponseRecords)]
		return nil
	}
	data, err := state.Encode()
	if err != nil {
		return err
	}
	response.State = data
	response.Hash = replay.Hash(data)
	return nil
}

// addHosts adds the host list and its age, unless this node never had one.
func (s *Service) addHosts(response *Response) {
	current := s.rosterCache.Roster()
	if current.ReadAt.IsZero() {
		return
	}
	response.Hosts = slices.Collect(maps.Values(current.Hosts))
	response.HostsAge = time.Since(current.ReadAt)
}

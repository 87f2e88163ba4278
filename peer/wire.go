package peer

import (
	"time"

	"rattanpath/core"
)

// serviceName is the name under which a node answers over net/rpc.
const serviceName = "Peer"

// Load is what a node has to do at the moment.
type Load struct {
	InFlight int64
	Waiting  int64
}

// Standing is where a node stands with the fleet's state.
type Standing struct {
	Node string
	// Next is the offset of the first record that the node has not folded, and
	// Digest the digest of those before.
	Next     int64
	Digest   uint64
	Revision int64
	Ready    bool
	Load     Load
}

// Request tells a peer where the asking node stands.
type Request struct {
	Standing
	// WantHosts asks for the host list, since the node can't read it.
	WantHosts bool
}

// Answer tells where the asked node stands, and carries what the asking node
// lacks: records, or else a whole state.
type Answer struct {
	Standing
	Entries []core.Entry
	// State is an encoded state and Hash its hash.
	State []byte
	Hash  string
	// Hosts is the host list as the asked node read it HostsAge ago, if it was
	// asked for.
	Hosts    []core.Host
	HostsAge time.Duration
}

// Known is what a node last heard of a peer.
type Known struct {
	Standing
	At time.Time
}

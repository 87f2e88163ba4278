package peer

import (
	"time"

	"rattanpath/core"
)

// serviceName is the name under which Service is registered with net/rpc.
const serviceName = "Peer"

// Load counts the requests at a node.
type Load struct {
	InFlight int64
	Waiting  int64
}

// Standing describes a node's load and how far its replica of the fleet's state
// has advanced. Messages embed it, so its name is part of their gob encoding.
type Standing struct {
	Node string
	// Next is the offset of the first record that the node has not applied, and
	// Digest is the digest of the records before it.
	Next     int64
	Digest   uint64
	Revision int64
	Ready    bool
	Load     Load
}

// Request carries the standing of the calling node.
type Request struct {
	Standing
	// WantHosts requests the host list, which the caller failed to read.
	WantHosts bool
}

// Response carries the standing of the called node and what the caller lacks:
// records, or a whole state if some of them are no longer kept.
type Response struct {
	Standing
	Entries []core.Entry
	// State is an encoded state and Hash is its hash.
	State []byte
	Hash  string
	// Hosts is the host list as it was read HostsAge ago, if it was requested.
	Hosts    []core.Host
	HostsAge time.Duration
}

// Observation is the last standing received from a peer.
type Observation struct {
	Standing
	// At is the time of its arrival.
	At time.Time
}

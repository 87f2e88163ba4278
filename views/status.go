package views

import "time"

// Paths of the admin API of an entry node. OutcomePath is followed by the ID of the
// publish request.
const (
	HealthPath  = "/health"
	StatusPath  = "/status"
	MetricsPath = "/metrics"
	OutcomePath = "/outcomes/"
)

// Status is the status of an entry node.
type Status struct {
	Node       string
	DataCentre string
	// Ready reports whether the node accepts callers' requests.
	Ready bool
	// Stopping reports whether a graceful shutdown has started.
	Stopping bool
	// Revision is the revision of the node's active configuration; 0 means none.
	Revision int64
	// Next is the offset of the first record that the node has not applied.
	Next   int64
	Log    Source
	Roster Source
	// Diverged is the name of a peer that has applied the same records but has a
	// different state; empty if there is none.
	Diverged string `json:",omitempty"`
	InFlight int64
	Peers    []Peer
	Services []Service
}

// Source is the freshness of the data read from the log or the host list.
type Source struct {
	// Fresh reports whether the last read succeeded.
	Fresh bool
	// Age is the time since the last successful read; negative if there was none.
	Age time.Duration
	// Reason is the error of the last read; empty if it succeeded.
	Reason string `json:",omitempty"`
}

// Peer is the status that a peer last reported. Age is the time since then.
type Peer struct {
	Node     string
	Revision int64
	Next     int64
	InFlight int64
	Waiting  int64
	Age      time.Duration
}

// Service is the node's view of a service. Running and Waiting are numbers of
// requests.
type Service struct {
	Name    string
	Running int64
	Waiting int64
	// Hosts is the number of hosts eligible for new requests. Ejected is the number
	// of those that have failed and receive only probes.
	Hosts   int
	Ejected int
}

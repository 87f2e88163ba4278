package views

import "time"

// Paths of the admin address.
const (
	HealthPath  = "/health"
	StatusPath  = "/status"
	MetricsPath = "/metrics"
	OutcomePath = "/outcomes/"
)

// Status is the state of one entry node.
type Status struct {
	Node       string
	DataCentre string
	// Ready says whether the node takes requests.
	Ready bool
	// Stopping says that a graceful stop has begun.
	Stopping bool
	// Revision is the configuration in force at the node; 0 is none.
	Revision int64
	// Next is the offset of the first record that the node has not folded.
	Next   int64
	Log    Source
	Roster Source
	// Diverged names a peer that folded the same records into another state.
	Diverged string `json:",omitempty"`
	InFlight int64
	Peers    []Peer
	Services []Service
}

// Source tells how old the knowledge from a source is.
type Source struct {
	// Fresh says whether the last read succeeded.
	Fresh bool
	// Age is the time since the last successful read; negative if there was
	// none.
	Age time.Duration
	// Reason is the error of the last read.
	Reason string `json:",omitempty"`
}

// Peer is what the node last heard of a peer.
type Peer struct {
	Node     string
	Revision int64
	Next     int64
	InFlight int64
	Waiting  int64
	Age      time.Duration
}

// Service is how the node serves a service.
type Service struct {
	Name    string
	Running int64
	Waiting int64
	// Hosts is the number of hosts that may get new requests, and Ejected that
	// of those among them that get only probes because they failed.
	Hosts   int
	Ejected int
}

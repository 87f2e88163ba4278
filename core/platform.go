package core

// Role is the role of a host in the platform's host list.
type Role string

// Roles of hosts.
const (
	// RoleWorker is an upstream host that runs requests.
	RoleWorker Role = "Worker"
	// RoleEntry is an entry node: it forwards callers' requests to upstreams.
	RoleEntry Role = "Entry"
)

// HostState is the state of a host in the platform's host list.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// Host is one item of the platform's host list.
type Host struct {
	Name       string
	Role       Role
	State      HostState
	DataCentre string
	Rack       string
	// Address is the IP:port that accepts requests.
	Address string
	// PeerAddress is the IP:port that accepts net/rpc calls from other entry nodes;
	// empty for workers.
	PeerAddress string `json:",omitempty"`
	// AdminAddress is the IP:port that accepts operators' HTTP requests; empty for
	// workers.
	AdminAddress string `json:",omitempty"`
}

// Entry is one record of the platform's log.
type Entry struct {
	Offset int64
	Data   []byte
}

// LogBounds is the range of offsets that the platform's log holds.
type LogBounds struct {
	// First is the oldest readable offset.
	First int64
	// Next is the offset of the next append.
	Next int64
}

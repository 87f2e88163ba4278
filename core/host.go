package core

// Role says what a host of the platform's list is for.
type Role string

// The roles of hosts.
const (
	// RoleWorker is an upstream host that runs requests.
	RoleWorker Role = "Worker"
	// RoleEntry is a host of the system's own, between callers and upstreams.
	RoleEntry Role = "Entry"
)

// HostState is what the platform's list says of a host.
type HostState string

// The states of hosts in the platform's list.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// Host is one entry of the platform's list of hosts.
type Host struct {
	Name       string
	Role       Role
	State      HostState
	DataCentre string
	Rack       string
	// Address takes requests, as IP:port.
	Address string
	// PeerAddress takes net/rpc calls of other entry nodes; workers have none.
	PeerAddress string `json:",omitempty"`
	// AdminAddress takes operators' HTTP requests; workers have none.
	AdminAddress string `json:",omitempty"`
}

// Entry is one record of the platform's log.
type Entry struct {
	Offset int64
	Data   []byte
}

// Bounds are the limits of what the platform's log holds.
type Bounds struct {
	// First is the oldest offset that can still be read.
	First int64
	// Next is the offset that the next append gets.
	Next int64
}

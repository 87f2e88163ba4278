package engine

import (
	"time"

	"rattanpath/guard"
)

// Settings holds the settings of a node, independent of the platform's format.
type Settings struct {
	Name string
	// IP is the node's own address.
	IP string

	// CallerListen serves callers, HealthListen the load balancer's readiness check,
	// PeerListen the RPCs of other nodes and AdminListen operators. Each is IP:port.
	CallerListen string
	HealthListen string
	PeerListen   string
	AdminListen  string

	// Store, Cloud and Advisor are the addresses of the platform's services. Advisor
	// may be empty.
	Store   string
	Cloud   string
	Advisor string

	// Standby means that the node is too small to run cells while a regular node can.
	Standby bool
	// Partitions is the number of partitions of a topic.
	Partitions int
	// CallBytes is the largest size of a write to the store.
	CallBytes int
	// RecordBytes is the largest size of a record in the store, 0 if unknown.
	RecordBytes int
	// LinkRate is the bandwidth of the node's link in bytes per second, 0 if unknown.
	LinkRate int64
	// Cores is the processor time that the node has, in cores, 0 if unknown.
	Cores float64
	// MemoryLimit is the memory in bytes beyond which the node is killed, 0 if unknown.
	MemoryLimit int64
	// Clients are the limits on what clients can make the node hold. The zero value means
	// the defaults.
	Clients guard.Limits
	// MinMemberTTL is the lower bound of the TTL of a group membership.
	MinMemberTTL time.Duration

	// StopGrace is the time between the stop signal and the kill.
	StopGrace time.Duration
	// MaxLease is the longest lease that a host grants.
	MaxLease time.Duration
	// MaxRecordAge is how old a host's record may be when a run is started on it, 0 if
	// there is no limit.
	MaxRecordAge time.Duration
	// JudgeHosts makes cells judge hosts by their runs: they may be slow or unsteady while
	// they say that they are healthy.
	JudgeHosts bool
	// JobRetention is how long the status of an ended job must be available.
	JobRetention time.Duration
	// OrdersPerSecond is the number of orders for machines that the cloud accepts from
	// all nodes, 0 if unknown.
	OrdersPerSecond float64
	// MachineLease is how long a machine is reserved for the leader that last ordered
	// it: another leader must not order it within that time.
	MachineLease time.Duration
	// MoveDuration is how long moving a machine to another pool takes, and
	// MaintenanceDuration how long its maintenance takes.
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
}

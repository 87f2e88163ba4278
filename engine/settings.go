package engine

import "time"

// Settings are the settings of one node, however the platform gives them.
type Settings struct {
	Name string
	// IP is the node's own address.
	IP string

	// CallerListen takes callers' requests, HealthListen the balancer's question
	// whether the node is ready, PeerListen other nodes' calls and AdminListen
	// operators'; each is IP:port.
	CallerListen string
	HealthListen string
	PeerListen   string
	AdminListen  string

	// Store, Cloud and Advisor are the addresses of the platform's services. There
	// may be no advisor.
	Store   string
	Cloud   string
	Advisor string

	// Standby means that the node is too small to decide for services while others
	// can.
	Standby bool
	// Partitions is how many partitions a topic has.
	Partitions int
	// CallBytes bounds a write.
	CallBytes int
	// MinMemberTTL is the shortest time after which a silent member of a group
	// loses its share.
	MinMemberTTL time.Duration

	// StopGrace is the time from the signal to stop to the kill.
	StopGrace time.Duration
	// MaxLease is the longest lease that a host grants.
	MaxLease time.Duration
	// JobRetention is how long an ended job must be known.
	JobRetention time.Duration
	// MachineLease is the time in which two holders must not take turns with one
	// machine.
	MachineLease        time.Duration
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
}

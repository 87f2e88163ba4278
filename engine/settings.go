package engine

import "time"

// Settings are the settings of one node, however the platform gives them.
type Settings struct {
	Name       string
	DataCentre string

	// CallerListen takes callers' requests, HealthListen the balancer's question
	// whether the node is ready, PeerListen other nodes' calls and AdminListen
	// operators'; each is IP:port.
	CallerListen string
	HealthListen string
	PeerListen   string
	AdminListen  string

	// Store, Cloud and Advisor are the addresses of the platform's services.
	Store   string
	Cloud   string
	Advisor string

	MemoryMB int
	// Partitions is how many partitions a topic has.
	Partitions int
	// RecordBytes and CallBytes bound a record and a write.
	RecordBytes int
	CallBytes   int
	// MinMemberTTL is the shortest time after which a silent member of a group
	// loses its share.
	MinMemberTTL time.Duration

	// Drain is the time after which a draining host must get no new runs.
	Drain time.Duration
	// StopGrace is the time from the signal to stop to the kill.
	StopGrace time.Duration
	// MaxLease is the longest lease that a host grants.
	MaxLease time.Duration
	// TaskStop is the longest time that a run takes to stop.
	TaskStop time.Duration
	// GangWait is how long members of a gang wait for the others.
	GangWait time.Duration
	// KeepEnded is how long an ended job must be known.
	KeepEnded time.Duration
	// Notice is how long a serving task counts as away after it was not at work.
	Notice time.Duration
	// HolderLease is the time in which two holders must not take turns with one
	// machine.
	HolderLease time.Duration
	MoveTime    time.Duration
	UpkeepTime  time.Duration
	// PaceDelay is the time after which a new pace is in force, and HarmTime how
	// long a serving task may be over its target.
	PaceDelay time.Duration
	HarmTime  time.Duration
}

package views

import "time"

// Paths of the admin API of a management node. JobPath is followed by the job's ID.
const (
	NodePath  = "/node"
	JobsPath  = "/jobs"
	JobPath   = "/jobs/"
	PoolsPath = "/pools"
)

// ProfilePath is followed by the name of a profile of the process, as package net/http/pprof names it.
const ProfilePath = "/debug/pprof/"

// Node is the status of a management node.
type Node struct {
	Node string
	// Version is the version of the active configuration; 0 means none.
	Version int64
	// ConfigAge is the time since the node last read the operator's records, HostsAge
	// since it last read the host records, and MembersAge since its group membership
	// was last confirmed. They are negative if that never happened. HostsAge is
	// meaningful only while the node runs cells.
	ConfigAge  time.Duration
	HostsAge   time.Duration
	MembersAge time.Duration
	// Cells are the cells that the node runs.
	Cells []Cell
	// Clients are the limits on clients by listener, and what they hold.
	Clients []ClientLimits
	// Depot reports whether the node's machine controller is active.
	Depot bool
}

// ClientLimits is the status of the limits on the clients of one listener.
type ClientLimits struct {
	Listener string
	// Connections are open, and Bytes held for requests in progress. The peaks are the
	// largest numbers so far.
	Connections, MaxConnections, PeakConnections int
	Bytes, MaxBytes, PeakBytes                   int64
	// Refusals counts the clients that were refused or disconnected, by reason.
	Refusals map[string]uint64
}

// Cell is the status of a cell, which schedules the jobs of one service.
type Cell struct {
	Service string
	Epoch   int64
	// Confirmed is the time since the store last confirmed that no other node has
	// taken over the service.
	Confirmed time.Duration
	// Open is the number of jobs that have not ended, Kept that of all known jobs.
	Open int
	Kept int
}

// Job is an item of a list of jobs.
type Job struct {
	ID      string
	Queue   string
	Service string
	Phase   string
	// Age is the time since the job was accepted.
	Age time.Duration
	// Waiting, Running and Done are numbers of tasks in the current rounds.
	Waiting int
	Running int
	Done    int
}

// JobDetail is the detailed status of a job.
type JobDetail struct {
	Job
	// Confirmed is as in Cell.
	Confirmed time.Duration
	// Why is what the job waits for; empty if it doesn't wait.
	Why   string `json:",omitempty"`
	Tasks []Task
}

// Task is the status of a task in a current round of a job.
type Task struct {
	Round int
	Step  int
	Index int
	State string
	Run   int
	Host  string `json:",omitempty"`
	// Failed is the number of failed runs.
	Failed int
	// Percent is the progress of the run that its host last reported.
	Percent int
	// Doubt is the reason why it is unknown whether the run is active; empty
	// otherwise.
	Doubt string `json:",omitempty"`
}

// Pool is the status of the hosts of a service, as its owner sees them.
type Pool struct {
	Service string
	Epoch   int64
	Hosts   []Host
	// WaitingCPU is the CPU that ready tasks wait for, in thousandths of a core.
	WaitingCPU int64
	// Interference holds the pairs of images of which it is known whether they slow each
	// other down.
	Interference []Interference `json:",omitempty"`
}

// Interference is what is known of serving tasks of one image beside tasks of another.
type Interference struct {
	Serving string
	Image   string
	// BestEffort means that the tasks of Image are best-effort ones.
	BestEffort bool
	// Verdict is "disturbs" or "harmless".
	Verdict string
	// Slowdown is by how much a task at full speed raises the tail of the response times, as
	// a fraction of its limit, and Confidence that in standard errors.
	Slowdown   float64
	Confidence float64
	// Age is the time since both were last observed together.
	Age time.Duration
}

// Host is the status of a host, as a cell sees it. CPU and UsedCPU are in
// thousandths of a core. Runs counts the runs on the host, and Lasting the serving
// tasks among them.
type Host struct {
	ID      string
	CPU     int64
	UsedCPU int64
	Runs    int
	Lasting int
	// State is "usable", or the reason why the host is assigned no runs.
	State string
}

package views

import "time"

// Paths of the admin address of a node that manages jobs. A job's path is
// followed by its ID.
const (
	NodePath  = "/node"
	JobsPath  = "/jobs"
	JobPath   = "/jobs/"
	PoolsPath = "/pools"
)

// Node is what a managing node believes.
type Node struct {
	Node string
	// Version is that of the configuration in force; 0 is none. ConfigAge is the time
	// since the node last read the operator's writes, HostsAge that since it last
	// read the entries of hosts, and MembersAge that since its membership was last
	// confirmed; negative if it never did. HostsAge counts only while the node has
	// cells.
	Version    int64
	ConfigAge  time.Duration
	HostsAge   time.Duration
	MembersAge time.Duration
	// Cells are those that the node has.
	Cells []Cell
	// Depot means that the node decides on machines.
	Depot bool
}

// Cell is what a node believes of a service that it decides for.
type Cell struct {
	Service string
	Epoch   int64
	// Confirmed is the time since the store last confirmed that no other node has
	// taken over.
	Confirmed time.Duration
	// Open counts the jobs that have not ended, and Kept all that are known.
	Open int
	Kept int
}

// Job is a job in a list.
type Job struct {
	ID      string
	Queue   string
	Service string
	Phase   string
	// Age is the time since the job was taken in.
	Age time.Duration
	// Waiting, Running and Done count the tasks of the rounds under way.
	Waiting int
	Running int
	Done    int
}

// JobDetail is all that the owner of a job knows of it.
type JobDetail struct {
	Job
	// Confirmed is as in Cell.
	Confirmed time.Duration
	// Why says what the job waits for, if it waits.
	Why   string `json:",omitempty"`
	Tasks []Task
}

// Task is a task of a job that is under way.
type Task struct {
	Round int
	Step  int
	Index int
	State string
	Run   int
	Host  string `json:",omitempty"`
	// Failed counts the runs that ended badly.
	Failed int
	// Percent is how far the run is.
	Percent int
	// Doubt says why it isn't known whether the run is at work.
	Doubt string `json:",omitempty"`
}

// Pool is what the owner of a service believes of its hosts.
type Pool struct {
	Service string
	Epoch   int64
	Hosts   []Host
	// WaitingCPU is the processor time that ready tasks wait for, in thousandths of
	// a core.
	WaitingCPU int64
}

// Host is what a cell believes of a host. Processor time is in thousandths of a
// core.
type Host struct {
	ID      string
	CPU     int64
	UsedCPU int64
	Runs    int
	Lasting int
	// State is why the host gets no runs, or "usable".
	State string
}

package views

import "time"

// ExplainPath is the path in the admin API of a management node that explains a request.
const ExplainPath = "/explain"

// MaxExplainBody limits the body of a request to explain, in bytes.
const MaxExplainBody = 1 << 20

// ExplainRequest is a caller's request to explain. It holds the hash of the caller's API key
// rather than the key, so that nothing on the way can show the key.
type ExplainRequest struct {
	Host   string
	Method string
	Path   string
	// KeyHash is empty if the caller has no key.
	KeyHash []byte `json:",omitempty"`
	Body    []byte `json:",omitempty"`
}

// Explanation is what a node would do with a request, and why.
type Explanation struct {
	// Node is the node that was asked, and Version that of its configuration.
	Node    string
	Version int64
	// Queue is the name of the queue that host and path select, empty if none does.
	Queue    string `json:",omitempty"`
	Service  string `json:",omitempty"`
	Priority int
	// Key is whether the key is needed and valid.
	Key          string `json:",omitempty"`
	Organisation string `json:",omitempty"`
	// Operation is what the request asks for: "submit", "status", "cancel" or "pending".
	Operation string `json:",omitempty"`
	JobID     string `json:",omitempty"`
	// Body describes the job in the body of a submission, or why it isn't one.
	Body string `json:",omitempty"`
	// Asked are the services whose owners were asked, in this order.
	Asked []string `json:",omitempty"`
	// Status is the status code that the caller would get, and Reason why it isn't 200.
	Status     int
	Reason     string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
	// Placement is nil if no owner decides on the request.
	Placement *Placement `json:",omitempty"`
}

// Placement is what the owner of a service would do with a job.
type Placement struct {
	Service string
	Node    string
	Epoch   int64
	// Confirmed is as in Cell.
	Confirmed time.Duration
	// Job is the state of the job if the owner has one of that ID.
	Job string `json:",omitempty"`
	// PreCancelled means that the job was cancelled before it was submitted.
	PreCancelled bool `json:",omitempty"`
	// Refused is why a new job isn't accepted; empty if it is.
	Refused    string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
	// Start is "now", or what the first task waits for.
	Start string `json:",omitempty"`
	// Ahead is the number of other jobs with tasks to start that come first.
	Ahead int
	// Later is the number of steps that wait for other steps.
	Later int
	// Steps are the steps that wait for nothing but hosts. At most MaxPlacementSteps are
	// shown.
	Steps        []StepPlacement `json:",omitempty"`
	StepsOmitted int             `json:",omitempty"`
	// Unusable are the hosts that get no tasks at present, whatever these require.
	Unusable        []RuledOutHost `json:",omitempty"`
	UnusableOmitted int            `json:",omitempty"`
}

// Limits on a placement. Longer lists would burden the owner without helping a reader.
const (
	MaxPlacementSteps = 8
	// MaxPlacementHosts limits the hosts that are compared for a step, and
	// MaxPlacementShown each list of hosts that is shown.
	MaxPlacementHosts = 2000
	MaxPlacementShown = 20
)

// StepPlacement is where a task of a step would be started.
type StepPlacement struct {
	Round int
	Step  int
	// Waiting is the number of its tasks that wait for a host.
	Waiting int
	// Start is "now", or what the step waits for.
	Start string
	// Hosts can run a task, best first.
	Hosts        []RankedHost `json:",omitempty"`
	HostsOmitted int          `json:",omitempty"`
	// RuledOut are usable hosts that can't run a task.
	RuledOut        []RuledOutHost `json:",omitempty"`
	RuledOutOmitted int            `json:",omitempty"`
	// NotCompared is the number of hosts beyond MaxPlacementHosts.
	NotCompared int `json:",omitempty"`
}

// RankedHost is a host that can run a task.
type RankedHost struct {
	ID string
	// Cost ranks the host, lower is better. Costs are its parts that aren't 0.
	Cost  float64
	Costs []CostPart `json:",omitempty"`
}

// CostPart is a part of the cost of running a task on a host.
type CostPart struct {
	Name string
	Cost float64
}

// RuledOutHost is a host that can't run a task, with the first reason.
type RuledOutHost struct {
	ID     string
	Reason string
}

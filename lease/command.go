package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/pool"
	"rattanpath/tasks"
)

// StartCommand asks a host to start a run.
type StartCommand struct {
	Task       tasks.ID
	Run        int
	Spec       string
	Checkpoint string
	// LeaseExpiry is when the host's lease expires, on the host's clock.
	LeaseExpiry time.Duration
	// Token is the fencing token; the host refuses lower ones than it has seen.
	Token int64
	// Ticket is the advisor's ticket, if the queue has an advisor.
	Ticket string
}

// StopCommand asks a host to stop a run.
type StopCommand struct {
	Task  tasks.ID
	Run   int
	Token int64
}

// PaceCommand sets the speed of a best-effort run.
type PaceCommand struct {
	Task tasks.ID
	Run  int
	// Share is in percent of full speed.
	Share int
	Token int64
}

// Heartbeat renews a host's lease and requests its running and finished runs.
type Heartbeat struct {
	// LeaseExpiry is when the lease expires, on the host's clock; 0 leaves it as it is.
	LeaseExpiry time.Duration
	Token       int64
	// Acknowledged is the highest sequence number of a finished run that need not be
	// reported again.
	Acknowledged int64
	// Wait is how long the host may delay its reply until a run finishes.
	Wait time.Duration
}

// Reason is why a host refused a command, or Accepted.
type Reason int

// The reasons for refusals.
const (
	// Accepted means that the command was executed.
	Accepted Reason = iota
	// RefusedFenced means that the host has seen a higher fencing token.
	RefusedFenced
	// RefusedStaleRun means that this run or a later one has ended on the host or was
	// stopped.
	RefusedStaleRun
	// RefusedLeaseExpired means that the lease in the command had expired.
	RefusedLeaseExpired
	// RefusedCapacity means that the host has too little free capacity.
	RefusedCapacity
	// RefusedTicket means that the advisor's ticket is missing or has expired.
	RefusedTicket
	// RefusedIncarnation means that another incarnation of the host answered.
	RefusedIncarnation
	// RefusedBusy means that the host is overloaded or unavailable and did nothing.
	RefusedBusy
	// RefusedInvalid means that the host couldn't interpret the command.
	RefusedInvalid
)

// String returns the reason as it is written to logs.
func (r Reason) String() string {
	names := []string{"accepted", "fenced", "old", "late", "room", "ticket", "other-life", "busy", "invalid"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Reply is a host's reply to a command.
type Reply struct {
	Reason Reason
	// HostTime is the reading of the host's clock; 0 if unknown.
	HostTime time.Duration
}

// Run is a run in progress on a host.
type Run struct {
	Task       tasks.ID
	Run        int
	Checkpoint string
	// Percent is the progress of the run. A serving task is ready once it is 100.
	Percent int
	// Load is the tail latency in milliseconds for a serving task, and the CPU in use
	// in millicores for any other.
	Load float64
}

// FinishedRun is a run that has ended on a host.
type FinishedRun struct {
	Sequence   int64
	Task       tasks.ID
	Run        int
	Reason     tasks.EndReason
	Checkpoint string
}

// HeartbeatReply is a host's reply to a heartbeat.
type HeartbeatReply struct {
	Reply
	// Incarnation identifies the incarnation of the host by its start time in Unix
	// milliseconds; 0 if unknown.
	Incarnation int64
	Runs        []Run
	Finished    []FinishedRun
	// MoreFinished is set if the host may have more finished runs than fit into the
	// reply.
	MoreFinished bool
}

// ReplyTimeout limits a command to a host, not counting the wait of a heartbeat.
const ReplyTimeout = time.Second

// MaxDelivery is how long after it was made a command may reach its host: one that another node is to
// send waits for a message to that node, is on its way there, and waits for the host.
const MaxDelivery = 2500 * time.Millisecond

// ErrNotSent means that no connection to the host could be made, so the command was
// not sent.
var ErrNotSent = errors.New("no connection to the host")

// HostClient sends commands to upstream hosts. After an error other than ErrNotSent
// the host may have executed the command, or may still do so.
type HostClient interface {
	Start(ctx context.Context, host *pool.Host, command StartCommand) (Reply, error)
	Stop(ctx context.Context, host *pool.Host, command StopCommand) (Reply, error)
	Pace(ctx context.Context, host *pool.Host, command PaceCommand) (Reply, error)
	Heartbeat(ctx context.Context, host *pool.Host, command Heartbeat) (HeartbeatReply, error)
}

package owner

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/cell"
	"rattanpath/tasks"
	"rattanpath/views"
)

// RPCName is the name under which owners answer over net/rpc.
const RPCName = "Owner"

// Outcome says what became of a call of an owner.
type Outcome int

// The outcomes of calls.
const (
	// Done means that the call has done what was asked.
	Done Outcome = iota
	// NotOwner means that the node doesn't have the cell, and nothing was done.
	NotOwner
	// StoreUnavailable means that the owner can't reach the store, and nothing was done.
	StoreUnavailable
	// Uncertain means that the change may have been kept, or may be yet.
	Uncertain
	// UnknownJob means that there is no such job.
	UnknownJob
	// IDConflict means that another queue of the service has a job of that ID.
	IDConflict
)

// String returns the word for the outcome in logs.
func (o Outcome) String() string {
	words := []string{"done", "not-owner", "store-away", "uncertain", "unknown", "taken"}
	if int(o) >= len(words) {
		return "invalid"
	}
	return words[o]
}

// Request asks the owner of a service about a job or a queue.
type Request struct {
	Service string
	Key     tasks.Key
	// Plan and Policy are only for jobs that are handed in.
	Plan   tasks.Plan
	Policy tasks.Policy
	// Timeout is how long the owner may take.
	Timeout time.Duration
	// Hosts are to be cordoned for Length; with Vacate their runs are moved away.
	Hosts  []string
	Length time.Duration
	Vacate bool
}

// Response is an owner's answer.
type Response struct {
	Outcome Outcome
	Status  cell.Status
	// Pending is the number of jobs of the queue that have not begun.
	Pending int
	// Report is how the pool stands, and Hosts how the hosts that were asked for do.
	Report cell.Report
	Hosts  []cell.HostReport
	// Jobs, Detail and Pool are for operators.
	Jobs   []views.Job
	Detail views.JobDetail
	Pool   views.Pool
}

// outcomeFor returns the outcome for an error of a cell.
func outcomeFor(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, cell.ErrNotOwner):
		return NotOwner
	case errors.Is(err, cell.ErrStoreAway):
		return StoreUnavailable
	case errors.Is(err, cell.ErrUnknownJob):
		return UnknownJob
	case errors.Is(err, cell.ErrTaken):
		return IDConflict
	default:
		return Uncertain
	}
}

// addressSeparator divides the name of a member from its address.
const addressSeparator = "@"

// memberName returns the name under which a node joins the group.
func memberName(node, address string) string { return node + addressSeparator + address }

// memberAddress returns the address in the name of a member.
func memberAddress(member string) string {
	_, address, _ := strings.Cut(member, addressSeparator)
	return address
}

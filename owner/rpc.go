package owner

import (
	"strings"
	"time"
	"unsafe"

	"github.com/pkg/errors"

	"rattanpath/sched"
	"rattanpath/tasks"
	"rattanpath/views"
)

// RPCName is the net/rpc service name of owners.
const RPCName = "Owner"

// Outcome is the result of a call to an owner.
type Outcome int

// The outcomes of calls.
const (
	// Done means that the call succeeded.
	Done Outcome = iota
	// NotOwner means that the node does not run the cell; the call had no effect.
	NotOwner
	// StoreUnavailable means that the owner cannot reach the store; the call had no
	// effect.
	StoreUnavailable
	// Uncertain means that the change may have been persisted or still may be.
	Uncertain
	// UnknownJob means that the job does not exist.
	UnknownJob
	// IDConflict means that another queue of the service has a job with the same ID.
	IDConflict
	// Overloaded means that the owner would start the job too late; the call had no
	// effect.
	Overloaded
	// Unauthorised means that the owner's configuration, which is newer than that of the
	// forwarding node, doesn't accept the caller's key; the call had no effect.
	Unauthorised
	// Forbidden means that the job belongs to another organisation; the call had no effect.
	Forbidden
	// Reassigned means that the owner's configuration, which is newer than that of the
	// forwarding node, assigns the queue to another service; the call had no effect.
	Reassigned
	// TooLarge means that the store doesn't take the records of the job; the call had no
	// effect.
	TooLarge
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	names := []string{
		"done", "not-owner", "store-away", "uncertain", "unknown", "taken", "overloaded",
		"unauthorised", "forbidden", "reassigned", "too-large",
	}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Request holds the arguments of all methods of owners.
type Request struct {
	Service string
	Key     tasks.Key
	// Plan is set for Submit only. Policy is that of the queue, with the organisation of the
	// caller.
	Plan   tasks.Plan
	Policy tasks.Policy
	// ConfigVersion is the version of the configuration by which the forwarding node has
	// acted, and KeysRequired whether it requires keys. KeyHash is the hash of the key that
	// the caller presented, empty if it presented none. Nodes of older versions send none
	// of them, so that owners check their requests as if they came without a key.
	ConfigVersion int64
	KeysRequired  bool
	KeyHash       []byte
	// MovedIn is set for Status if the job is about to be submitted, or cancelled in advance, at
	// another service: the version of the configuration in which the queue was assigned to that
	// one. The owner then takes no new jobs of the queue from nodes that act on an older one.
	MovedIn int64
	// MustExist means that Cancel records no cancellation of a job in advance: another service may
	// have the job.
	MustExist bool
	// Operator means that the call is an operator's, which needs no key.
	Operator bool
	// Timeout limits the call at the owner.
	Timeout time.Duration
	// Hosts are the hosts to cordon or retire. A cordon lasts for Length; Vacate also
	// evicts the runs of the hosts.
	Hosts  []string
	Length time.Duration
	Vacate bool
	// Retired are the hosts to retire with their incarnations. Nodes of an older version
	// send and read Hosts alone.
	Retired []sched.RetiredHost
	// Allotment is set for Allot only.
	Allotment *sched.Allotment
}

// retired returns the hosts to retire.
func (r *Request) retired() []sched.RetiredHost {
	if len(r.Retired) > 0 {
		return r.Retired
	}
	var retired []sched.RetiredHost
	for _, id := range r.Hosts {
		retired = append(retired, sched.RetiredHost{ID: id})
	}
	return retired
}

// HeldBytes returns approximately how much memory the request takes, so that the
// connection that it came over can be charged with it.
func (r *Request) HeldBytes() int64 {
	bytes := unsafe.Sizeof(*r) + uintptr(cap(r.Hosts))*unsafe.Sizeof("") + uintptr(cap(r.Retired))*unsafe.Sizeof(sched.RetiredHost{})
	return int64(bytes) + r.Plan.HeldBytes()
}

// Response holds the results of all methods of owners.
type Response struct {
	Outcome Outcome
	// RetryAfter is how long the caller should wait after Overloaded, 0 for the usual time.
	RetryAfter time.Duration
	Status     sched.Status
	// Pending is the number of jobs of the queue that have not started.
	Pending int
	// Queues are the queues that the cell holds jobs of.
	Queues sched.QueueList
	// Report is the status of the pool and Hosts that of the requested hosts.
	Report sched.Report
	Hosts  []sched.HostReport
	// Jobs, Detail and Pool are the views shown to operators.
	Jobs   []views.Job
	Detail views.JobDetail
	Pool   views.Pool
	// Organisations is nil unless it was asked for.
	Organisations *views.CellOrganisations
	// Preview is set by Preview only. The outcome is then that of the request it is for.
	Preview *views.Placement
}

// outcomeFor maps an error of a cell to an outcome.
func outcomeFor(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, sched.ErrNotOwner):
		return NotOwner
	case errors.Is(err, sched.ErrStoreUnavailable), errors.Is(err, sched.ErrStoreFull):
		return StoreUnavailable
	case errors.Is(err, sched.ErrOverloaded):
		return Overloaded
	case errors.Is(err, sched.ErrTooLarge):
		return TooLarge
	case errors.Is(err, sched.ErrUnknownJob):
		return UnknownJob
	case errors.Is(err, sched.ErrIDConflict):
		return IDConflict
	case errors.Is(err, sched.ErrForbidden):
		return Forbidden
	case errors.Is(err, sched.ErrReassigned):
		return Reassigned
	default:
		return Uncertain
	}
}

// addressSeparator separates the node name from the address in a member name.
const addressSeparator = "@"

// memberName returns the group member name of a node.
func memberName(node, address string) string { return node + addressSeparator + address }

// memberAddress returns the RPC address in a member name.
func memberAddress(member string) string {
	_, address, _ := strings.Cut(member, addressSeparator)
	return address
}

package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/pool"
	"rattanpath/tasks"
)

// Start tells a host to start a run.
type Start struct {
	Name  tasks.ID
	Run   int
	Spec  string
	Saved string
	// Until is when the host's lease ends, on the host's clock.
	Until time.Duration
	// Token fences older owners.
	Token int64
	// Ticket is the advisor's permission, if the queue has an advisor.
	Ticket string
}

// Stop tells a host to end a run.
type Stop struct {
	Name  tasks.ID
	Run   int
	Token int64
}

// Pace tells a host how hard a run is to work.
type Pace struct {
	Name tasks.ID
	Run  int
	// Share is in percent of the run's full speed.
	Share int
	Token int64
}

// Hold extends a host's lease and asks for its runs and ends.
type Hold struct {
	// Until is when the lease ends, on the host's clock; 0 leaves it.
	Until time.Duration
	Token int64
	// Seen is the number of the last end that need not be listed again.
	Seen int64
	// Wait is how long the host may wait for an end.
	Wait time.Duration
}

// Reason says why a host refused an order.
type Reason int

// The reasons of refusals.
const (
	// Accepted means that the order was carried out.
	Accepted Reason = iota
	// RefusedFence means that the host has seen a higher token.
	RefusedFence
	// RefusedOld means that the host has ended or stopped that run or a later one.
	RefusedOld
	// RefusedLate means that the lease of the order was over.
	RefusedLate
	// RefusedRoom means that the task doesn't fit.
	RefusedRoom
	// RefusedTicket means that the advisor's permission is missing or over.
	RefusedTicket
	// RefusedOther means that another life of the host answered.
	RefusedOther
	// RefusedBusy means that the host is not well and has done nothing.
	RefusedBusy
	// RefusedInvalid means that the host can't make sense of the order.
	RefusedInvalid
)

// String returns the word for the reason in logs.
func (r Reason) String() string {
	words := []string{"accepted", "fenced", "old", "late", "room", "ticket", "other-life", "busy", "invalid"}
	if int(r) >= len(words) {
		return "unknown"
	}
	return words[r]
}

// Reply is a host's answer to an order.
type Reply struct {
	Reason Reason
	// Clock is the host's clock, or 0 if it wasn't told.
	Clock time.Duration
}

// Run is a run that a host has.
type Run struct {
	Name  tasks.ID
	Run   int
	Saved string
	// Percent is how far the run is. A serving task is at work once it is 100.
	Percent int
	// Load is the tail of a serving task's response times in milliseconds, or the
	// processor time in use, in thousandths of a core, of any other.
	Load float64
}

// End is a run that has ended on a host.
type End struct {
	Number int64
	Name   tasks.ID
	Run    int
	How    tasks.EndReason
	Saved  string
}

// Listing is a host's answer to a hold.
type Listing struct {
	Reply
	// Born is when the host's life began; 0 if it wasn't told.
	Born int64
	Runs []Run
	Ends []End
}

// ErrNotSent means that there was no connection to the host, so that the order
// was not sent.
var ErrNotSent = errors.New("no connection to the host")

// Hosts calls upstream hosts. An error other than ErrNotSent means that the call
// may have been carried out, or may be yet.
type Hosts interface {
	Start(ctx context.Context, host *pool.Host, order Start) (Reply, error)
	Stop(ctx context.Context, host *pool.Host, order Stop) (Reply, error)
	Pace(ctx context.Context, host *pool.Host, order Pace) (Reply, error)
	Hold(ctx context.Context, host *pool.Host, order Hold) (Listing, error)
}

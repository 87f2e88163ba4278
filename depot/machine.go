package depot

import (
	"context"
	"slices"

	"rattanpath/tasks"
)

// State is what a machine is doing.
type State int

// The states of machines.
const (
	// Up means that the machine is in its pool.
	Up State = iota
	// Moving means that it is on its way to another pool.
	Moving
	// Upkeep means that it is down for its upkeep.
	Upkeep
	// Down means that it is down for any other reason.
	Down
)

// String returns the word for the state in logs.
func (s State) String() string {
	words := []string{"up", "moving", "upkeep", "down"}
	if int(s) >= len(words) {
		return "unknown"
	}
	return words[s]
}

// Machine is a machine of the fleet.
type Machine struct {
	Name       string
	Pool       string
	State      State
	DataCentre string
	Labels     []string
	Room       tasks.Resources
	// Host is the upstream host that the machine is now, if any.
	Host string
}

// Order names a machine and who orders.
type Order struct {
	Machine string
	// Holder is the node that has the depot, and Token its epoch.
	Holder string
	Token  int64
}

// Verdict is the cloud's answer to an order.
type Verdict int

// The answers to orders.
const (
	// Accepted means that the order is or was carried out.
	Accepted Verdict = iota
	// Later means that the cloud took no order now.
	Later
	// Busy means that the machine is not up, or leaving.
	Busy
	// Fenced means that a newer holder has given orders.
	Fenced
	// NotDue means that the machine isn't one of the wave.
	NotDue
	// Invalid means that there is no such machine or the pool isn't for it.
	Invalid
)

// String returns the word for the verdict in logs.
func (v Verdict) String() string {
	words := []string{"accepted", "later", "busy", "fenced", "not-due", "invalid"}
	if int(v) >= len(words) {
		return "unknown"
	}
	return words[v]
}

// Cloud lists and orders machines. An error means that an order may have been
// carried out.
type Cloud interface {
	Machines(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, order Order, pool string) (Verdict, error)
	Upkeep(ctx context.Context, order Order, wave int64) (Verdict, error)
}

// byName orders machines by name.
func byName(machines []Machine) {
	slices.SortFunc(machines, func(a, b Machine) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		default:
			return 0
		}
	})
}

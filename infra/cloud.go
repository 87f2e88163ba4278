package infra

import (
	"context"
	"slices"

	"rattanpath/tasks"
)

// State is the operating state of a machine.
type State int

// The states of a machine.
const (
	// Up means that the machine runs in its pool.
	Up State = iota
	// Moving means that the machine is moving to another pool.
	Moving
	// Maintenance means that the machine is down for maintenance.
	Maintenance
	// Down means that the machine is down for any other reason.
	Down
	// Unknown means that the cloud's entry of the machine can't be understood. The machine
	// may be in any state.
	Unknown
)

// String returns the name of the state in logs.
func (s State) String() string {
	names := []string{"up", "moving", "upkeep", "down"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Machine is a machine of the fleet.
type Machine struct {
	Name       string
	Pool       string
	State      State
	DataCentre string
	Labels     []string
	Capacity   tasks.Resources
	// Host is the ID of the upstream host that runs on the machine, or empty.
	Host string
}

// Order identifies the machine that an order is for and the leader that sends it.
type Order struct {
	Machine string
	// Leader is the node that sends the order, and Token the epoch of its term,
	// which the cloud uses as a fencing token.
	Leader string
	Token  int64
}

// OrderResult is the cloud's response to an order.
type OrderResult int

// The responses to an order.
const (
	// Accepted means that the order is being carried out or has been.
	Accepted OrderResult = iota
	// RetryLater means that the cloud is temporarily unable to accept orders.
	RetryLater
	// Busy means that the machine is not up or is about to leave its pool.
	Busy
	// Fenced means that a newer leader has sent orders.
	Fenced
	// NotDue means that the machine is not part of the wave.
	NotDue
	// Invalid means that the machine does not exist or may not join the pool.
	Invalid
)

// String returns the name of the result in logs.
func (r OrderResult) String() string {
	names := []string{"accepted", "later", "busy", "fenced", "not-due", "invalid"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Cloud lists machines and accepts orders for them. After an error, the order
// may still have been accepted.
type Cloud interface {
	Machines(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, order Order, pool string) (OrderResult, error)
	Maintain(ctx context.Context, order Order, wave int64) (OrderResult, error)
}

// sortByName sorts machines by name.
func sortByName(machines []Machine) {
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

package infra

import (
	"context"
	"encoding/json"
	"time"

	"rattanpath/store"
)

const (
	// intentKey is the key of the record that stores the intents.
	intentKey = "intents"
	// resignTimeout bounds the call that makes the previous leader resign.
	resignTimeout = 700 * time.Millisecond
)

// intents is the stored record of orders that are about to be sent or were sent
// recently. The next leader must not send orders for their machines for a while.
type intents struct {
	// Address is where the leader serves calls from other nodes.
	Address  string
	Machines map[string]*intent
}

// intent is an order that is stored before it is sent. Upkeep is true for
// maintenance and false for a move.
type intent struct {
	Upkeep bool `json:",omitempty"`
	// orderedAt is when the order was planned or, once the call has ended, the
	// latest time at which it can have been accepted. It is on this node's
	// clock.
	orderedAt time.Duration
	// holdUntil is when this leader may send orders for the machine after an
	// order of a previous leader.
	holdUntil time.Duration
}

// intentRetention is how long the next leader must be able to see an intent.
func (t *term) intentRetention() time.Duration {
	return leadershipValidity + orderTimeout + t.options.MachineLease
}

// loadIntents restores the intents of previous leaders. If they can't be read,
// all machines are held until no earlier order can be in flight and all machine
// leases have expired.
func (t *term) loadIntents(value []byte) {
	if err := json.Unmarshal(value, &t.intents); err != nil {
		t.logger.Error(err, "failed to decode the record of recent orders; holding all machines until their leases expire")
		t.holdAllUntil = t.options.Clock() + t.intentRetention()
	}
	if t.intents.Machines == nil {
		t.intents.Machines = make(map[string]*intent)
	}
	for name, i := range t.intents.Machines {
		if i == nil {
			delete(t.intents.Machines, name)
		}
	}
}

// adoptIntents holds the machines in a previous leader's intents until their
// leases have expired. The leases count from the order times that that
// leader reports or, without a response, from the latest time at which its
// orders can be accepted.
func (t *term) adoptIntents(ctx context.Context) {
	now, holdTime := t.options.Clock(), t.intentRetention()
	ages, answered := t.resignPredecessor(ctx)
	if answered || t.claim.PreviousReleased {
		// The orders have ended by now, and their ages are relative to this
		// time.
		now, holdTime = t.options.Clock(), t.options.MachineLease
	}
	for name, i := range t.intents.Machines {
		i.orderedAt = now
		i.holdUntil = now + holdTime
		if age, known := ages[name]; known {
			i.orderedAt = now - age
			i.holdUntil = i.orderedAt + t.options.MachineLease
		}
		kind := moveOperation
		if i.Upkeep {
			kind = maintenanceOperation
		}
		t.operations[name] = &operation{kind: kind, startedAt: i.holdUntil - t.options.MachineLease}
	}
}

// resignPredecessor makes the previous leader resign and returns the time since
// its last order for each machine. It reports whether that leader responded.
func (t *term) resignPredecessor(ctx context.Context) (ages map[string]time.Duration, answered bool) {
	if len(t.intents.Machines) == 0 || t.claim.PreviousReleased || t.intents.Address == t.options.Address {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	ages, err := t.options.Leaders.Resign(ctx, t.intents.Address, t.claim.Epoch)
	if err != nil {
		t.logger.Info("failed to make the previous leader resign", "address", t.intents.Address, "err", err.Error())
		return nil, false
	}
	return ages, true
}

// Resign makes this node stop sending orders as the leader of any epoch before
// the given one. It waits for the orders in flight and returns the time since the
// last order for each machine.
func (c *Controller) Resign(epoch int64) map[string]time.Duration {
	for {
		ages, orderDone := c.tryResign(epoch)
		if orderDone == nil {
			return ages
		}
		<-orderDone
	}
}

// tryResign prevents further orders. It returns the ages of the last orders or,
// while orders are in flight, a channel that is closed when one of them ends.
func (c *Controller) tryResign(epoch int64) (map[string]time.Duration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderEpoch >= epoch {
		return nil, nil
	}
	c.resigned = true
	if c.inFlight > 0 {
		return nil, c.orderDone.Changed()
	}
	ages := make(map[string]time.Duration)
	now := c.options.Clock()
	for name, at := range c.lastOrdered {
		ages[name] = now - at
	}
	return ages, nil
}

// beginOrder counts an order that is about to be sent. It reports false if this
// node has resigned.
func (c *Controller) beginOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resigned {
		return false
	}
	c.inFlight++
	return true
}

// endOrder records that the call that sent an order has ended. The order was
// accepted no later than now.
func (c *Controller) endOrder(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.lastOrdered[machine] = c.options.Clock()
	c.orderDone.Notify()
}

// hasResigned reports whether a newer leader has made this node resign.
func (c *Controller) hasResigned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resigned
}

// isOnHold reports whether no order may be sent for a machine yet because of a
// previous leader's orders.
func (t *term) isOnHold(machine string) bool {
	now := t.options.Clock()
	i := t.intents.Machines[machine]
	return now < t.holdAllUntil || i != nil && now < i.holdUntil
}

// writeIntents stores the orders that are about to be sent and reports whether
// that succeeded.
func (t *term) writeIntents(ctx context.Context, orders []plannedOrder) bool {
	now := t.options.Clock()
	for name, i := range t.intents.Machines {
		if now-i.orderedAt > t.intentRetention() {
			delete(t.intents.Machines, name)
		}
	}
	for _, o := range orders {
		t.intents.Machines[o.machine.Name] = &intent{Upkeep: o.kind == maintenanceOperation, orderedAt: now}
	}
	t.intents.Address = t.options.Address
	value, err := json.Marshal(t.intents)
	if err != nil {
		t.logger.Error(err, "failed to encode the record of orders; not sending them")
		return false
	}
	return t.writeRecords(ctx, []store.Record{{Key: intentKey, Value: value}})
}

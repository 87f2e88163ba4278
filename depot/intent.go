package depot

import (
	"context"
	"encoding/json"
	"time"

	"rattanpath/store"
)

const (
	// intentKey is the key of the record of machines that were lately ordered.
	intentKey = "intents"
	// resignTimeout bounds the question to the last holder.
	resignTimeout = 700 * time.Millisecond
)

// intents is the record of the machines that are about to be ordered, or were
// lately. The next holder must leave them alone for a while.
type intents struct {
	// Address is where the holder answers other nodes.
	Address  string
	Machines map[string]*intent
}

// intent is a machine that is ordered.
type intent struct {
	Upkeep bool `json:",omitempty"`
	// orderedAt is when the order was planned, or at most carried out, on this node's
	// clock.
	orderedAt time.Duration
	// holdUntil is until when this holder leaves the machine alone for an older
	// one's sake.
	holdUntil time.Duration
}

// intentRetention is how long an order must be known to the next holder.
func (t *term) intentRetention() time.Duration {
	return leadershipValidity + orderTimeout + t.options.MachineLease
}

// loadIntents takes over what older holders had meant to order. Until nothing of
// theirs can be under way, or count as a turn, the machines are left alone.
func (t *term) loadIntents(value []byte) {
	if err := json.Unmarshal(value, &t.intents); err != nil {
		t.logger.Error(err, "the record of the last orders can't be read; all machines are left alone for a while")
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

// adoptIntents leaves the machines alone that an older holder had meant to order: for
// as long as that holder says that it takes, or as it takes at most.
func (t *term) adoptIntents(ctx context.Context) {
	now, quiet := t.options.Clock(), t.intentRetention()
	ages, asked := t.resignPredecessor(ctx)
	if asked || t.claim.Released {
		// The orders have ended by now, and their ages are as of now.
		now, quiet = t.options.Clock(), t.options.MachineLease
	}
	for name, i := range t.intents.Machines {
		i.orderedAt = now
		i.holdUntil = now + quiet
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

// resignPredecessor asks the last holder to give no more orders, and how long ago it gave
// its last ones. It reports whether that holder has answered.
func (t *term) resignPredecessor(ctx context.Context) (ages map[string]time.Duration, answered bool) {
	if len(t.intents.Machines) == 0 || t.claim.Released || t.intents.Address == t.options.Address {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	ages, err := t.options.Leaders.Resign(ctx, t.intents.Address, t.claim.Epoch)
	if err != nil {
		t.logger.Info("the last holder did not resign", "address", t.intents.Address, "err", err.Error())
		return nil, false
	}
	return ages, true
}

// Resign makes this node give no more orders as a holder before an epoch. It
// returns how long ago each machine was last ordered, once no order is under way.
func (d *Controller) Resign(epoch int64) map[string]time.Duration {
	for {
		ages, ended := d.tryResign(epoch)
		if ended == nil {
			return ages
		}
		<-ended
	}
}

// tryResign stops further orders. It returns the ages of the last ones, or a channel
// that is closed when one that is under way has ended.
func (d *Controller) tryResign(epoch int64) (map[string]time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaderEpoch >= epoch {
		return nil, nil
	}
	d.resigned = true
	if d.inFlight > 0 {
		return nil, d.orderDone.Changed()
	}
	ages := make(map[string]time.Duration)
	now := d.options.Clock()
	for name, at := range d.lastOrdered {
		ages[name] = now - at
	}
	return ages, nil
}

// beginOrder notes an order that is about to be sent, unless this node has
// resigned.
func (d *Controller) beginOrder() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resigned {
		return false
	}
	d.inFlight++
	return true
}

// endOrder notes that a machine's order was carried out now at the latest.
func (d *Controller) endOrder(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.lastOrdered[machine] = d.options.Clock()
	d.orderDone.Notify()
}

// hasResigned reports whether a newer holder has made this node resign.
func (d *Controller) hasResigned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resigned
}

// isOnHold reports whether a machine must be left alone for an older holder's
// sake.
func (t *term) isOnHold(machine string) bool {
	now := t.options.Clock()
	i := t.intents.Machines[machine]
	return now < t.holdAllUntil || i != nil && now < i.holdUntil
}

// writeIntents records which machines are about to be ordered and reports whether
// that is kept.
func (t *term) writeIntents(ctx context.Context, plans []plannedOrder) bool {
	now := t.options.Clock()
	for name, i := range t.intents.Machines {
		if now-i.orderedAt > t.intentRetention() {
			delete(t.intents.Machines, name)
		}
	}
	for _, p := range plans {
		t.intents.Machines[p.machine.Name] = &intent{Upkeep: p.kind == maintenanceOperation, orderedAt: now}
	}
	t.intents.Address = t.options.Address
	value, err := json.Marshal(t.intents)
	if err != nil {
		t.logger.Error(err, "the orders can't be recorded and are not given")
		return false
	}
	return t.writeRecords(ctx, []store.Record{{Key: intentKey, Value: value}})
}

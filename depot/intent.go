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
	// resignTime bounds the question to the last holder.
	resignTime = 700 * time.Millisecond
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
	// at is when the order was planned, or at most carried out, on this node's
	// clock.
	at time.Duration
	// quietUntil is until when this holder leaves the machine alone for an older
	// one's sake.
	quietUntil time.Duration
}

// memory is how long an order must be known to the next holder.
func (t *term) memory() time.Duration { return validTime + orderTime + t.options.HolderLease }

// loadIntents takes over what older holders had meant to order. Until nothing of
// theirs can be under way, or count as a turn, the machines are left alone.
func (t *term) loadIntents(value []byte) {
	if err := json.Unmarshal(value, &t.intents); err != nil {
		t.logger.Error(err, "the record of the last orders can't be read; all machines are left alone for a while")
		t.quietAll = t.options.Clock() + t.memory()
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

// inherit leaves the machines alone that an older holder had meant to order: for
// as long as that holder says that it takes, or as it takes at most.
func (t *term) inherit(ctx context.Context) {
	now, quiet := t.options.Clock(), t.memory()
	ages, asked := t.askResign(ctx)
	if asked || t.claim.PreviousReleased {
		// The orders have ended by now, and their ages are as of now.
		now, quiet = t.options.Clock(), t.options.HolderLease
	}
	for name, i := range t.intents.Machines {
		i.at = now
		i.quietUntil = now + quiet
		if age, known := ages[name]; known {
			i.at = now - age
			i.quietUntil = i.at + t.options.HolderLease
		}
		kind := errandMove
		if i.Upkeep {
			kind = errandUpkeep
		}
		t.busy[name] = &errand{kind: kind, since: i.quietUntil - t.options.HolderLease}
	}
}

// askResign asks the last holder to give no more orders, and how long ago it gave
// its last ones. It reports whether that holder has answered.
func (t *term) askResign(ctx context.Context) (ages map[string]time.Duration, answered bool) {
	if len(t.intents.Machines) == 0 || t.claim.PreviousReleased || t.intents.Address == t.options.Address {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, resignTime)
	defer cancel()
	ages, err := t.options.Holders.Resign(ctx, t.intents.Address, t.claim.Epoch)
	if err != nil {
		t.logger.Info("the last holder did not resign", "address", t.intents.Address, "err", err.Error())
		return nil, false
	}
	return ages, true
}

// Resign makes this node give no more orders as a holder before an epoch. It
// returns how long ago each machine was last ordered, once no order is under way.
func (d *Depot) Resign(epoch int64) map[string]time.Duration {
	for {
		ages, ended := d.resign(epoch)
		if ended == nil {
			return ages
		}
		<-ended
	}
}

// resign stops further orders. It returns the ages of the last ones, or a channel
// that is closed when one that is under way has ended.
func (d *Depot) resign(epoch int64) (map[string]time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holding >= epoch {
		return nil, nil
	}
	d.resigned = true
	if d.underWay > 0 {
		return nil, d.ended.Changed()
	}
	ages := make(map[string]time.Duration)
	now := d.options.Clock()
	for name, at := range d.ordered {
		ages[name] = now - at
	}
	return ages, nil
}

// beginOrder notes an order that is about to be sent, unless this node has
// resigned.
func (d *Depot) beginOrder() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resigned {
		return false
	}
	d.underWay++
	return true
}

// endOrder notes that a machine's order was carried out now at the latest.
func (d *Depot) endOrder(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.underWay--
	d.ordered[machine] = d.options.Clock()
	d.ended.Notify()
}

// hasResigned reports whether a newer holder has made this node resign.
func (d *Depot) hasResigned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resigned
}

// isQuiet reports whether a machine must be left alone for an older holder's
// sake.
func (t *term) isQuiet(machine string) bool {
	now := t.options.Clock()
	i := t.intents.Machines[machine]
	return now < t.quietAll || i != nil && now < i.quietUntil
}

// keepIntents records which machines are about to be ordered and reports whether
// that is kept.
func (t *term) keepIntents(ctx context.Context, plans []plan) bool {
	now := t.options.Clock()
	for name, i := range t.intents.Machines {
		if now-i.at > t.memory() {
			delete(t.intents.Machines, name)
		}
	}
	for _, p := range plans {
		t.intents.Machines[p.machine.Name] = &intent{Upkeep: p.kind == errandUpkeep, at: now}
	}
	t.intents.Address = t.options.Address
	value, err := json.Marshal(t.intents)
	if err != nil {
		t.logger.Error(err, "the orders can't be recorded and are not given")
		return false
	}
	return t.write(ctx, []store.Record{{Key: intentKey, Value: value}})
}

package sched

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanpath/quota"
	"rattanpath/store"
)

// capsKey is the key of the record of the confirmed caps, see capRecord.
const capsKey = "caps"

// confirmedCaps is which caps a leader has confirmed: the bases of all cells and what runs beyond
// them keep to them. Without that, no owner of a cell starts within the base, since the other cells
// may run more than their share of a lowered cap.
type confirmedCaps struct {
	// version is that of the newest configuration for which the caps of all organisations but
	// those of held are confirmed, 0 for none.
	version int64
	// held holds the organisations that start only what a leader restricts them to, and stored
	// those of them that any later owner of the cell knows of.
	held   map[string]bool
	stored map[string]bool
	// services is the number of cells among which the bases were divided last, 0 for none.
	services int
	dirty    bool
}

// capRecord is the stored form of the confirmed caps.
type capRecord struct {
	Version  int64
	Held     []string `json:",omitempty"`
	Services int      `json:",omitempty"`
}

// load restores the confirmed caps from their record.
func (k *confirmedCaps) load(value []byte) error {
	var record capRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return errors.Wrap(err, "decoding the confirmed caps")
	}
	k.version, k.services = record.Version, record.Services
	for _, name := range record.Held {
		k.hold(name)
	}
	k.stored, k.dirty = maps.Clone(k.held), false
	return nil
}

// take returns the write of the confirmed caps.
func (k *confirmedCaps) take() (jobWrite, error) {
	k.dirty = false
	value, err := json.Marshal(capRecord{Version: k.version, Held: slices.Sorted(maps.Keys(k.held)), Services: k.services})
	if err != nil {
		return jobWrite{}, errors.Wrap(err, "encoding the confirmed caps")
	}
	written := maps.Clone(k.held)
	maps.DeleteFunc(k.stored, func(name string, _ bool) bool { return !written[name] })
	return jobWrite{
		writes:      [][]store.Record{{{Key: capsKey, Value: value}}},
		onPersisted: []func(){func() { k.stored = written }},
	}, nil
}

// hold holds an organisation until it is released.
func (k *confirmedCaps) hold(name string) {
	if k.held[name] {
		return
	}
	if k.held == nil {
		k.held = make(map[string]bool)
	}
	k.held[name], k.dirty = true, true
}

// release ends the hold of an organisation, if there is one.
func (k *confirmedCaps) release(name string) (released bool) {
	if !k.held[name] {
		return false
	}
	delete(k.held, name)
	k.dirty = true
	return true
}

// confirm records that a leader has confirmed a version.
func (k *confirmedCaps) confirm(version int64) {
	if version > k.version {
		k.version, k.dirty = version, true
	}
}

// divideBy records among how many cells the bases are divided.
func (k *confirmedCaps) divideBy(services int) {
	if services > 0 && services != k.services {
		k.services, k.dirty = services, true
	}
}

// isStored reports whether an organisation is held by this owner and by any after it.
func (k *confirmedCaps) isStored(name string) bool { return k.held[name] && k.stored[name] }

// unconfirmedSince returns the version that a leader must confirm at least before the cell starts tasks
// of an organisation within its base.
func (q *quotas) unconfirmedSince(name string) int64 {
	return max(q.config.CapsSince(name), q.config.ActiveSince(q.service))
}

// holdUnconfirmed holds the organisations whose caps a configuration has lowered, or may have
// lowered, since the one that was confirmed, and all of them in a cell that had no base then.
func (c *Cell) holdUnconfirmed(now time.Duration) {
	q := &c.quotas
	if q.config.Version >= q.caps.version {
		q.releaseUnlimited()
	}
	for _, organisation := range q.organisations() {
		name := organisation.Name
		if quota.IsLimited(organisation.Cap) && q.caps.version < q.unconfirmedSince(name) && !q.caps.held[name] {
			q.caps.hold(name)
			c.logger.Info("organisation held until its cap is confirmed", "organisation", name, "version", q.config.Version, "confirmed", q.caps.version, "epoch", c.epoch)
		}
	}
	if q.limited {
		q.caps.divideBy(q.cellCount(now))
	}
	c.writeCaps()
}

// releaseUnlimited releases the organisations that have no cap any more.
func (q *quotas) releaseUnlimited() {
	for name := range q.caps.held {
		if organisation := q.config.Organisation(name); organisation == nil || !quota.IsLimited(organisation.Cap) {
			q.caps.release(name)
		}
	}
}

// confirmCaps processes what an allotment that is received at a local time says of the caps.
func (c *Cell) confirmCaps(a *Allotment, now time.Duration) {
	q := &c.quotas
	if a.Version == 0 || now >= a.Until {
		return
	}
	for name := range a.Limits {
		q.caps.hold(name)
	}
	for _, organisation := range q.organisations() {
		name := organisation.Name
		if _, restricted := a.Limits[name]; restricted {
			continue
		}
		if a.Version >= q.unconfirmedSince(name) && q.caps.release(name) {
			c.logger.Info("organisation released", "organisation", name, "version", a.Version, "leader", a.Leader, "epoch", c.epoch)
		}
	}
	q.caps.confirm(a.Version)
	c.writeCaps()
}

// writeCaps makes the writer persist the confirmed caps if they have changed.
func (c *Cell) writeCaps() {
	if c.quotas.caps.dirty {
		wake(c.writeWake)
	}
}

// takeCaps returns the write of the confirmed caps.
func (c *Cell) takeCaps() jobWrite {
	write, err := c.quotas.caps.take()
	if err != nil {
		c.logger.Error(err, "cannot write the confirmed caps")
	}
	return write
}

// unconfirmed returns the version that the leader is to confirm, or 0 if it has confirmed this one
// and restricts all organisations that are held, or none has a cap.
func (c *Cell) unconfirmed(now time.Duration) int64 {
	q := &c.quotas
	if !q.limited {
		return 0
	}
	pending := int64(0)
	if q.caps.version < q.config.Version {
		pending = q.config.Version
	}
	for name := range q.caps.held {
		if _, restricted := q.restriction(name, now); !restricted {
			pending = max(pending, q.unconfirmedSince(name))
		}
	}
	return pending
}

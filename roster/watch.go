package roster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
)

// hold is the time for which a host that is missing from the list counts as
// live; a list that flaps must not move work about, and a host that is gone
// must not get new work for more than a few seconds.
const hold = 2 * time.Second

// Lister is the platform's list of hosts.
type Lister interface {
	Hosts(ctx context.Context) ([]core.Host, error)
}

// Roster is what was last known of the hosts. It is never changed once it can
// be seen.
type Roster struct {
	Hosts map[string]core.Host
	// At is the time of the last successful read; zero if there was none.
	At time.Time
	// Err is the error of the last read, or nil.
	Err error
}

// Watcher reads the list again and again.
type Watcher struct {
	lister Lister
	every  time.Duration
	logger logr.Logger

	roster atomic.Pointer[Roster]

	// mu orders those who change the roster.
	mu sync.Mutex
	// missing holds since when a host of the roster is not on the list.
	missing map[string]time.Time

	changed core.Signal
}

// New returns a watcher that reads the list at the given interval.
func New(lister Lister, every time.Duration, logger logr.Logger) *Watcher {
	w := &Watcher{
		lister:  lister,
		every:   every,
		logger:  logger.WithName("roster"),
		missing: make(map[string]time.Time),
	}
	w.roster.Store(&Roster{})
	return w
}

// Roster returns what was last known.
func (w *Watcher) Roster() *Roster { return w.roster.Load() }

// Changed returns a channel that is closed at the next read.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Changed() }

// Run reads the list until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.every)
	defer ticker.Stop()
	for {
		w.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) step(ctx context.Context) {
	listed, err := w.lister.Hosts(ctx)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.Roster()
	if err != nil {
		if before.Err == nil {
			w.logger.Error(err, "the host list fails")
		}
		w.publish(&Roster{Hosts: before.Hosts, At: before.At, Err: err})
		return
	}
	w.publish(&Roster{Hosts: w.bridge(before.Hosts, listed), At: time.Now()})
}

// Adopt takes a list that a peer read at the given time, if this node can't
// read the list itself and the peer's is newer.
func (w *Watcher) Adopt(hosts []core.Host, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.Roster()
	if before.Err == nil || !at.After(before.At) {
		return
	}
	w.publish(&Roster{Hosts: w.bridge(before.Hosts, hosts), At: at, Err: before.Err})
}

// bridge adds to the listed hosts those that went missing a moment ago; the
// caller holds mu.
func (w *Watcher) bridge(before map[string]core.Host, listed []core.Host) map[string]core.Host {
	hosts := make(map[string]core.Host, len(listed))
	for _, host := range listed {
		hosts[host.Name] = host
		delete(w.missing, host.Name)
	}
	for name, host := range before {
		if _, found := hosts[name]; found {
			continue
		}
		since, known := w.missing[name]
		if !known {
			since = time.Now()
			w.missing[name] = since
		}
		if time.Since(since) < hold {
			hosts[name] = host
			continue
		}
		delete(w.missing, name)
		w.logger.Info("host is gone from the list", "host", name)
	}
	return hosts
}

// publish makes a roster visible; the caller holds mu.
func (w *Watcher) publish(roster *Roster) {
	w.roster.Store(roster)
	w.changed.Notify()
}

package roster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
)

// missingGrace is how long a host that is missing from the list still counts as
// live. A flapping list must not cause work to move, and a removed host must
// not get new work for more than a few seconds.
const missingGrace = 2 * time.Second

// Lister is the platform's list of hosts.
type Lister interface {
	Hosts(ctx context.Context) ([]core.Host, error)
}

// Roster is the last known set of hosts. It is immutable once published.
type Roster struct {
	Hosts map[string]core.Host
	// ReadAt is the time of the last successful read of the list, by this node
	// or a peer; zero if there was none.
	ReadAt time.Time
	// Err is the error of this node's last read, or nil.
	Err error
}

// Watcher polls the host list.
type Watcher struct {
	lister   Lister
	interval time.Duration
	logger   logr.Logger

	roster atomic.Pointer[Roster]

	// mu serializes changes of the roster.
	mu sync.Mutex
	// missingSince maps hosts of the roster that are not in the list to the time
	// when that was first seen.
	missingSince map[string]time.Time

	changed core.Signal
}

// New returns a watcher that polls the list at the given interval.
func New(lister Lister, interval time.Duration, logger logr.Logger) *Watcher {
	w := &Watcher{
		lister:       lister,
		interval:     interval,
		logger:       logger.WithName("roster"),
		missingSince: make(map[string]time.Time),
	}
	w.roster.Store(&Roster{})
	return w
}

// Roster returns the current roster.
func (w *Watcher) Roster() *Roster { return w.roster.Load() }

// Changed returns a channel that is closed at the next read of the list.
func (w *Watcher) Changed() <-chan struct{} { return w.changed.Changed() }

// Run polls the list until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) poll(ctx context.Context) {
	listed, err := w.lister.Hosts(ctx)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.Roster()
	if err != nil {
		if before.Err == nil {
			w.logger.Error(err, "reading host list failed")
		}
		w.setRoster(&Roster{Hosts: before.Hosts, ReadAt: before.ReadAt, Err: err})
		return
	}
	w.setRoster(&Roster{Hosts: w.keepRecentlyMissing(before.Hosts, listed), ReadAt: time.Now()})
}

// UpdateFromPeer replaces the roster by a list that a peer read at the given
// time, if this node's last read failed and the peer's list is newer.
func (w *Watcher) UpdateFromPeer(hosts []core.Host, readAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.Roster()
	if before.Err == nil || !readAt.After(before.ReadAt) {
		return
	}
	w.setRoster(&Roster{Hosts: w.keepRecentlyMissing(before.Hosts, hosts), ReadAt: readAt, Err: before.Err})
}

// keepRecentlyMissing returns the listed hosts and those of the previous roster
// that have been missing for less than missingGrace. The caller must hold mu.
func (w *Watcher) keepRecentlyMissing(before map[string]core.Host, listed []core.Host) map[string]core.Host {
	hosts := make(map[string]core.Host, len(listed))
	for _, host := range listed {
		hosts[host.Name] = host
		delete(w.missingSince, host.Name)
	}
	for name, host := range before {
		if _, found := hosts[name]; found {
			continue
		}
		since, known := w.missingSince[name]
		if !known {
			since = time.Now()
			w.missingSince[name] = since
		}
		if time.Since(since) < missingGrace {
			hosts[name] = host
			continue
		}
		delete(w.missingSince, name)
		w.logger.Info("host removed from roster", "host", name)
	}
	return hosts
}

// setRoster publishes a roster to readers. The caller must hold mu.
func (w *Watcher) setRoster(roster *Roster) {
	w.roster.Store(roster)
	w.changed.Notify()
}

package fake

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// HostList is an in-memory list of hosts. Reads lag behind changes by an
// adjustable time.
type HostList struct {
	mu   sync.Mutex
	down bool
	lag  time.Duration
	// versions are the states of the list, the oldest first. Reads return the first
	// one after dropExpired.
	versions []listVersion
}

// listVersion is a state of the list and the time at which it took effect.
type listVersion struct {
	validFrom time.Time
	hosts     map[string]core.Host
}

// NewHostList returns an empty list without lag.
func NewHostList() *HostList {
	return &HostList{versions: []listVersion{{hosts: make(map[string]core.Host)}}}
}

// SetLag sets the time by which reads lag behind changes.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// update appends an edited copy of the newest version.
func (l *HostList) update(edit func(hosts map[string]core.Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := maps.Clone(l.versions[len(l.versions)-1].hosts)
	edit(hosts)
	l.versions = append(l.versions, listVersion{validFrom: time.Now(), hosts: hosts})
	l.dropExpired()
}

// dropExpired drops the versions that reads no longer return; the caller holds mu.
func (l *HostList) dropExpired() {
	for len(l.versions) > 1 && time.Since(l.versions[1].validFrom) >= l.lag {
		l.versions = l.versions[1:]
	}
}

// Put adds or replaces a host.
func (l *HostList) Put(host core.Host) {
	l.update(func(hosts map[string]core.Host) { hosts[host.Name] = host })
}

// MarkLeaving marks a host as leaving.
func (l *HostList) MarkLeaving(name string) {
	l.update(func(hosts map[string]core.Host) {
		host := hosts[name]
		host.State = core.HostLeaving
		hosts[name] = host
	})
}

// Remove deletes a host.
func (l *HostList) Remove(name string) {
	l.update(func(hosts map[string]core.Host) { delete(hosts, name) })
}

// SetDown sets whether reads fail.
func (l *HostList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts returns the hosts, sorted by name.
func (l *HostList) Hosts(context.Context) ([]core.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("the host list is down")
	}
	l.dropExpired()
	hosts := slices.Collect(maps.Values(l.versions[0].hosts))
	slices.SortFunc(hosts, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts, nil
}

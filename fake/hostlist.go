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

// HostList is a list of hosts in memory that shows what was so some time ago.
type HostList struct {
	mu   sync.Mutex
	down bool
	lag  time.Duration
	// versions are the lists since the one shown last, the oldest first.
	versions []listVersion
}

// listVersion is the list from a time on.
type listVersion struct {
	validFrom time.Time
	hosts     map[string]core.Host
}

// NewHostList returns an empty list without lag.
func NewHostList() *HostList {
	return &HostList{versions: []listVersion{{hosts: make(map[string]core.Host)}}}
}

// SetLag makes the list show what was so that long ago.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// update adds a version that differs from the newest.
func (l *HostList) update(edit func(hosts map[string]core.Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := maps.Clone(l.versions[len(l.versions)-1].hosts)
	edit(hosts)
	l.versions = append(l.versions, listVersion{validFrom: time.Now(), hosts: hosts})
	l.dropExpired()
}

// dropExpired drops the versions that are shown no longer; the caller holds mu.
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

// Remove takes a host off the list.
func (l *HostList) Remove(name string) {
	l.update(func(hosts map[string]core.Host) { delete(hosts, name) })
}

// SetDown makes every read fail, or ends that.
func (l *HostList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts returns the hosts in ascending order of their names.
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

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

// List is a list of hosts in memory that shows what was so some time ago.
type List struct {
	mu   sync.Mutex
	down bool
	lag  time.Duration
	// versions are the lists since the one shown last, the oldest first.
	versions []version
}

// version is the list from a time on.
type version struct {
	at    time.Time
	hosts map[string]core.Host
}

// NewList returns an empty list without lag.
func NewList() *List {
	return &List{versions: []version{{hosts: make(map[string]core.Host)}}}
}

// SetLag makes the list show what was so that long ago.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// change adds a version that differs from the newest.
func (l *List) change(edit func(hosts map[string]core.Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := maps.Clone(l.versions[len(l.versions)-1].hosts)
	edit(hosts)
	l.versions = append(l.versions, version{at: time.Now(), hosts: hosts})
	l.forget()
}

// forget drops the versions that are shown no longer; the caller holds mu.
func (l *List) forget() {
	for len(l.versions) > 1 && time.Since(l.versions[1].at) >= l.lag {
		l.versions = l.versions[1:]
	}
}

// Put adds or replaces a host.
func (l *List) Put(host core.Host) {
	l.change(func(hosts map[string]core.Host) { hosts[host.Name] = host })
}

// Leave marks a host as leaving.
func (l *List) Leave(name string) {
	l.change(func(hosts map[string]core.Host) {
		host := hosts[name]
		host.State = core.HostLeaving
		hosts[name] = host
	})
}

// Remove takes a host off the list.
func (l *List) Remove(name string) {
	l.change(func(hosts map[string]core.Host) { delete(hosts, name) })
}

// SetDown makes every read fail, or ends that.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts returns the hosts in ascending order of their names.
func (l *List) Hosts(context.Context) ([]core.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("the host list is down")
	}
	l.forget()
	hosts := slices.Collect(maps.Values(l.versions[0].hosts))
	slices.SortFunc(hosts, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts, nil
}

package fake

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// List is a list of hosts in memory.
type List struct {
	mu    sync.Mutex
	hosts map[string]core.Host
	down  bool
}

// NewList returns an empty list.
func NewList() *List {
	return &List{hosts: make(map[string]core.Host)}
}

// Put adds or replaces a host.
func (l *List) Put(host core.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host.Name] = host
}

// Leave marks a host as leaving.
func (l *List) Leave(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := l.hosts[name]
	host.State = core.HostLeaving
	l.hosts[name] = host
}

// Remove takes a host off the list.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, name)
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
	hosts := make([]core.Host, 0, len(l.hosts))
	for _, host := range l.hosts {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts, nil
}

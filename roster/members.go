package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rattanpath/core"
)

// remember is how long a node counts as a member after it was last heard of.
// Until then what it has in flight may still hold slots.
const remember = 10 * time.Second

// Members are the entry nodes that were heard of directly. They know of a node
// that joins before the host list shows it.
type Members struct {
	self    string
	changed core.Signal

	mu     sync.Mutex
	heard  map[string]time.Time
	joined bool
}

// NewMembers returns members that hold only the node itself.
func NewMembers(self string) *Members {
	return &Members{self: self, heard: make(map[string]time.Time)}
}

// Hear notes that a node was heard of now.
func (m *Members) Hear(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.heard[node]
	m.heard[node] = time.Now()
	if !known {
		m.changed.Notify()
	}
}

// SetJoined notes that the other members have heard of this node.
func (m *Members) SetJoined() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.joined {
		m.joined = true
		m.changed.Notify()
	}
}

// Joined reports whether the other members have heard of this node.
func (m *Members) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// Names returns the node itself and those heard of lately, in ascending order.
func (m *Members) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.heard, func(_ string, at time.Time) bool { return time.Since(at) > remember })
	names := append(slices.Collect(maps.Keys(m.heard)), m.self)
	slices.Sort(names)
	return slices.Compact(names)
}

// Changed returns a channel that is closed when a node is heard of for the
// first time or this one has joined.
func (m *Members) Changed() <-chan struct{} { return m.changed.Changed() }

package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rattanpath/core"
)

// memberTTL is how long a node counts as a member after it was last seen. Until
// then its in-flight requests may still occupy slots.
const memberTTL = 10 * time.Second

// Members are the entry nodes that recently exchanged messages with this one. A
// joining node is known here before it appears in the host list.
type Members struct {
	self    string
	changed core.Signal

	mu     sync.Mutex
	seenAt map[string]time.Time
	joined bool
}

// NewMembers returns a membership of only the node itself.
func NewMembers(self string) *Members {
	return &Members{self: self, seenAt: make(map[string]time.Time)}
}

// MarkSeen records that a message from the node has just arrived.
func (m *Members) MarkSeen(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.seenAt[node]
	m.seenAt[node] = time.Now()
	if !known {
		m.changed.Notify()
	}
}

// SetJoined records that the other members have seen this node.
func (m *Members) SetJoined() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.joined {
		m.joined = true
		m.changed.Notify()
	}
}

// Joined reports whether the other members have seen this node.
func (m *Members) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// Names returns the names of this node and of those seen within memberTTL, in
// ascending order.
func (m *Members) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.seenAt, func(_ string, at time.Time) bool { return time.Since(at) > memberTTL })
	names := append(slices.Collect(maps.Keys(m.seenAt)), m.self)
	slices.Sort(names)
	return slices.Compact(names)
}

// Changed returns a channel that is closed when a new node is seen or this node
// has joined.
func (m *Members) Changed() <-chan struct{} { return m.changed.Changed() }

package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// groupName is the name of the group and of the topic whose partitions it
	// assigns.
	groupName = "cells"
	// renewInterval is the time between renewals of the membership.
	renewInterval = 400 * time.Millisecond
	// renewRetryDelay is the time before the retry of a renewal that has failed once.
	// The membership must not expire before the retry.
	renewRetryDelay = 100 * time.Millisecond
	// memberTTL is how long a member keeps its partitions without a renewal.
	memberTTL = 1500 * time.Millisecond
	// ownersRefreshInterval is the time between periodic reads of partition owners.
	ownersRefreshInterval = time.Second
	// minOwnersRefreshInterval is the shortest time between any two such reads.
	minOwnersRefreshInterval = 50 * time.Millisecond
	// leaveTimeout limits the call that leaves the group.
	leaveTimeout = time.Second
	// promptRenewDelay is the time before a renewal that another node requested.
	promptRenewDelay = 10 * time.Millisecond
)

// Group assigns the partitions of a topic to its members.
type Group interface {
	Join(ctx context.Context, membership store.Membership) (store.Assignment, error)
	Leave(ctx context.Context, membership store.Membership) error
	PartitionOwners(ctx context.Context, group string) ([]store.PartitionOwner, error)
}

// Member maintains a node's membership in the group.
type Member struct {
	group      Group
	logger     logr.Logger
	mu         sync.Mutex
	membership store.Membership
	// assigned are the partitions that the store has assigned to the node, and
	// partitions those that the node acts on.
	assigned   []int
	partitions []int
	left       bool
	// standby is nil unless the node is a standby.
	standby *standbyState
	// renewed is when the last successful renewal was sent.
	renewed time.Time
	changed core.Signal
	// renewNow requests a renewal before the next periodic one.
	renewNow chan struct{}
	// OnRelease, if not nil, is called after this node has released partitions.
	OnRelease func()
}

// NewMember returns a member for a node with an RPC address. A standby joins the
// group only while no regular node is in it.
func NewMember(group Group, node, address string, minTTL time.Duration, standby bool, logger logr.Logger) *Member {
	m := &Member{
		group:    group,
		logger:   logger.WithName("owner"),
		renewNow: make(chan struct{}, 1),
		membership: store.Membership{
			Group:  groupName,
			Member: memberName(node, address),
			Topic:  groupName,
			TTL:    max(memberTTL, minTTL),
		},
	}
	if standby {
		m.standby = &standbyState{}
		m.membership.Member = standbyPrefix + m.membership.Member
	}
	return m
}

// Partitions returns the partitions assigned to this node. Those of its first renewal
// are left out until the next one: of nodes that start together the first to join is
// assigned all partitions for a moment, more than it can serve.
func (m *Member) Partitions() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions
}

// Assigned returns the partitions that the store has assigned to this node, whether it acts on
// them or not.
func (m *Member) Assigned() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.assigned
}

// Renewed returns when the last successful renewal was sent, or zero if there was
// none.
func (m *Member) Renewed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// Expired reports whether the last renewal was so long ago that the store may have
// assigned the partitions to other nodes.
func (m *Member) Expired() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.renewed) >= m.membership.TTL
}

// Changed returns a channel that is closed after the next renewal.
func (m *Member) Changed() <-chan struct{} { return m.changed.Changed() }

// Run renews the membership until ctx ends.
func (m *Member) Run(ctx context.Context) {
	failures := 0
	for {
		joined := m.inGroup()
		if joined && !m.renewOrRelease(ctx) {
			failures++
		} else {
			failures = 0
			m.updateStandby(ctx)
		}
		delay := renewInterval
		if failures == 1 || m.inGroup() != joined {
			delay = renewRetryDelay
		}
		select {
		case <-m.renewNow:
			if core.Sleep(ctx, promptRenewDelay) != nil {
				return
			}
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
	}
}

// renewOrRelease renews the membership, releases the partitions that the node has lost,
// and reports whether the renewal succeeded.
func (m *Member) renewOrRelease(ctx context.Context) bool {
	released, renewed := m.renew(ctx)
	if released {
		// The store reassigns the released partitions only after this node has
		// confirmed the new generation.
		m.renew(ctx)
		m.notifyReleased()
	}
	return renewed
}

// RenewNow requests a renewal after promptRenewDelay.
func (m *Member) RenewNow() {
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

func (m *Member) notifyReleased() {
	if m.OnRelease != nil {
		m.OnRelease()
	}
}

// renew renews the membership and reports whether the node has lost partitions, and
// whether it succeeded.
func (m *Member) renew(ctx context.Context) (released, renewed bool) {
	m.mu.Lock()
	membership, left := m.membership, m.left
	m.mu.Unlock()
	if left {
		return false, true
	}
	sent := time.Now()
	assignment, err := m.group.Join(ctx, membership)
	if err != nil {
		if ctx.Err() == nil {
			m.logger.Info("failed to renew the group membership", "generation", membership.Generation, "err", err.Error())
		}
		return false, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return false, true
	}
	released = slices.ContainsFunc(m.assigned, func(p int) bool { return !slices.Contains(assignment.Partitions, p) })
	if assignment.Generation != m.membership.Generation {
		m.logger.Info("partitions reassigned", "generation", assignment.Generation, "before", m.membership.Generation, "held", len(assignment.Partitions))
	}
	m.membership.Generation = assignment.Generation
	m.adopt(assignment.Partitions, sent)
	m.renewed = sent
	m.changed.Notify()
	return released, true
}

// adopt acts on the partitions of a renewal that was sent at a given time. If the
// membership has been expired until then, it adds no partition to those held. m.mu must
// be held.
func (m *Member) adopt(assigned []int, sent time.Time) {
	m.assigned = assigned
	if sent.Sub(m.renewed) < m.membership.TTL {
		m.partitions = assigned
		return
	}
	m.partitions = slices.DeleteFunc(slices.Clone(m.partitions), func(p int) bool { return !slices.Contains(assigned, p) })
}

// Leave leaves the group for good, so that other nodes can take over the
// partitions at once.
func (m *Member) Leave(ctx context.Context) {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	m.releasePartitions(ctx)
}

// releasePartitions leaves the group until the next renewal.
func (m *Member) releasePartitions(ctx context.Context) {
	m.mu.Lock()
	m.assigned, m.partitions = nil, nil
	membership := m.membership
	m.mu.Unlock()
	m.changed.Notify()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := m.group.Leave(ctx, membership); err != nil {
		m.logger.Info("failed to leave the group; its partitions stay assigned until the membership expires", "err", err.Error())
		return
	}
	m.notifyReleased()
}

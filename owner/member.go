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
	// groupName names the group and the topic whose partitions are dealt out.
	groupName = "cells"
	// renewInterval is the time between two renewals of the membership.
	renewInterval = 400 * time.Millisecond
	// memberTTL is how long a member that is silent keeps its partitions.
	memberTTL = 1500 * time.Millisecond
	// ownersRefreshInterval is the time between two looks at who holds what.
	ownersRefreshInterval = time.Second
	// minOwnersRefreshInterval is the shortest time between two such looks.
	minOwnersRefreshInterval = 50 * time.Millisecond
	// leaveTimeout bounds the last call of a node that stops.
	leaveTimeout = time.Second
	// promptRenewDelay is the time before a renewal that others ask for.
	promptRenewDelay = 10 * time.Millisecond
)

// Group is the store's division of partitions among members.
type Group interface {
	Join(ctx context.Context, membership store.Membership) (store.Assignment, error)
	Leave(ctx context.Context, membership store.Membership) error
	PartitionOwners(ctx context.Context, group string) ([]store.PartitionOwner, error)
}

// Member keeps a node in the group.
type Member struct {
	group      Group
	logger     logr.Logger
	mu         sync.Mutex
	membership store.Membership
	partitions []int
	left       bool
	// standby is nil for a node that always is in the group.
	standby *standbyState
	// renewed is when the membership was last confirmed.
	renewed time.Time
	changed core.Signal
	// renewNow asks for a renewal at once.
	renewNow chan struct{}
	// Shrunk, if it is not nil, is called when this node has given partitions up,
	// so that others may look for them.
	OnRelease func()
}

// NewMember returns a member of the group that answers at an address. One in
// reserve is in the group only while no other is.
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

// Partitions returns the partitions that the store gives this node.
func (m *Member) Partitions() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions
}

// Renewed returns when the membership was last confirmed; zero if it never was.
func (m *Member) Renewed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// Changed returns a channel that is closed after the next renewal.
func (m *Member) Changed() <-chan struct{} { return m.changed.Changed() }

// Run keeps the membership until ctx ends.
func (m *Member) Run(ctx context.Context) {
	for {
		if m.shouldJoin(ctx) && m.renew(ctx) {
			// The store gives the partitions to others once this node shows that it
			// knows.
			m.renew(ctx)
			m.notifyReleased()
		}
		select {
		case <-m.renewNow:
			if core.Sleep(ctx, promptRenewDelay) != nil {
				return
			}
		case <-time.After(renewInterval):
		case <-ctx.Done():
			return
		}
	}
}

// RenewNow asks for a renewal soon.
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

// renew joins the group once more and reports whether the node has lost
// partitions by it.
func (m *Member) renew(ctx context.Context) bool {
	m.mu.Lock()
	membership, left := m.membership, m.left
	m.mu.Unlock()
	if left {
		return false
	}
	assignment, err := m.group.Join(ctx, membership)
	if err != nil {
		if ctx.Err() == nil {
			m.logger.Info("the membership could not be renewed", "generation", membership.Generation, "err", err.Error())
		}
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return false
	}
	released := slices.ContainsFunc(m.partitions, func(p int) bool { return !slices.Contains(assignment.Partitions, p) })
	if assignment.Generation != m.membership.Generation {
		m.logger.Info("the partitions were dealt out", "generation", assignment.Generation, "before", m.membership.Generation, "held", len(assignment.Partitions))
	}
	m.membership.Generation = assignment.Generation
	m.partitions = assignment.Partitions
	m.renewed = time.Now()
	m.changed.Notify()
	return released
}

// Leave gives up all partitions for good, so that others take them at once.
func (m *Member) Leave(ctx context.Context) {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	m.releasePartitions(ctx)
}

// releasePartitions gives up all partitions until the next renewal.
func (m *Member) releasePartitions(ctx context.Context) {
	m.mu.Lock()
	m.partitions = nil
	membership := m.membership
	m.mu.Unlock()
	m.changed.Notify()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := m.group.Leave(ctx, membership); err != nil {
		m.logger.Info("the group could not be left; others wait for the membership to lapse", "err", err.Error())
		return
	}
	m.notifyReleased()
}

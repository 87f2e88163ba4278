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
	// joinEvery is the time between two renewals of the membership.
	joinEvery = 400 * time.Millisecond
	// memberTTL is how long a member that is silent keeps its partitions.
	memberTTL = 1500 * time.Millisecond
	// holdingsEvery is the time between two looks at who holds what.
	holdingsEvery = time.Second
	// holdingsPause is the shortest time between two such looks.
	holdingsPause = 50 * time.Millisecond
	// leaveTime bounds the last call of a node that stops.
	leaveTime = time.Second
	// hurryPause is the time before a renewal that others ask for.
	hurryPause = 10 * time.Millisecond
)

// Group is the store's division of partitions among members.
type Group interface {
	Join(ctx context.Context, membership store.Membership) (store.Share, error)
	Leave(ctx context.Context, membership store.Membership) error
	Holdings(ctx context.Context, group string) ([]store.Holding, error)
}

// Member keeps a node in the group.
type Member struct {
	group      Group
	logger     logr.Logger
	mu         sync.Mutex
	membership store.Membership
	held       []int
	left       bool
	// reserve is nil for a node that always is in the group.
	reserve *reserve
	// renewed is when the membership was last confirmed.
	renewed time.Time
	changed core.Signal
	// hurry asks for a renewal at once.
	hurry chan struct{}
	// Shrunk, if it is not nil, is called when this node has given partitions up,
	// so that others may look for them.
	Shrunk func()
}

// NewMember returns a member of the group that answers at an address. One in
// reserve is in the group only while no other is.
func NewMember(group Group, node, address string, minTTL time.Duration, inReserve bool, logger logr.Logger) *Member {
	m := &Member{
		group:  group,
		logger: logger.WithName("owner"),
		hurry:  make(chan struct{}, 1),
		membership: store.Membership{
			Group:  groupName,
			Member: memberName(node, address),
			Topic:  groupName,
			TTL:    max(memberTTL, minTTL),
		},
	}
	if inReserve {
		m.reserve = &reserve{}
		m.membership.Member = reserveMark + m.membership.Member
	}
	return m
}

// Held returns the partitions that the store gives this node.
func (m *Member) Held() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
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
		if m.stands(ctx) && m.renew(ctx) {
			// The store gives the partitions to others once this node shows that it
			// knows.
			m.renew(ctx)
			m.tellOthers()
		}
		select {
		case <-m.hurry:
			if core.Sleep(ctx, hurryPause) != nil {
				return
			}
		case <-time.After(joinEvery):
		case <-ctx.Done():
			return
		}
	}
}

// Hurry asks for a renewal soon.
func (m *Member) Hurry() {
	select {
	case m.hurry <- struct{}{}:
	default:
	}
}

func (m *Member) tellOthers() {
	if m.Shrunk != nil {
		m.Shrunk()
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
	share, err := m.group.Join(ctx, membership)
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
	shrunk := slices.ContainsFunc(m.held, func(held int) bool { return !slices.Contains(share.Partitions, held) })
	if share.Generation != m.membership.Generation {
		m.logger.Info("the partitions were dealt out", "generation", share.Generation, "before", m.membership.Generation, "held", len(share.Partitions))
	}
	m.membership.Generation = share.Generation
	m.held = share.Partitions
	m.renewed = time.Now()
	m.changed.Notify()
	return shrunk
}

// Leave gives up all partitions for good, so that others take them at once.
func (m *Member) Leave(ctx context.Context) {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	m.stepBack(ctx)
}

// stepBack gives up all partitions until the next renewal.
func (m *Member) stepBack(ctx context.Context) {
	m.mu.Lock()
	m.held = nil
	membership := m.membership
	m.mu.Unlock()
	m.changed.Notify()
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	if err := m.group.Leave(ctx, membership); err != nil {
		m.logger.Info("the group could not be left; others wait for the membership to lapse", "err", err.Error())
		return
	}
	m.tellOthers()
}

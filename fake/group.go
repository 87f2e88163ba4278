package fake

import (
	"context"
	"maps"
	"slices"
	"time"

	"rattanpath/store"
)

// group assigns the partitions of a topic to its members.
type group struct {
	generation int64
	members    map[string]*member
	// owners holds the member that owns each partition, and targets the member that
	// owns it once the rebalance is complete.
	owners  map[int]string
	targets map[int]string
}

type member struct {
	expiresAt time.Time
	// generation is the latest one with which the member joined.
	generation int64
}

func (s *Store) group(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: make(map[string]*member), owners: make(map[int]string), targets: make(map[int]string)}
	}
	return s.groups[name]
}

// Join implements owner.Group.
func (c *StoreClient) Join(ctx context.Context, membership store.Membership) (store.Assignment, error) {
	if err := c.beginCall(ctx); err != nil {
		return store.Assignment{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	g := c.store.group(membership.Group)
	g.expireMembers(time.Now())
	m := g.members[membership.Member]
	if m == nil {
		m = &member{}
		g.members[membership.Member] = m
		g.assign()
	}
	m.expiresAt = time.Now().Add(membership.TTL)
	m.generation = membership.Generation
	g.transfer()
	assignment := store.Assignment{Generation: g.generation}
	for partition, owner := range g.owners {
		if owner == membership.Member && g.targets[partition] == owner {
			assignment.Partitions = append(assignment.Partitions, partition)
		}
	}
	slices.Sort(assignment.Partitions)
	return assignment, nil
}

// Leave implements owner.Group.
func (c *StoreClient) Leave(ctx context.Context, membership store.Membership) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	g := c.store.group(membership.Group)
	if g.members[membership.Member] != nil {
		delete(g.members, membership.Member)
		g.assign()
		g.transfer()
	}
	return nil
}

// PartitionOwners implements owner.Group.
func (c *StoreClient) PartitionOwners(ctx context.Context, name string) ([]store.PartitionOwner, error) {
	if err := c.beginCall(ctx); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	g := c.store.group(name)
	g.expireMembers(time.Now())
	var owners []store.PartitionOwner
	for partition, owner := range g.owners {
		owners = append(owners, store.PartitionOwner{Partition: partition, Member: owner})
	}
	slices.SortFunc(owners, func(a, b store.PartitionOwner) int { return a.Partition - b.Partition })
	return owners, nil
}

// ForceRebalance reassigns all partitions of a group at once, without waiting for
// their owners to release them. The shift rotates the assignment.
func (s *Store) ForceRebalance(name string, shift int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	for partition := range storePartitions {
		if len(names) > 0 {
			g.targets[partition] = names[(partition+shift)%len(names)]
			g.owners[partition] = g.targets[partition]
		}
	}
}

// expireMembers removes the members whose TTL has passed.
func (g *group) expireMembers(now time.Time) {
	for name, m := range g.members {
		if now.After(m.expiresAt) && !m.expiresAt.IsZero() {
			delete(g.members, name)
			g.assign()
		}
	}
	g.transfer()
}

// assign starts a generation: it sets the target of each partition.
func (g *group) assign() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	for partition := range storePartitions {
		delete(g.targets, partition)
		if len(names) > 0 {
			g.targets[partition] = names[partition%len(names)]
		}
	}
}

// transfer gives each partition to its target once the previous owner has joined
// with the current generation or has left.
func (g *group) transfer() {
	for partition := range storePartitions {
		owner := g.owners[partition]
		m := g.members[owner]
		if owner == g.targets[partition] || (m != nil && m.generation < g.generation) {
			continue
		}
		delete(g.owners, partition)
		if g.targets[partition] != "" {
			g.owners[partition] = g.targets[partition]
		}
	}
}

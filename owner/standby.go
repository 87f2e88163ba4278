package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"rattanpath/store"
)

const (
	// standbyPrefix begins the names of members in reserve.
	standbyPrefix = "reserve~"
	// standbyJoinDelay is how long no other member may have been seen before a node in
	// reserve joins, and stepBackTime how long others must have been seen before it
	// leaves.
	standbyJoinDelay  = 1500 * time.Millisecond
	standbyLeaveDelay = 3 * time.Second
)

// standbyState decides when a node in reserve is in the group: while no other node is.
type standbyState struct {
	// since is when what the last look showed was seen first.
	since        time.Time
	othersActive bool
	joined       bool
}

// observe takes in who holds partitions, and returns whether the node should be in
// the group.
func (s *standbyState) observe(owners []store.PartitionOwner, now time.Time) bool {
	active := slices.ContainsFunc(owners, func(o store.PartitionOwner) bool {
		return o.Member != "" && !strings.HasPrefix(o.Member, standbyPrefix)
	})
	if active != s.othersActive || s.since.IsZero() {
		s.othersActive, s.since = active, now
	}
	switch {
	case !active && now.Sub(s.since) >= standbyJoinDelay:
		s.joined = true
	case active && now.Sub(s.since) >= standbyLeaveDelay:
		s.joined = false
	}
	return s.joined
}

// shouldJoin reports whether this node is to be in the group now. A node in reserve
// looks who is; one that has to go leaves at once.
func (m *Member) shouldJoin(ctx context.Context) bool {
	if m.standby == nil {
		return true
	}
	owners, err := m.group.PartitionOwners(ctx, groupName)
	if err != nil {
		return m.standby.joined
	}
	wasJoined := m.standby.joined
	join := m.standby.observe(owners, time.Now())
	if join != wasJoined {
		m.logger.Info("the reserve changes", "joins", join)
	}
	if wasJoined && !join {
		m.releasePartitions(ctx)
	}
	return join
}

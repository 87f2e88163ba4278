package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"rattanpath/store"
)

const (
	// standbyPrefix marks the member names of standby nodes.
	standbyPrefix = "reserve~"
	// A standby joins the group once no regular node has owned a partition for
	// standbyJoinDelay, and leaves it once one has for standbyLeaveDelay.
	standbyJoinDelay  = 1500 * time.Millisecond
	standbyLeaveDelay = 3 * time.Second
	// standbyReadTimeout limits the read of the partition owners, which delays the next
	// renewal.
	standbyReadTimeout = 250 * time.Millisecond
)

// standbyState decides when a standby node is in the group: only while no regular
// node is.
type standbyState struct {
	// since is when regularActive last changed; regularActive means that a regular
	// node owns a partition.
	since         time.Time
	regularActive bool
	joined        bool
}

// observe updates the state with the current partition owners and reports whether
// the node should be in the group.
func (s *standbyState) observe(owners []store.PartitionOwner, now time.Time) bool {
	active := slices.ContainsFunc(owners, func(o store.PartitionOwner) bool {
		return o.Member != "" && !strings.HasPrefix(o.Member, standbyPrefix)
	})
	if active != s.regularActive || s.since.IsZero() {
		s.regularActive, s.since = active, now
	}
	switch {
	case !active && now.Sub(s.since) >= standbyJoinDelay:
		s.joined = true
	case active && now.Sub(s.since) >= standbyLeaveDelay:
		s.joined = false
	}
	return s.joined
}

// inGroup reports whether the node should be in the group.
func (m *Member) inGroup() bool { return m.standby == nil || m.standby.joined }

// updateStandby decides whether a standby node should be in the group. If it no longer
// should, it leaves the group.
func (m *Member) updateStandby(ctx context.Context) {
	if m.standby == nil {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, standbyReadTimeout)
	defer cancel()
	owners, err := m.group.PartitionOwners(readCtx, groupName)
	if err != nil {
		return
	}
	wasJoined := m.standby.joined
	join := m.standby.observe(owners, time.Now())
	if join != wasJoined {
		m.logger.Info("standby node joins or leaves the group", "joins", join)
	}
	if wasJoined && !join {
		m.releasePartitions(ctx)
	}
}

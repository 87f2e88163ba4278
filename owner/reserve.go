package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"rattanpath/store"
)

const (
	// reserveMark begins the names of members in reserve.
	reserveMark = "reserve~"
	// stepInTime is how long no other member may have been seen before a node in
	// reserve joins, and stepBackTime how long others must have been seen before it
	// leaves.
	stepInTime   = 1500 * time.Millisecond
	stepBackTime = 3 * time.Second
)

// reserve decides when a node in reserve is in the group: while no other node is.
type reserve struct {
	// since is when what the last look showed was seen first.
	since  time.Time
	others bool
	joined bool
}

// see takes in who holds partitions, and returns whether the node should be in
// the group.
func (r *reserve) see(holdings []store.Holding, now time.Time) bool {
	others := slices.ContainsFunc(holdings, func(h store.Holding) bool {
		return h.Member != "" && !strings.HasPrefix(h.Member, reserveMark)
	})
	if others != r.others || r.since.IsZero() {
		r.others, r.since = others, now
	}
	switch {
	case !others && now.Sub(r.since) >= stepInTime:
		r.joined = true
	case others && now.Sub(r.since) >= stepBackTime:
		r.joined = false
	}
	return r.joined
}

// stands reports whether this node is to be in the group now. A node in reserve
// looks who is; one that has to go leaves at once.
func (m *Member) stands(ctx context.Context) bool {
	if m.reserve == nil {
		return true
	}
	holdings, err := m.group.Holdings(ctx, groupName)
	if err != nil {
		return m.reserve.joined
	}
	before := m.reserve.joined
	stands := m.reserve.see(holdings, time.Now())
	if stands != before {
		m.logger.Info("the reserve changes", "joins", stands)
	}
	if before && !stands {
		m.stepBack(ctx)
	}
	return stands
}

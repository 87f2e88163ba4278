package pool

import (
	"strings"
	"time"

	"rattanpath/tasks"
)

// Host is one incarnation of an upstream host, as described by its entry.
type Host struct {
	// ID identifies the host. A restarted host may have the same ID.
	ID string
	// Incarnation is the start time of this incarnation in milliseconds since
	// 1970, or 0 if unknown.
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	Labels      []string
	Capacity    tasks.Resources
	// Draining means that the host takes no new work and is going to leave.
	Draining bool
	// Remaining is the minimum time that a draining host has left.
	Remaining time.Duration
}

// rackLabelPrefix is the prefix of the label that names a host's rack.
const rackLabelPrefix = "r"

// Rack returns the label of the host's rack, or an empty string.
func (h *Host) Rack() string {
	for _, label := range h.Labels {
		if strings.HasPrefix(label, rackLabelPrefix) && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

package pool

import (
	"strings"
	"time"

	"rattanpath/tasks"
)

// Host is one incarnation of an upstream host, as described by its record.
type Host struct {
	// ID identifies the host. A restarted host may have the same ID.
	ID string
	// Incarnation is the start time of this incarnation in Unix milliseconds, or
	// 0 if unknown.
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	Labels      []string
	Capacity    tasks.Resources
	// Draining means that the host accepts no new work and will shut down.
	Draining bool
	// Remaining is the minimum time before a draining host shuts down.
	Remaining time.Duration
	// HostTime is the reading of the host's clock when it wrote the record, and
	// WrittenAfter one of this node's clock before that; each is 0 if unknown.
	HostTime     time.Duration
	WrittenAfter time.Duration
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

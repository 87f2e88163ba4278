package pool

import (
	"strings"
	"time"

	"rattanpath/tasks"
)

// Host is one life of an upstream host, as it describes itself.
type Host struct {
	// ID names the host; a host may be born again under it.
	ID string
	// Born is when this life began, in milliseconds since 1970; 0 if unknown.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Labels     []string
	Room       tasks.Resources
	// Draining means that the host takes no new work and will leave.
	Draining bool
	// Remaining is the least time that a draining host has left.
	Remaining time.Duration
}

// rackMark begins the label that names a host's rack.
const rackMark = "r"

// Rack returns the label of the host's rack, or nothing.
func (h *Host) Rack() string {
	for _, label := range h.Labels {
		if strings.HasPrefix(label, rackMark) && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

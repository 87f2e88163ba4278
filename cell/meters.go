package cell

import (
	"github.com/VictoriaMetrics/metrics"

	"rattanpath/tasks"
)

// Meters count what the cells of a node do.
type Meters struct {
	Claimed *metrics.Counter
	Lost    *metrics.Counter
	// Write and Start are the durations of writes and of orders to start, and
	// Waited the time that tasks wait for their run, in seconds.
	Write  *metrics.Histogram
	Start  *metrics.Histogram
	Waited *metrics.Histogram

	set *metrics.Set
}

// NewMeters returns meters in a set.
func NewMeters(set *metrics.Set) *Meters {
	return &Meters{
		Claimed: set.NewCounter("rattanpath_cell_claims_total"),
		Lost:    set.NewCounter("rattanpath_cell_losses_total"),
		Write:   set.NewHistogram("rattanpath_cell_write_seconds"),
		Start:   set.NewHistogram("rattanpath_cell_start_seconds"),
		Waited:  set.NewHistogram("rattanpath_cell_task_wait_seconds"),
		set:     set,
	}
}

// end counts an end of a run.
func (m *Meters) end(how tasks.How) {
	m.set.GetOrCreateCounter(`rattanpath_cell_ends_total{how="` + how.String() + `"}`).Inc()
}

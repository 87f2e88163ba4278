package cell

import (
	"time"

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
	// Claim is the duration of claims, and Advice that of the advisor's answers.
	Claim  *metrics.Histogram
	Advice *metrics.Histogram
	// Doubts counts starts without an answer, Stalls runs that stood still, and
	// Paces changes of how hard tasks that fill work.
	Doubts *metrics.Counter
	Stalls *metrics.Counter
	Paces  *metrics.Counter

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
		Claim:   set.NewHistogram("rattanpath_cell_claim_seconds"),
		Advice:  set.NewHistogram("rattanpath_cell_advice_seconds"),
		Doubts:  set.NewCounter("rattanpath_cell_doubts_total"),
		Stalls:  set.NewCounter("rattanpath_cell_stalls_total"),
		Paces:   set.NewCounter("rattanpath_cell_paces_total"),
		set:     set,
	}
}

// jobEnded counts a job that has ended, and how long it took.
func (m *Meters) jobEnded(phase tasks.Phase, took time.Duration) {
	m.set.GetOrCreateHistogram(`rattanpath_cell_job_seconds{phase="` + phase.String() + `"}`).Update(took.Seconds())
}

// end counts an end of a run.
func (m *Meters) end(how tasks.EndReason) {
	m.set.GetOrCreateCounter(`rattanpath_cell_ends_total{how="` + how.String() + `"}`).Inc()
}

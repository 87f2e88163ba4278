package cell

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/tasks"
)

// Metrics count what the cells of a node do.
type Metrics struct {
	Claims *metrics.Counter
	Losses *metrics.Counter
	// Write and Start are the durations of writes and of orders to start, and
	// Waited the time that tasks wait for their run, in seconds.
	Write    *metrics.Histogram
	Start    *metrics.Histogram
	TaskWait *metrics.Histogram
	// Claim is the duration of claims, and Advice that of the advisor's answers.
	Claim  *metrics.Histogram
	Advice *metrics.Histogram
	// UnansweredStarts counts starts without an answer, Stalls runs that stood still, and
	// Paces changes of how hard tasks that fill work.
	UnansweredStarts *metrics.Counter
	Stalls           *metrics.Counter
	PaceChanges      *metrics.Counter

	set *metrics.Set
}

// NewMetrics returns meters in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Claims:           set.NewCounter("rattanpath_cell_claims_total"),
		Losses:           set.NewCounter("rattanpath_cell_losses_total"),
		Write:            set.NewHistogram("rattanpath_cell_write_seconds"),
		Start:            set.NewHistogram("rattanpath_cell_start_seconds"),
		TaskWait:         set.NewHistogram("rattanpath_cell_task_wait_seconds"),
		Claim:            set.NewHistogram("rattanpath_cell_claim_seconds"),
		Advice:           set.NewHistogram("rattanpath_cell_advice_seconds"),
		UnansweredStarts: set.NewCounter("rattanpath_cell_doubts_total"),
		Stalls:           set.NewCounter("rattanpath_cell_stalls_total"),
		PaceChanges:      set.NewCounter("rattanpath_cell_paces_total"),
		set:              set,
	}
}

// recordJob counts a job that has ended, and how long it took.
func (m *Metrics) recordJob(phase tasks.Phase, took time.Duration) {
	m.set.GetOrCreateHistogram(`rattanpath_cell_job_seconds{phase="` + phase.String() + `"}`).Update(took.Seconds())
}

// recordEnd counts an end of a run.
func (m *Metrics) recordEnd(how tasks.How) {
	m.set.GetOrCreateCounter(`rattanpath_cell_ends_total{how="` + how.String() + `"}`).Inc()
}

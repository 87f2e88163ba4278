package sched

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/coloc"
	"rattanpath/tasks"
)

// Metrics are the metrics of the cells of a node.
type Metrics struct {
	Claims *metrics.Counter
	Losses *metrics.Counter
	// WriteSeconds is the duration of store writes, StartSeconds that of start
	// commands, and TaskWaitSeconds the time that tasks wait for a run.
	WriteSeconds    *metrics.Histogram
	StartSeconds    *metrics.Histogram
	TaskWaitSeconds *metrics.Histogram
	// ClaimSeconds is the duration of claims, and AdviceSeconds that of
	// successful advisor calls.
	ClaimSeconds  *metrics.Histogram
	AdviceSeconds *metrics.Histogram
	// UnconfirmedStarts counts start commands that timed out or failed with
	// unknown outcome, Stalls stalled runs, TasksGivenUp tasks that crashed too many
	// hosts, and PaceChanges changes of the share of best-effort tasks.
	UnconfirmedStarts *metrics.Counter
	Stalls            *metrics.Counter
	TasksGivenUp      *metrics.Counter
	PaceChanges       *metrics.Counter
	// RejectedWrites counts the jobs whose records the store has rejected, each time.
	RejectedWrites *metrics.Counter
	// Trims counts trims of cells' topics.
	Trims *metrics.Counter

	set *metrics.Set
	// labels holds the label values of organisations by name.
	labelsMu sync.Mutex
	labels   map[string]string
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Claims:            set.NewCounter("rattanpath_cell_claims_total"),
		Losses:            set.NewCounter("rattanpath_cell_losses_total"),
		WriteSeconds:      set.NewHistogram("rattanpath_cell_write_seconds"),
		StartSeconds:      set.NewHistogram("rattanpath_cell_start_seconds"),
		TaskWaitSeconds:   set.NewHistogram("rattanpath_cell_task_wait_seconds"),
		ClaimSeconds:      set.NewHistogram("rattanpath_cell_claim_seconds"),
		AdviceSeconds:     set.NewHistogram("rattanpath_cell_advice_seconds"),
		UnconfirmedStarts: set.NewCounter("rattanpath_cell_doubts_total"),
		Stalls:            set.NewCounter("rattanpath_cell_stalls_total"),
		TasksGivenUp:      set.NewCounter("rattanpath_cell_given_up_tasks_total"),
		PaceChanges:       set.NewCounter("rattanpath_cell_paces_total"),
		RejectedWrites:    set.NewCounter("rattanpath_cell_rejected_writes_total"),
		Trims:             set.NewCounter("rattanpath_cell_trims_total"),
		set:               set,
	}
}

// recordJob records the duration of a job that has ended.
func (m *Metrics) recordJob(phase tasks.Phase, took time.Duration) {
	m.set.GetOrCreateHistogram(`rattanpath_cell_job_seconds{phase="` + phase.String() + `"}`).Update(took.Seconds())
}

// setSlowHosts records how many hosts of a service count as slow.
func (m *Metrics) setSlowHosts(service string, count int) {
	m.set.GetOrCreateGauge(`rattanpath_cell_slow_hosts{service="`+service+`"}`, nil).Set(float64(count))
}

// setOverdueRuns records how many runs of a service's serving tasks count as active although
// their hosts have not confirmed them for overdueDelay.
func (m *Metrics) setOverdueRuns(service string, count int) {
	m.set.GetOrCreateGauge(`rattanpath_cell_overdue_serving_runs{service="`+service+`"}`, nil).Set(float64(count))
}

// recordEnd counts a run that has ended.
func (m *Metrics) recordEnd(reason tasks.EndReason) {
	m.set.GetOrCreateCounter(`rattanpath_cell_ends_total{how="` + reason.String() + `"}`).Inc()
}

// recordLoss counts a run that is over although its host has not reported its end.
func (m *Metrics) recordLoss(why lossReason) {
	m.set.GetOrCreateCounter(`rattanpath_cell_lost_runs_total{why="` + string(why) + `"}`).Inc()
}

// recordGap records the parts of the time that a serving task was without a run, the last of
// which is that of the start.
func (m *Metrics) recordGap(g *gap, started time.Duration) {
	parts := map[string]time.Duration{
		"found": g.found, "waited": g.waited, "retried": g.retried, "started": started,
		"total": g.found + g.waited + g.retried + started,
	}
	for part, took := range parts {
		m.set.GetOrCreateHistogram(`rattanpath_cell_serving_gap_seconds{part="` + part + `",since="` + string(g.since) + `"}`).Update(took.Seconds())
	}
}

// recordWait counts a serving task that waits for a host for long, by what it waits for.
func (m *Metrics) recordWait(why string) {
	m.set.GetOrCreateCounter(`rattanpath_cell_serving_waits_total{why="` + obstacleLabel(why) + `"}`).Inc()
}

// recordVerdict counts a change of what is known of a pair of images.
func (m *Metrics) recordVerdict(verdict coloc.Verdict) {
	m.set.GetOrCreateCounter(`rattanpath_cell_interference_total{verdict="` + verdict.String() + `"}`).Inc()
}

// maxOrganisationLabels limits the values of the metrics' label "organisation". One of them stands
// for all organisations beyond the limit.
const maxOrganisationLabels = 64

// otherOrganisations is the label value of organisations beyond the limit, in quotes.
const otherOrganisations = `"(others)"`

// organisationLabel returns the label value of an organisation in quotes.
func (m *Metrics) organisationLabel(name string) string {
	m.labelsMu.Lock()
	defer m.labelsMu.Unlock()
	if label, known := m.labels[name]; known {
		return label
	}
	if len(m.labels) >= maxOrganisationLabels-1 {
		return otherOrganisations
	}
	if m.labels == nil {
		m.labels = make(map[string]string)
	}
	m.labels[name] = strconv.QuoteToASCII(name)
	return m.labels[name]
}

// recordHeld counts a pass that held back tasks of an organisation.
func (m *Metrics) recordHeld(name, reason string) {
	m.set.GetOrCreateCounter(`rattanpath_organisation_held_passes_total{organisation=` + m.organisationLabel(name) + `,reason="` + reason + `"}`).Inc()
}

// recordRefused counts a job of an organisation that was refused.
func (m *Metrics) recordRefused(name, reason string) {
	m.set.GetOrCreateCounter(`rattanpath_organisation_refusals_total{organisation=` + m.organisationLabel(name) + `,reason="` + reason + `"}`).Inc()
}

// recordAssigned counts a run of an organisation that was assigned to a host.
func (m *Metrics) recordAssigned(name string) {
	m.set.GetOrCreateCounter(`rattanpath_organisation_runs_total{organisation=` + m.organisationLabel(name) + `}`).Inc()
}

package demo

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"rattanpath/load"
)

// Report holds the results of a demo.
type Report struct {
	Sent       int
	Whole      int
	NotRun     int
	MayHaveRun int
	// BrokenOff counts requests that ended with a transport error, after which the
	// caller doesn't know whether they ran.
	BrokenOff int
	// Lost counts idempotent requests that got no complete response at any
	// attempt.
	Lost int
	// CutOffByStops counts requests that ended with a transport error before or
	// during the graceful stop of a node.
	CutOffByStops int
	// LateWork counts requests that reached a drained or leaving host after the
	// grace period.
	LateWork int
	Findings load.Findings
	// Causes counts refused and failed requests by cause.
	Causes map[string]int
	// InForce holds, for each published change, the time until it was active on all
	// nodes.
	InForce  []time.Duration
	P50, P99 time.Duration
}

// maxRolloutTime is the time within which a change must be active on all nodes.
const maxRolloutTime = 2 * time.Second

// row is one line of the report.
type row struct {
	name  string
	value any
	// violated means that the value violates a guarantee.
	violated bool
}

func (r *Report) rows() []row {
	slowest := slices.Max(append([]time.Duration{0}, r.InForce...))
	return []row{
		{"requests sent", r.Sent, r.Sent == 0},
		{"complete responses", r.Whole, r.Whole == 0},
		{"refused, not run", r.NotRun, false},
		{"causes of refusals and failures", r.Causes, false},
		{"may have run (verdict)", r.MayHaveRun, false},
		{"may have run (transport error)", r.BrokenOff, false},
		{"idempotent requests lost", r.Lost, r.Lost > 0},
		{"non-idempotent requests run twice", r.Findings.Doubled, r.Findings.Doubled > 0},
		{"refused as not run, but ran", r.Findings.RanAfterAll, r.Findings.RanAfterAll > 0},
		{"complete response, but never ran", r.Findings.NeverRan, r.Findings.NeverRan > 0},
		{"invalid responses", r.Findings.WrongAnswers, r.Findings.WrongAnswers > 0},
		{"dropped by graceful stops", r.CutOffByStops, r.CutOffByStops > 0},
		{"sent to a drained or leaving host", r.LateWork, r.LateWork > 0},
		{"slowest rollout of a change", slowest.Round(time.Millisecond), slowest > maxRolloutTime},
		{"latency p50 / p99", fmt.Sprintf("%s / %s", r.P50, r.P99), false},
	}
}

// Text formats the report as a table.
func (r *Report) Text() string {
	var text strings.Builder
	text.WriteString("\n")
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range r.rows() {
		mark := ""
		if row.violated {
			mark = "BROKEN"
		}
		_, _ = fmt.Fprintf(table, "%s\t%v\t%s\n", row.name, row.value, mark)
	}
	_ = table.Flush()
	return text.String()
}

// Err returns an error that names the violated guarantees, or nil if there are
// none.
func (r *Report) Err() error {
	var names []string
	for _, row := range r.rows() {
		if row.violated {
			names = append(names, row.name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return errors.Errorf("guarantees violated: %s", strings.Join(names, "; "))
}

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

// Report is what came of a demo.
type Report struct {
	Sent       int
	Whole      int
	NotRun     int
	MayHaveRun int
	// BrokenOff counts requests whose connection broke, so that the caller
	// knows only that they may have run.
	BrokenOff int
	// Lost counts idempotent requests that got neither an answer nor a
	// refusal at several tries.
	Lost int
	// CutOffByStops counts requests cut off by planned stops.
	CutOffByStops int
	// LateWork counts requests that reached a host after it must have stopped
	// getting any.
	LateWork int
	Findings load.Findings
	// Causes counts why requests were refused or failed.
	Causes map[string]int
	// InForce holds, for each change, the time until it was in force
	// everywhere.
	InForce  []time.Duration
	P50, P99 time.Duration
}

// inForceTarget is the time within which a change must be in force everywhere.
const inForceTarget = 2 * time.Second

// row is one line of the report.
type row struct {
	name  string
	value any
	// broken says that a promise was not kept.
	broken bool
}

func (r *Report) rows() []row {
	slowest := slices.Max(append([]time.Duration{0}, r.InForce...))
	return []row{
		{"requests sent", r.Sent, r.Sent == 0},
		{"answered whole", r.Whole, r.Whole == 0},
		{"refused as not run", r.NotRun, false},
		{"causes of what was not answered", r.Causes, false},
		{"may have run (told by a verdict)", r.MayHaveRun, false},
		{"may have run (connection broke at the kill)", r.BrokenOff, false},
		{"lost", r.Lost, r.Lost > 0},
		{"doubled though not idempotent", r.Findings.Doubled, r.Findings.Doubled > 0},
		{"refused as not run, and ran", r.Findings.RanAfterAll, r.Findings.RanAfterAll > 0},
		{"answered whole, and never ran", r.Findings.NeverRan, r.Findings.NeverRan > 0},
		{"another request's or half an answer", r.Findings.WrongAnswers, r.Findings.WrongAnswers > 0},
		{"cut off by planned stops", r.CutOffByStops, r.CutOffByStops > 0},
		{"sent to a host that had left", r.LateWork, r.LateWork > 0},
		{"slowest change, published to in force", slowest.Round(time.Millisecond), slowest > inForceTarget},
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
		if row.broken {
			mark = "BROKEN"
		}
		_, _ = fmt.Fprintf(table, "%s\t%v\t%s\n", row.name, row.value, mark)
	}
	_ = table.Flush()
	return text.String()
}

// Broken returns an error that names the promises that were not kept, or nil.
func (r *Report) Broken() error {
	var names []string
	for _, row := range r.rows() {
		if row.broken {
			names = append(names, row.name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return errors.Errorf("not kept: %s", strings.Join(names, "; "))
}

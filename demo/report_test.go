package demo

import (
	"strings"
	"testing"
	"time"

	"rattanpath/load"
)

// TestErrNamesViolatedGuarantees violates one guarantee after another. It fails if
// the demo's error doesn't name the violated one.
func TestErrNamesViolatedGuarantees(t *testing.T) {
	good := Report{Sent: 10, Whole: 8, NotRun: 1, MayHaveRun: 1, InForce: []time.Duration{time.Second}}
	if err := good.Err(); err != nil {
		t.Errorf("got %v, want no violated guarantee", err)
	}
	tests := map[string]func(*Report){
		"idempotent requests lost":           func(r *Report) { r.Lost = 1 },
		"run twice":                          func(r *Report) { r.Findings.Doubled = 1 },
		"not run, but ran":                   func(r *Report) { r.Findings.RanAfterAll = 1 },
		"never ran":                          func(r *Report) { r.Findings.NeverRan = 1 },
		"invalid responses":                  func(r *Report) { r.Findings.WrongAnswers = 1 },
		"dropped by graceful stops":          func(r *Report) { r.CutOffByStops = 1 },
		"sent to a drained or leaving host":  func(r *Report) { r.LateWork = 1 },
		"slowest rollout":                    func(r *Report) { r.InForce = append(r.InForce, 3*time.Second) },
		"requests sent; complete responses":  func(r *Report) { r.Sent, r.Whole = 0, 0 },
		"non-idempotent requests run twice;": func(r *Report) { r.Findings = load.Findings{Doubled: 1, NeverRan: 1} },
	}
	for want, violate := range tests {
		report := good
		violate(&report)
		err := report.Err()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

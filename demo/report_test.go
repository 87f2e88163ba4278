package demo

import (
	"strings"
	"testing"
	"time"

	"rattanpath/load"
)

// TestBrokenPromisesAreNamed breaks one promise after another; each must make
// the demo fail under its own name.
func TestBrokenPromisesAreNamed(t *testing.T) {
	good := Report{Sent: 10, Whole: 8, NotRun: 1, MayHaveRun: 1, InForce: []time.Duration{time.Second}}
	if err := good.Broken(); err != nil {
		t.Errorf("got %v, want nothing broken", err)
	}
	tests := map[string]func(*Report){
		"lost":                           func(r *Report) { r.Lost = 1 },
		"doubled":                        func(r *Report) { r.Findings.Doubled = 1 },
		"not run, and ran":               func(r *Report) { r.Findings.RanAfterAll = 1 },
		"never ran":                      func(r *Report) { r.Findings.NeverRan = 1 },
		"half an answer":                 func(r *Report) { r.Findings.WrongAnswers = 1 },
		"cut off by planned stops":       func(r *Report) { r.CutOffByStops = 1 },
		"sent to a host that had left":   func(r *Report) { r.LateWork = 1 },
		"published to in force":          func(r *Report) { r.InForce = append(r.InForce, 3*time.Second) },
		"requests sent; answered whole":  func(r *Report) { r.Sent, r.Whole = 0, 0 },
		"doubled though not idempotent;": func(r *Report) { r.Findings = load.Findings{Doubled: 1, NeverRan: 1} },
	}
	for want, spoil := range tests {
		report := good
		spoil(&report)
		err := report.Broken()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q named", err, want)
		}
	}
}

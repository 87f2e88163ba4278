package core

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-logr/logr"
)

// TestLogsAreKeyValueLines checks that events, and lines of the standard log,
// come out as one line of key=value pairs each.
func TestLogsAreKeyValueLines(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "n1")
	logger.WithName("follow").Info("configuration in force", "revision", 7)
	logger.Error(errors.New("two\nlines"), "the log fails")
	StandardLog(logger).Print("from a library")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	wants := []string{
		`level=INFO msg="configuration in force" node=n1 logger=follow revision=7`,
		`level=ERROR msg="the log fails" node=n1 err="two\nlines"`,
		`level=WARN msg="from a library" node=n1`,
	}
	if len(lines) != len(wants) {
		t.Fatalf("got %d lines %q, want %d", len(lines), lines, len(wants))
	}
	for i, want := range wants {
		if !strings.HasSuffix(lines[i], want) {
			t.Errorf("got line %q, want it to end in %q", lines[i], want)
		}
	}
	if got := StandardLog(logr.Discard()); got != nil {
		t.Errorf("got %v for a discarding logger, want none", got)
	}
}

// TestVerdictsAsText checks the names that callers see.
func TestVerdictsAsText(t *testing.T) {
	for _, want := range []Verdict{NotRun, MayHaveRun, Ran} {
		text, err := want.MarshalText()
		var got Verdict
		if err != nil || got.UnmarshalText(text) != nil || got != want {
			t.Errorf("got %v from %q, want %v", got, text, want)
		}
	}
	if err := new(Verdict).UnmarshalText([]byte("Perhaps")); err == nil {
		t.Error("got no error for an unknown verdict, want one")
	}
}

package core

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-logr/logr"
)

// TestLogsAreKeyValueLines checks that each event, and each line of the standard
// library's log, is written as one line of key=value pairs.
func TestLogsAreKeyValueLines(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "n1")
	logger.WithName("follow").Info("configuration activated", "revision", 7)
	logger.Error(errors.New("two\nlines"), "log append failed")
	StandardLog(logger).Print("from a library")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	wants := []string{
		`level=INFO msg="configuration activated" node=n1 logger=follow revision=7`,
		`level=ERROR msg="log append failed" node=n1 err="two\nlines"`,
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
		t.Errorf("got %v for a discarding logger, want nil", got)
	}
}

// TestVerdictTextRoundTrip checks that verdicts can be encoded as text and decoded
// again, and that an unknown name is rejected.
func TestVerdictTextRoundTrip(t *testing.T) {
	for _, want := range []Verdict{NotRun, MayHaveRun, Ran} {
		text, err := want.MarshalText()
		var got Verdict
		if err != nil || got.UnmarshalText(text) != nil || got != want {
			t.Errorf("got verdict %v from text %q, want %v", got, text, want)
		}
	}
	if err := new(Verdict).UnmarshalText([]byte("Perhaps")); err == nil {
		t.Error("got nil for an unknown verdict, want an error")
	}
}

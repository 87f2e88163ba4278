package trace

import (
	"strings"
	"testing"
)

// TestTimeline checks the timeline of a job from the logs of two nodes, one of which
// has a prefix before each line.
func TestTimeline(t *testing.T) {
	const first = `time=2026-01-01T00:00:00.000Z level=INFO msg="job accepted" node=a service=index logger=cell job=j1 epoch=1
time=2026-01-01T00:00:00.001Z level=INFO msg="run assigned" node=a service=index logger=cell job=j1 step=0 index=0 run=1 host=h1
time=2026-01-01T00:00:00.002Z level=INFO msg="run assigned" node=a service=index logger=cell job=j2 step=0 index=0 run=1 host=h2
time=2026-01-01T00:00:00.500Z level=INFO msg="host unreachable" node=a service=index logger=cell host=h1 err="no answer: \"timeout\""
time=2026-01-01T00:00:00.600Z level=INFO msg="host unreachable" node=a service=index logger=cell host=h2
not a log line
`
	const second = `  12.4 b time=2026-01-01T00:00:01.000Z level=INFO msg="cell claimed" node=b service=index logger=cell epoch=2
  12.5 b time=2026-01-01T00:00:01.100Z level=INFO msg="cell claimed" node=b service=other logger=cell epoch=2
  13.0 b time=2026-01-01T00:00:03.000Z level=INFO msg="job ended" node=b service=index logger=cell job=j1 phase=completed
  20.0 b time=2026-01-01T00:00:20.000Z level=INFO msg="cell lost" node=b service=index logger=cell epoch=2
`
	var lines []Line
	for _, text := range []string{second, first} {
		read, err := Read(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, read...)
	}
	if len(lines) != 9 {
		t.Fatalf("got %d lines read, want 9", len(lines))
	}
	var got []string
	for _, line := range Timeline(lines, "j1") {
		got = append(got, line.Node+" "+line.Message)
	}
	want := "a job accepted, a run assigned, a host unreachable, b cell claimed, b job ended"
	if text := strings.Join(got, ", "); text != want {
		t.Errorf("got timeline %s, want %s", text, want)
	}
	if got := lines[7].Get("err"); got != `no answer: "timeout"` {
		t.Errorf("got err field %q, want it unquoted", got)
	}
	if got := Timeline(lines, "j9"); len(got) != 0 {
		t.Errorf("got %d lines for an unknown job, want 0", len(got))
	}
}

// FuzzRead checks that Read doesn't panic on any input and returns only lines that
// have a time.
func FuzzRead(f *testing.F) {
	f.Add("time=2026-01-01T00:00:00Z msg=x job=1")
	f.Add(`time="broken`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range lines {
			if line.Time.IsZero() {
				t.Errorf("got a line without a time from %q, want none", text)
			}
		}
	})
}

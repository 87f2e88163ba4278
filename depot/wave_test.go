package depot

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSelectMachines checks the order of selection, the limit on machines that
// are down, and the selection of all available machines near the deadline.
func TestSelectMachines(t *testing.T) {
	view := WaveState{MaxDown: 2, TimeLeft: time.Minute, Remaining: []Candidate{
		{Machine: "busy", Up: true, PoolSaturated: true},
		{Machine: "down"},
		{Machine: "idle", Up: true, Idle: true},
		{Machine: "started", Up: true, Vacating: true, PoolSaturated: true},
	}}
	if got, want := SelectMachines(view), []string{"started", "idle"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	view.Down = 2
	if got := SelectMachines(view); len(got) != 0 {
		t.Errorf("got %v with the maximum number of machines down, want none", got)
	}
	view.Down, view.TimeLeft, view.MaxDown = 0, time.Second, 4
	if got := SelectMachines(view); len(got) != 3 {
		t.Errorf("got %v near the deadline, want all 3 machines that are up", got)
	}
}

// TestSelectMachinesLimit checks for generated waves that the selection keeps
// to the limit on machines that are down, and that it is not empty if a machine
// is available and none is down.
func TestSelectMachinesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := WaveState{
			MaxDown:  rapid.IntRange(1, 5).Draw(t, "cap"),
			Down:     rapid.IntRange(0, 5).Draw(t, "down"),
			TimeLeft: time.Duration(rapid.IntRange(-5, 60).Draw(t, "left")) * time.Second,
		}
		up := 0
		for range rapid.IntRange(0, 8).Draw(t, "machines") {
			c := Candidate{Up: rapid.Bool().Draw(t, "up"), Idle: rapid.Bool().Draw(t, "idle"), PoolSaturated: rapid.Bool().Draw(t, "strained"), Vacating: rapid.Bool().Draw(t, "vacating")}
			if c.Up {
				up++
			}
			view.Remaining = append(view.Remaining, c)
		}
		got := len(SelectMachines(view))
		if got > max(0, view.MaxDown-view.Down) {
			t.Fatalf("got %d machines with %d already down, want at most %d in total", got, view.Down, view.MaxDown)
		}
		if view.Down == 0 && up > 0 && got == 0 {
			t.Fatal("got no machines although some are available, want at least 1")
		}
	})
}

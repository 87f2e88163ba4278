package infra

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSelectMachines checks the order of selection, the limit on machines that
// are down, and the selection of all available machines near the deadline.
func TestSelectMachines(t *testing.T) {
	state := WaveState{MaxDown: 2, TimeLeft: time.Minute, Remaining: []Candidate{
		{Machine: "busy", Up: true, PoolSaturated: true},
		{Machine: "down"},
		{Machine: "idle", Up: true, Idle: true},
		{Machine: "started", Up: true, Evicting: true, PoolSaturated: true},
	}}
	if got, want := SelectMachines(state), []string{"started", "idle"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	state.Down = 2
	if got := SelectMachines(state); len(got) != 0 {
		t.Errorf("got %v with the maximum number of machines down, want none", got)
	}
	state.Down, state.TimeLeft, state.MaxDown = 0, time.Second, 4
	if got := SelectMachines(state); len(got) != 3 {
		t.Errorf("got %v near the deadline, want all 3 machines that are up", got)
	}
}

// TestSelectMachinesLimit checks for generated waves that the selection keeps
// to the limit on machines that are down, and that it is not empty if a machine
// is available and none is down.
func TestSelectMachinesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := WaveState{
			MaxDown:  rapid.IntRange(1, 5).Draw(t, "maxDown"),
			Down:     rapid.IntRange(0, 5).Draw(t, "down"),
			TimeLeft: time.Duration(rapid.IntRange(-5, 60).Draw(t, "timeLeft")) * time.Second,
		}
		up := 0
		for range rapid.IntRange(0, 8).Draw(t, "machines") {
			c := Candidate{Up: rapid.Bool().Draw(t, "up"), Idle: rapid.Bool().Draw(t, "idle"), PoolSaturated: rapid.Bool().Draw(t, "poolSaturated"), Evicting: rapid.Bool().Draw(t, "evicting")}
			if c.Up {
				up++
			}
			state.Remaining = append(state.Remaining, c)
		}
		got := len(SelectMachines(state))
		if got > max(0, state.MaxDown-state.Down) {
			t.Fatalf("got %d machines with %d already down, want at most %d in total", got, state.Down, state.MaxDown)
		}
		if state.Down == 0 && up > 0 && got == 0 {
			t.Fatal("got no machines although some are available, want at least 1")
		}
	})
}

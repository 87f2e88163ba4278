package depot

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNextOfWave checks which machines go first.
func TestNextOfWave(t *testing.T) {
	view := WaveView{Cap: 2, TimeLeft: time.Minute, Left: []Candidate{
		{Machine: "busy", Up: true, Strained: true},
		{Machine: "down"},
		{Machine: "idle", Up: true, Idle: true},
		{Machine: "started", Up: true, Vacating: true, Strained: true},
	}}
	if got, want := NextOfWave(view), []string{"started", "idle"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	view.Down = 2
	if got := NextOfWave(view); len(got) != 0 {
		t.Errorf("got %v while as many as may be are down, want none", got)
	}
	view.Down, view.TimeLeft, view.Cap = 0, time.Second, 4
	if got := NextOfWave(view); len(got) != 3 {
		t.Errorf("got %v near the end of the wave, want all that are up", got)
	}
}

// TestNextOfWaveKeepsTheCap checks for drawn waves that no more machines go than
// may be down at once, and that some go if any can.
func TestNextOfWaveKeepsTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := WaveView{
			Cap:      rapid.IntRange(1, 5).Draw(t, "cap"),
			Down:     rapid.IntRange(0, 5).Draw(t, "down"),
			TimeLeft: time.Duration(rapid.IntRange(-5, 60).Draw(t, "left")) * time.Second,
		}
		up := 0
		for range rapid.IntRange(0, 8).Draw(t, "machines") {
			c := Candidate{Up: rapid.Bool().Draw(t, "up"), Idle: rapid.Bool().Draw(t, "idle"), Strained: rapid.Bool().Draw(t, "strained"), Vacating: rapid.Bool().Draw(t, "vacating")}
			if c.Up {
				up++
			}
			view.Left = append(view.Left, c)
		}
		got := len(NextOfWave(view))
		if got > max(0, view.Cap-view.Down) {
			t.Fatalf("got %d machines beside %d that are down, want at most %d in all", got, view.Down, view.Cap)
		}
		if view.Down == 0 && up > 0 && got == 0 {
			t.Fatal("got no machine though some can go, want one")
		}
	})
}

package pace

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const target = 100 * time.Millisecond

// TestNextShare checks the share after one step.
func TestNextShare(t *testing.T) {
	tests := []struct {
		name  string
		share int
		tails []TailLatency
		want  int
	}{
		{"no serving tasks", 20, nil, FullShare},
		{"above the target", 80, []TailLatency{{120 * time.Millisecond, target}}, 40},
		{"worst task decides", 80, []TailLatency{{time.Millisecond, target}, {120 * time.Millisecond, target}}, 40},
		{"close to the target", 80, []TailLatency{{80 * time.Millisecond, target}}, 70},
		{"between the thresholds", 80, []TailLatency{{70 * time.Millisecond, target}}, 80},
		{"well below the target", 80, []TailLatency{{20 * time.Millisecond, target}}, 90},
		{"never above full share", FullShare, []TailLatency{{20 * time.Millisecond, target}}, FullShare},
		{"suspended below the minimum", 15, []TailLatency{{120 * time.Millisecond, target}}, 0},
		{"resumes after suspension", 0, []TailLatency{{20 * time.Millisecond, target}}, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := NextShare(test.share, test.tails); got != test.want {
				t.Errorf("got share %d, want %d", got, test.want)
			}
		})
	}
}

// TestNextShareConverges models the tail latency as a linear function of the share.
// If the latency is below the target without best-effort tasks, it must drop to the
// target within five steps and stay there. The final share must be at least half of
// the best fixed share that keeps the latency at or below raiseBelow.
func TestNextShareConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(1, 85).Draw(t, "base")) * time.Millisecond
		slope := time.Duration(rapid.IntRange(0, 3000).Draw(t, "slope")) * time.Microsecond
		tail := func(share int) []TailLatency { return []TailLatency{{base + time.Duration(share)*slope, target}} }
		share := FullShare
		const steps = 30
		for i := range steps {
			if exceeded := tail(share)[0].Measured > target; exceeded && i > 4 {
				t.Fatalf("got tail latency %v at share %d after %d steps, want at most %v", tail(share)[0].Measured, share, i, target)
			}
			share = NextShare(share, tail(share))
		}
		best := 0
		for fixed := minShare; fixed <= FullShare; fixed++ {
			if tail(fixed)[0].Measured <= time.Duration(raiseBelow*float64(target)) {
				best = fixed
			}
		}
		if share < best/2 {
			t.Fatalf("got share %d, want at least half of %d, the best fixed share below raiseBelow", share, best)
		}
	})
}

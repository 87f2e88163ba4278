package pace

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of generated tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const target = 100 * time.Millisecond

// TestNext checks which way the share goes.
func TestNext(t *testing.T) {
	tests := []struct {
		name  string
		share int
		tails []Tail
		want  int
	}{
		{"nobody serves", 20, nil, Full},
		{"over the target", 80, []Tail{{120 * time.Millisecond, target}}, 40},
		{"the worst decides", 80, []Tail{{time.Millisecond, target}, {120 * time.Millisecond, target}}, 40},
		{"near the target", 80, []Tail{{80 * time.Millisecond, target}}, 70},
		{"all is well", 80, []Tail{{70 * time.Millisecond, target}}, 80},
		{"room to spare", 80, []Tail{{20 * time.Millisecond, target}}, 90},
		{"never above full", Full, []Tail{{20 * time.Millisecond, target}}, Full},
		{"stands still", 15, []Tail{{120 * time.Millisecond, target}}, 0},
		{"begins again", 0, []Tail{{20 * time.Millisecond, target}}, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Next(test.share, test.tails); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// TestNextKeepsTheTarget lets the tail depend on the share in any linear way: if
// it is below the target without the tasks that fill, it gets there within a
// second of steps and stays, and the share isn't lower than a naive search for
// the best fixed one says, but for the slack below the target.
func TestNextKeepsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(1, 85).Draw(t, "base")) * time.Millisecond
		slope := time.Duration(rapid.IntRange(0, 3000).Draw(t, "slope")) * time.Microsecond
		tail := func(share int) []Tail { return []Tail{{base + time.Duration(share)*slope, target}} }
		share := Full
		const steps = 30
		for i := range steps {
			if over := tail(share)[0].Measured > target; over && i > 4 {
				t.Fatalf("got a tail of %v at share %d after %d steps, want at most %v", tail(share)[0].Measured, share, i, target)
			}
			share = Next(share, tail(share))
		}
		best := 0
		for fixed := least; fixed <= Full; fixed++ {
			if tail(fixed)[0].Measured <= time.Duration(roomy*float64(target)) {
				best = fixed
			}
		}
		if share < best/2 {
			t.Fatalf("got share %d, want at least half of %d, at which the tail is well below the target", share, best)
		}
	})
}

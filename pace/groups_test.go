package pace

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func tailOf(fraction float64) []TailLatency {
	return []TailLatency{{Measured: time.Duration(fraction * float64(target)), Target: target}}
}

// TestNextShares checks the shares of the groups of a host after one step.
func TestNextShares(t *testing.T) {
	loud, mild, harmless := Group{FullShare, true, 0.8}, Group{FullShare, true, 0.2}, Group{FullShare, true, 0}
	unknown := Group{Share: FullShare}
	throttled := Group{40, true, 0.8}
	tests := []struct {
		name   string
		groups []Group
		tail   float64
		common int
		urgent bool
		want   []int
	}{
		{"unknown groups have the common share", []Group{unknown, unknown}, 1.2, 50, false, []int{50, 50}},
		{"the loudest is throttled first", []Group{harmless, mild, loud}, 1.2, 50, false, []int{100, 100, 37}},
		{"by enough", []Group{harmless, mild, loud}, 1.7, 50, false, []int{100, 25, 0}},
		{"as much as before, in all", []Group{mild, loud}, 0.91, 50, false, []int{100, 37}},
		{"little between the thresholds", []Group{harmless, loud}, 0.8, 90, false, []int{100, 90}},
		{"all if that didn't help", []Group{harmless, mild, loud}, 1.2, 25, true, []int{25, 25, 25}},
		{"all as before that with unknown ones", []Group{harmless, unknown}, 1.2, 50, false, []int{100, 50}},
		{"raised below the thresholds", []Group{throttled, harmless}, 0.5, 100, false, []int{50, 100}},
		{"held between them", []Group{throttled}, 0.7, 100, false, []int{40}},
		{"suspended below the minimum", []Group{{12, true, 0.8}}, 0.8, 0, false, []int{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := NextShares(test.groups, tailOf(test.tail), test.common, test.urgent); !slices.Equal(got, test.want) {
				t.Errorf("got shares %v, want %v", got, test.want)
			}
		})
	}
}

// TestNextSharesReactAtLeastAsFast guards against a host with known interference that takes more
// steps than another to bring the tail latency below its target, whatever was learned is right
// or wrong, or that throttles harmless tasks where what was learned is right.
func TestNextSharesReactAtLeastAsFast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(0.05, 0.85).Draw(t, "base")
		right := rapid.Bool().Draw(t, "right")
		var groups []Group
		var effects []float64
		for range rapid.IntRange(1, 4).Draw(t, "groups") {
			effect := rapid.SampledFrom([]float64{0, 0, 0.2, 0.7, 1.5}).Draw(t, "effect")
			g := Group{FullShare, rapid.Bool().Draw(t, "known"), effect}
			if !right {
				g.Slowdown = rapid.SampledFrom([]float64{0, 0.2, 1.5}).Draw(t, "slowdown")
			}
			groups, effects = append(groups, g), append(effects, effect)
		}
		common, urgent, over := FullShare, false, 0
		for step := range 40 {
			tail := base
			for i, g := range groups {
				tail += effects[i] * float64(g.Share) / FullShare
			}
			if over++; tail <= 1 {
				over = 0
			}
			// From the full share, four steps of the common share suspend all tasks.
			if over > 4 {
				t.Fatalf("got tail latency %.2f of the target in step %d, the %dth in a row above it; groups %+v with effects %v", tail, step, over, groups, effects)
			}
			if right && slices.ContainsFunc(groups, func(g Group) bool { return g.Known && g.Slowdown == 0 && g.Share < FullShare }) && allKnown(groups) {
				t.Fatalf("got a harmless group throttled: %+v with effects %v", groups, effects)
			}
			tails := tailOf(tail)
			common = NextShare(common, tails)
			before := predicted(groups)
			shares := NextShares(groups, tails, common, urgent)
			for i := range groups {
				groups[i].Share = shares[i]
			}
			if after := predicted(groups); tail > halveAbove && after > before/2+0.02 {
				t.Fatalf("got a known slow-down of %.2f after %.2f at tail %.2f, want at most half: %+v", after, before, tail, groups)
			}
			urgent = IsUrgent(tails)
		}
	})
}

func allKnown(groups []Group) bool {
	return !slices.ContainsFunc(groups, func(g Group) bool { return !g.Known })
}

// predicted returns the slow-down by the known groups.
func predicted(groups []Group) float64 {
	sum := 0.0
	for _, g := range groups {
		if g.Known {
			sum += g.Slowdown * float64(g.Share) / FullShare
		}
	}
	return math.Max(0, sum)
}

package quota

import (
	"math"
	"math/rand/v2"
	"testing"

	"rattanpath/tasks"
)

// naiveEntitlements finds by bisection the level up to which all organisations are filled in
// proportion to their weights.
func naiveEntitlements(pool tasks.Resources, holders []Holder) []float64 {
	filled := func(level float64) (entitled []float64, total float64) {
		for _, h := range holders {
			wanted := 0.0
			for i, whole := range amountsOf(pool) {
				if whole > 0 {
					wanted = math.Max(wanted, float64(amountsOf(h.Used)[i]+amountsOf(h.Waiting)[i])/float64(whole))
				}
			}
			share := math.Min(wanted, level*h.Weight)
			entitled = append(entitled, share)
			total += share
		}
		return entitled, total
	}
	low, high := 0.0, 1e6
	if all, total := filled(high); total <= 1 {
		return all
	}
	for range 200 {
		if _, total := filled((low + high) / 2); total > 1 {
			high = (low + high) / 2
		} else {
			low = (low + high) / 2
		}
	}
	entitled, _ := filled(low)
	return entitled
}

// TestEntitlements compares Entitlements with its definition.
func TestEntitlements(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		pool := tasks.Resources{CPU: 100, MemMB: random.Int64N(2) * 200, GPU: random.Int64N(2) * 8}
		holders := make([]Holder, 1+random.IntN(6))
		for i := range holders {
			holders[i] = Holder{
				Weight:  0.1 + 10*random.Float64(),
				Used:    tasks.Resources{CPU: random.Int64N(60), MemMB: random.Int64N(60)},
				Waiting: tasks.Resources{CPU: random.Int64N(2) * random.Int64N(300), GPU: random.Int64N(3)},
			}
		}
		got, want := Entitlements(pool, holders), naiveEntitlements(pool, holders)
		for i := range holders {
			if math.Abs(got[i]-want[i]) > 1e-6 {
				t.Fatalf("got %v for pool %+v, holders %+v, want %v", got, pool, holders, want)
			}
		}
	}
}

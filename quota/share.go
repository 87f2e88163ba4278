package quota

import (
	"cmp"
	"slices"

	"rattanpath/tasks"
)

// Holder is an organisation that has work in a pool.
type Holder struct {
	Weight float64
	// Used is what it has running, and Waiting what its ready tasks need.
	Used, Waiting tasks.Resources
}

// DominantShare returns the largest fraction of a pool that an amount of any resource is.
func DominantShare(used, pool tasks.Resources) float64 {
	return dominant(amountsOf(used), amountsOf(pool))
}

// Entitlements returns the dominant share of a pool that each organisation is entitled to:
// in proportion to weights, but none gets more than it uses and waits for. What it leaves
// goes to the others.
func Entitlements(pool tasks.Resources, holders []Holder) []float64 {
	entitled := make([]float64, len(holders))
	order := make([]int, len(holders))
	weights := 0.0
	for i, h := range holders {
		entitled[i] = DominantShare(h.Used.Add(h.Waiting), pool)
		order[i] = i
		weights += h.Weight
	}
	// Those that want least of their part leave the rest of it to the others.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(entitled[a]/holders[a].Weight, entitled[b]/holders[b].Weight)
	})
	left := 1.0
	for _, i := range order {
		entitled[i] = min(entitled[i], left*holders[i].Weight/weights)
		left -= entitled[i]
		weights -= holders[i].Weight
	}
	return entitled
}

package quota

import "rattanpath/tasks"

// amounts holds the resources in a fixed order. In a limit, 0 means no limit.
type amounts [3]int64

func amountsOf(r tasks.Resources) amounts { return amounts{r.CPU, r.MemMB, r.GPU} }

func (a amounts) resources() tasks.Resources {
	return tasks.Resources{CPU: a[0], MemMB: a[1], GPU: a[2]}
}

// merge combines two amounts resource by resource.
func merge(a, b amounts, combine func(x, y int64) int64) amounts {
	for i := range a {
		a[i] = combine(a[i], b[i])
	}
	return a
}

func sum(x, y int64) int64        { return x + y }
func difference(x, y int64) int64 { return x - y }
func larger(x, y int64) int64     { return max(x, y) }
func smaller(x, y int64) int64    { return min(x, y) }

// Max returns the larger amount of each resource.
func Max(a, b tasks.Resources) tasks.Resources {
	return merge(amountsOf(a), amountsOf(b), larger).resources()
}

// Min returns the smaller amount of each resource.
func Min(a, b tasks.Resources) tasks.Resources {
	return merge(amountsOf(a), amountsOf(b), smaller).resources()
}

// restrict returns the amounts of the resources that a limit applies to, and 0 for others.
func restrict(limit, a amounts) amounts {
	for i := range a {
		if limit[i] <= 0 {
			a[i] = 0
		}
	}
	return a
}

// cover reports whether a is at least need in each resource.
func (a amounts) cover(need amounts) bool {
	for i := range a {
		if a[i] < need[i] {
			return false
		}
	}
	return true
}

// fits reports whether need fits into what is left. Resources that aren't needed may be overdrawn.
func fits(left, need amounts) bool {
	for i := range need {
		if need[i] > 0 && need[i] > left[i] {
			return false
		}
	}
	return true
}

// dominant returns the largest fraction of the whole that an amount of any resource is. A
// resource of which the whole has nothing doesn't count.
func dominant(a, whole amounts) float64 {
	largest := 0.0
	for i := range a {
		if whole[i] > 0 {
			largest = max(largest, float64(a[i])/float64(whole[i]))
		}
	}
	return largest
}

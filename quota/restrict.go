package quota

import "rattanpath/tasks"

// overcommitDivisor is the fraction of a cap, as a divisor, by which the sum of what cells may
// have running exceeds the cap before they are held below their bases. Takeovers and large
// tasks exceed it by less for a moment.
const overcommitDivisor = 10

// Restrict returns what the cells may have running although their bases are larger, or nil if
// the cap isn't overcommitted. A cap is overcommitted after it was lowered, or after a service was
// added while all of it was in use. What is left of the cap is divided evenly; if nothing is left,
// no cell may start anything. A cell that uses more than it is allotted starts no replacement for
// runs that end.
func Restrict(limit tasks.Resources, cells []Cell, allotted []tasks.Resources) []tasks.Resources {
	caps, left, reporting := amountsOf(limit), amountsOf(limit), int64(0)
	var charged, task amounts
	for _, c := range cells {
		charged = merge(charged, amountsOf(c.Charged), sum)
		if !c.Gang {
			task = merge(task, amountsOf(c.Unit), larger)
		}
		bound := amountsOf(c.Lent)
		if c.Silent {
			bound = amountsOf(c.Charged)
		} else {
			reporting++
		}
		left = merge(left, bound, difference)
	}
	// One task may exceed the cap, see Divide.
	if !overcommitted(caps, merge(charged, task, difference)) || reporting == 0 {
		return nil
	}
	var restricted []tasks.Resources
	for i, c := range cells {
		restricted = append(restricted, restrictedOf(caps, left, c, amountsOf(allotted[i]), reporting).resources())
	}
	return restricted
}

func overcommitted(caps, charged amounts) bool {
	for i := range caps {
		if caps[i] > 0 && charged[i] > caps[i]+caps[i]/overcommitDivisor {
			return true
		}
	}
	return false
}

// restrictedOf returns what one of a number of cells may have running if an amount of the cap is
// left for all of them.
func restrictedOf(caps, left amounts, c Cell, allotted amounts, cells int64) amounts {
	restricted := amountsOf(c.Used)
	for i := range restricted {
		switch {
		case caps[i] <= 0:
			restricted[i] = 0
		case restricted[i] > allotted[i]:
			restricted[i] = allotted[i]
		case left[i] > 0:
			restricted[i] += left[i] / cells
		}
	}
	return restricted
}

// IsLower reports whether a cap is lower than the one before in any resource.
func IsLower(limit, before tasks.Resources) bool {
	caps, old := amountsOf(limit), amountsOf(before)
	for i := range caps {
		if caps[i] > 0 && (old[i] <= 0 || caps[i] < old[i]) {
			return true
		}
	}
	return false
}

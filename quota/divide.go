package quota

import (
	"cmp"
	"slices"
	"time"

	"rattanpath/tasks"
)

const (
	// baseDivisor is the fraction of a cap, as a divisor, that the bases of all cells make
	// up. The rest is lent: a larger base serves a cell better while no leader can be
	// reached, a smaller one lets a single cell use more of the cap.
	baseDivisor = 2
	// maxUnits limits the work of one division.
	maxUnits = 1024
	// freeUnits is the number of units into which a demand without a reported unit is divided.
	freeUnits = 16
)

// Base returns what each of a number of cells may always have running under a cap. What
// the cap doesn't limit is 0.
func Base(limit tasks.Resources, cells int) tasks.Resources {
	if cells <= 0 {
		return tasks.Resources{}
	}
	base := amountsOf(limit)
	for i := range base {
		base[i] = max(0, base[i]) / baseDivisor / int64(cells)
	}
	return base.resources()
}

// Allowance returns what a cell may have running: its base, or what it was allotted if that
// is more. An allotment made under a higher cap doesn't exceed the present one.
func Allowance(limit, allotted tasks.Resources, cells int) tasks.Resources {
	return Max(Base(limit, cells), restrict(amountsOf(limit), amountsOf(allotted)).resources())
}

// MayStart reports whether a cell with an allowance under a cap may start need beside what is
// in use.
func MayStart(limit, allowance, used, need tasks.Resources) bool {
	left := merge(amountsOf(allowance), amountsOf(used), difference)
	return fits(left, restrict(amountsOf(limit), amountsOf(need)))
}

// IsLimited reports whether a cap limits any resource.
func IsLimited(limit tasks.Resources) bool { return limit.CPU > 0 || limit.MemMB > 0 || limit.GPU > 0 }

// Cell is what the leader knows of an organisation in a cell.
type Cell struct {
	// Charged is the most that the cell may have running by what it was last told and last
	// reported: at least its base, its use and its unexpired allotments.
	Charged tasks.Resources
	// Lent is the same without its base if a restriction has set that aside.
	Lent tasks.Resources
	// Used is what it has running, and Demand what it would have if it were allowed to.
	Used   tasks.Resources
	Demand tasks.Resources
	// Unit is the largest amount that it starts as a whole: that of a task, or with Gang set
	// that of all tasks of a gang.
	Unit tasks.Resources
	Gang bool
	// Silent means that the cell doesn't report: it keeps what it is charged with.
	Silent bool
	// Short is how long the cell has not been allotted its demand.
	Short time.Duration
}

// cellState is the state of a cell during a division.
type cellState struct {
	charged, used, demand amounts
	// task is the unit that the cell reports, and unit the one by which it is raised.
	task, unit   amounts
	gang, silent bool
	short        time.Duration
	// target is what the cell gets once others have given back what they have beyond
	// theirs, and granted what it gets now.
	target, granted amounts
	// full means that the rest of the cap is smaller than the cell's next unit.
	full bool
}

// division divides the cap of one organisation.
type division struct {
	limit amounts
	cells []*cellState
}

// Divide returns what the cells are allotted, and which of them aren't allotted their
// demand. No matter which of the results reach their cells, the sum of what cells may have
// running stays within the cap if it was before. The one exception is a task that no cell
// has room for although the organisation uses less than half of its cap, which happens if
// tasks are larger than the bases of idle cells: one such task may exceed the cap.
func Divide(limit tasks.Resources, cells []Cell) (allotted []tasks.Resources, short []bool) {
	d := &division{limit: amountsOf(limit)}
	base := amountsOf(Base(limit, len(cells)))
	for _, c := range cells {
		d.cells = append(d.cells, d.stateOf(c, base))
	}
	d.setTargets()
	d.grant()
	for _, c := range d.cells {
		allotted = append(allotted, c.granted.resources())
		short = append(short, !c.silent && !c.granted.cover(c.demand))
	}
	return allotted, short
}

func (d *division) stateOf(c Cell, base amounts) *cellState {
	state := &cellState{
		charged: restrict(d.limit, amountsOf(c.Charged)), used: restrict(d.limit, amountsOf(c.Used)),
		demand: restrict(d.limit, amountsOf(c.Demand)), task: restrict(d.limit, amountsOf(c.Unit)),
		gang: c.Gang, silent: c.Silent, short: c.Short, target: base,
	}
	state.demand = merge(state.demand, state.used, larger)
	if c.Silent {
		state.target = merge(base, state.charged, larger)
	}
	for i := range state.unit {
		state.unit[i] = unitOf(state.task[i], state.demand[i]-base[i])
	}
	return state
}

// unitOf returns the unit by which a cell is raised that reports a unit and demands more than
// its base. A use that has no unit may be divided at will.
func unitOf(unit, demanded int64) int64 {
	if unit == 0 && demanded > 0 {
		return max(1, demanded/freeUnits)
	}
	return max(unit, demanded/maxUnits)
}

// setTargets raises the cell with the least by one unit at a time, until each has its
// demand or the next unit isn't left.
func (d *division) setTargets() {
	left := d.limit
	for _, c := range d.cells {
		left = merge(left, c.target, difference)
	}
	for {
		c := d.next()
		if c == nil {
			return
		}
		raised := merge(merge(c.target, c.unit, sum), merge(c.demand, c.target, larger), smaller)
		step := merge(raised, c.target, difference)
		if step == (amounts{}) || !fits(left, step) {
			c.full = true
			continue
		}
		c.target, left = raised, merge(left, step, difference)
	}
}

// next returns the cell to be raised next, or nil: the one that has the least of the cap,
// and of those the one that has been short for longest.
func (d *division) next() *cellState {
	var best *cellState
	for _, c := range d.cells {
		if c.silent || c.full || c.target.cover(c.demand) {
			continue
		}
		if best == nil || d.compare(c, best) < 0 {
			best = c
		}
	}
	return best
}

func (d *division) compare(a, b *cellState) int {
	return cmp.Or(cmp.Compare(dominant(a.target, d.limit), dominant(b.target, d.limit)), cmp.Compare(b.short, a.short))
}

// grant raises cells to their targets as far as no cell is charged with the difference.
// The cells that have been short for longest come first.
func (d *division) grant() {
	left := d.limit
	for _, c := range d.cells {
		left = merge(left, c.charged, difference)
		c.granted = merge(c.target, c.charged, smaller)
	}
	order := slices.Clone(d.cells)
	slices.SortStableFunc(order, func(a, b *cellState) int { return cmp.Compare(b.short, a.short) })
	for _, c := range order {
		left = d.raise(c, left)
	}
	d.grantLarge(order, left)
}

// raise grants a cell its target, or as many units as the rest of the cap holds, and returns what
// is left of the cap.
func (d *division) raise(c *cellState, left amounts) amounts {
	for _, raised := range []amounts{c.target, c.unitsWithin(left)} {
		step := merge(merge(raised, c.charged, difference), amounts{}, larger)
		if fits(left, step) {
			c.granted = merge(c.granted, raised, larger)
			return merge(left, step, difference)
		}
	}
	return left
}

// unitsWithin returns the use of a cell with as many more units as it can get from what is
// left and what it is charged with, up to its target.
func (c *cellState) unitsWithin(left amounts) amounts {
	count := int64(maxUnits)
	for i, unit := range c.unit {
		if unit > 0 {
			count = min(count, (c.charged[i]+max(0, left[i])-c.used[i])/unit)
		}
	}
	units := c.target
	for i, unit := range c.unit {
		units[i] = min(c.target[i], max(c.charged[i], c.used[i]+count*unit))
	}
	return units
}

// grantLarge grants a task that fits nowhere to the first cell that has one, if the
// organisation uses less than half of its cap.
func (d *division) grantLarge(order []*cellState, left amounts) {
	var used amounts
	for _, c := range d.cells {
		used = merge(used, c.used, sum)
	}
	for i := range used {
		if d.limit[i] > 0 && (2*used[i] >= d.limit[i] || left[i] < 0) {
			return
		}
	}
	for _, c := range order {
		need := merge(merge(c.used, c.task, sum), c.demand, smaller)
		if !c.silent && !c.gang && !c.granted.cover(need) {
			c.granted = merge(c.granted, need, larger)
			return
		}
	}
}

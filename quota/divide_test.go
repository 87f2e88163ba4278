package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rattanpath/tasks"
)

// naiveCell is the state of a cell in the naive implementation.
type naiveCell struct {
	Cell
	target, granted, unit [3]int64
	full                  bool
}

// naiveDivide divides a cap by the definition: it recomputes all sums in each step and tries
// each number of units.
func naiveDivide(limit tasks.Resources, cells []Cell) [][3]int64 {
	caps := amountsOf(limit)
	var all []*naiveCell
	for _, c := range cells {
		n := &naiveCell{Cell: c}
		for i := range caps {
			base := caps[i] / 2 / int64(len(cells))
			if caps[i] == 0 {
				continue
			}
			n.target[i] = base
			demand := max(amountsOf(c.Demand)[i], amountsOf(c.Used)[i])
			switch n.unit[i] = amountsOf(c.Unit)[i]; {
			case n.unit[i] == 0 && demand > base:
				n.unit[i] = max(1, (demand-base)/16)
			case n.unit[i] < (demand-base)/1024:
				n.unit[i] = (demand - base) / 1024
			}
			if c.Silent {
				n.target[i] = max(base, amountsOf(c.Charged)[i])
			}
		}
		all = append(all, n)
	}
	for naiveStep(caps, all) {
	}
	naiveGrant(caps, all)
	var granted [][3]int64
	for _, n := range all {
		granted = append(granted, n.granted)
	}
	return granted
}

// demand returns the demand for one resource.
func (n *naiveCell) demand(caps [3]int64, i int) int64 {
	if caps[i] == 0 {
		return 0
	}
	return max(amountsOf(n.Demand)[i], amountsOf(n.Used)[i])
}

func (n *naiveCell) wantsMore(caps [3]int64) bool {
	for i := range caps {
		if n.demand(caps, i) > n.target[i] {
			return true
		}
	}
	return false
}

// naiveStep raises the target of one cell by a unit, or finds that it can't be raised. It
// returns false if none is left.
func naiveStep(caps [3]int64, all []*naiveCell) bool {
	var open []*naiveCell
	for _, n := range all {
		if !n.Silent && !n.full && n.wantsMore(caps) {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		return false
	}
	level := func(n *naiveCell) float64 {
		highest := 0.0
		for i := range caps {
			if caps[i] > 0 {
				highest = max(highest, float64(n.target[i])/float64(caps[i]))
			}
		}
		return highest
	}
	slices.SortStableFunc(open, func(a, b *naiveCell) int {
		switch {
		case level(a) < level(b):
			return -1
		case level(a) > level(b):
			return 1
		}
		return int(b.Short - a.Short)
	})
	n := open[0]
	raised := n.target
	moved := false
	for i := range caps {
		if caps[i] == 0 {
			continue
		}
		raised[i] = min(n.target[i]+n.unit[i], max(n.target[i], n.demand(caps, i)))
		left := caps[i]
		for _, other := range all {
			left -= other.target[i]
		}
		if raised[i] > n.target[i] {
			moved = true
			if raised[i]-n.target[i] > left {
				n.full = true
			}
		}
	}
	if !moved {
		n.full = true
	}
	if !n.full {
		n.target = raised
	}
	return true
}

// naiveGrant grants what is charged to no one.
func naiveGrant(caps [3]int64, all []*naiveCell) {
	charges := make(map[*naiveCell][3]int64)
	for _, n := range all {
		charged := amountsOf(n.Charged)
		for i := range caps {
			if caps[i] == 0 {
				charged[i] = 0
			}
			n.granted[i] = min(n.target[i], charged[i])
		}
		charges[n] = charged
	}
	left := func() [3]int64 {
		rest := caps
		for _, charge := range charges {
			for i := range rest {
				rest[i] -= charge[i]
			}
		}
		return rest
	}
	order := slices.Clone(all)
	slices.SortStableFunc(order, func(a, b *naiveCell) int { return int(b.Short - a.Short) })
	for _, n := range order {
		naiveRaise(caps, n, charges, left)
	}
	rest := left()
	var used [3]int64
	for _, n := range all {
		for i := range used {
			used[i] += amountsOf(n.Used)[i]
		}
	}
	for i := range caps {
		if caps[i] > 0 && (used[i]*2 >= caps[i] || rest[i] < 0) {
			return
		}
	}
	for _, n := range order {
		if n.Silent || n.Gang {
			continue
		}
		lacks := false
		need := [3]int64{}
		for i := range caps {
			if caps[i] > 0 {
				need[i] = min(amountsOf(n.Used)[i]+amountsOf(n.Unit)[i], n.demand(caps, i))
				lacks = lacks || need[i] > n.granted[i]
			}
		}
		if lacks {
			for i := range need {
				n.granted[i] = max(n.granted[i], need[i])
			}
			return
		}
	}
}

// naiveRaise raises one cell as far as possible.
func naiveRaise(caps [3]int64, n *naiveCell, charges map[*naiveCell][3]int64, left func() [3]int64) {
	for count := int64(1024); count >= -1; count-- {
		raised := n.target
		if count < 1024 {
			for i := range caps {
				if caps[i] > 0 {
					raised[i] = min(n.target[i], max(charges[n][i], amountsOf(n.Used)[i]+max(0, count)*n.unit[i]))
				}
			}
		}
		rest, possible := left(), true
		for i := range caps {
			// All units of a count must be there, also those beyond the target.
			units := amountsOf(n.Used)[i] + max(0, count)*n.unit[i]
			if count < 1024 && n.unit[i] > 0 && units > charges[n][i]+max(0, rest[i]) {
				possible = false
			}
			if raised[i] > charges[n][i] && raised[i]-charges[n][i] > rest[i] {
				possible = false
			}
		}
		if !possible {
			continue
		}
		charge := charges[n]
		for i := range caps {
			n.granted[i] = max(n.granted[i], raised[i])
			charge[i] = max(charge[i], raised[i])
		}
		charges[n] = charge
		return
	}
}

// randomCells returns cells whose charges are within a cap.
func randomCells(random *rand.Rand, limit tasks.Resources) []Cell {
	cells := make([]Cell, 1+random.IntN(5))
	base := Base(limit, len(cells))
	left := limit
	for range cells {
		left = left.Sub(base)
	}
	draw := func(bound int64) int64 { return random.Int64N(max(1, bound+1)) }
	for i := range cells {
		c := &cells[i]
		extra := tasks.Resources{CPU: draw(left.CPU), MemMB: draw(left.MemMB), GPU: draw(left.GPU)}
		left = left.Sub(extra)
		c.Charged = base.Add(extra)
		c.Used = tasks.Resources{CPU: draw(c.Charged.CPU), MemMB: draw(c.Charged.MemMB), GPU: draw(c.Charged.GPU)}
		c.Demand, c.Unit = c.Used, tasks.Resources{CPU: draw(30), MemMB: draw(30), GPU: draw(2)}
		if random.IntN(3) > 0 {
			c.Demand = c.Used.Add(tasks.Resources{CPU: draw(100), MemMB: draw(100), GPU: draw(5)})
		}
		c.Gang, c.Silent = random.IntN(4) == 0, random.IntN(6) == 0
		c.Short = time.Duration(random.IntN(4))
	}
	return cells
}

// TestDivide compares Divide with its definition, and checks that no cell can bring the
// organisation beyond its cap by more than a task, whichever allotments arrive.
func TestDivide(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		limit := tasks.Resources{CPU: 1 + random.Int64N(200), MemMB: random.Int64N(3) * random.Int64N(100), GPU: random.Int64N(2) * 8}
		cells := randomCells(random, limit)
		got, _ := Divide(limit, cells)
		want := naiveDivide(limit, cells)
		var total, unit amounts
		for i := range cells {
			if amountsOf(got[i]) != want[i] {
				t.Fatalf("got %v for cell %d of cap %+v, cells %+v, want %v", got[i], i, limit, cells, want)
			}
			total = merge(total, merge(amountsOf(got[i]), amountsOf(cells[i].Charged), larger), sum)
			unit = merge(unit, amountsOf(cells[i].Unit), larger)
		}
		for i, limited := range amountsOf(limit) {
			if limited > 0 && total[i] > limited+unit[i] {
				t.Fatalf("got a total of %v for cap %+v, cells %+v, want at most one task more", total, limit, cells)
			}
		}
	}
}

// TestDividePatterns checks the division in the situations in which an organisation could be
// held up by its cap although it uses little of it, or exceed it.
func TestDividePatterns(t *testing.T) {
	limit := cpu(80)
	idle := Cell{Charged: cpu(10)}
	busy := func(charged, used, demand int64) Cell {
		return Cell{Charged: cpu(charged), Used: cpu(used), Demand: cpu(demand), Unit: cpu(1)}
	}
	large := func(unit int64, short time.Duration) Cell {
		return Cell{Charged: cpu(10), Demand: cpu(unit), Unit: cpu(unit), Short: short}
	}
	gang := large(60, 1)
	gang.Gang = true
	silent := busy(50, 3, 3)
	silent.Silent = true
	tests := []struct {
		name  string
		cells []Cell
		want  []int64
		short bool
	}{
		{"one cell floods, the others are idle", []Cell{busy(10, 10, 500), idle, idle, idle}, []int64{50, 10, 10, 10}, true},
		{"all flood", []Cell{busy(10, 10, 500), busy(10, 10, 500), busy(10, 10, 500), busy(10, 10, 500)}, []int64{20, 20, 20, 20}, true},
		{"the peak moves: nothing is lent twice", []Cell{busy(50, 50, 50), busy(10, 10, 100), idle, idle}, []int64{30, 10, 10, 10}, true},
		{"the peak has moved", []Cell{busy(10, 2, 2), busy(10, 10, 100), idle, idle}, []int64{10, 50, 10, 10}, true},
		{"an owner is lost with what was lent: one task more", []Cell{silent, busy(10, 10, 40), idle, idle}, []int64{50, 11, 10, 10}, true},
		{"a task is larger than what bases leave", []Cell{large(60, 0), idle, idle, idle}, []int64{60, 10, 10, 10}, false},
		{"two such tasks: one at a time", []Cell{large(60, 0), large(60, time.Second), idle, idle}, []int64{10, 60, 10, 10}, true},
		{"a gang never exceeds the cap", []Cell{gang, idle, idle, idle}, []int64{10, 10, 10, 10}, true},
		{"recent use without waiting tasks is kept", []Cell{busy(40, 20, 30), idle, idle, idle}, []int64{30, 10, 10, 10}, false},
		{"the cap was lowered: nothing more is lent", []Cell{busy(100, 100, 120), busy(10, 2, 20), idle, idle}, []int64{40, 10, 10, 10}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			allotted, short := Divide(limit, test.cells)
			var got []int64
			for _, a := range allotted {
				got = append(got, a.CPU)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) || slices.Contains(short, true) != test.short {
				t.Errorf("got %v, short %v, want %v, any short %t", got, short, test.want, test.short)
			}
		})
	}
}

func cpu(amount int64) tasks.Resources { return tasks.Resources{CPU: amount} }

// TestMayStart checks the rule of a cell: only resources that the cap limits and the task
// needs count, and an expired or small allotment leaves the base.
func TestMayStart(t *testing.T) {
	limit := tasks.Resources{CPU: 80, MemMB: 800}
	tests := []struct {
		name                 string
		allotted, used, need tasks.Resources
		want                 bool
	}{
		{"within the base", cpu(0), cpu(9), cpu(1), true},
		{"beyond the base", cpu(0), cpu(10), cpu(1), false},
		{"within the allotment", cpu(30), cpu(29), cpu(1), true},
		{"beyond the allotment", cpu(30), cpu(30), cpu(1), false},
		{"an allotment below the base", cpu(3), cpu(9), cpu(1), true},
		{"memory beyond the base", cpu(30), tasks.Resources{MemMB: 100}, tasks.Resources{CPU: 1, MemMB: 1}, false},
		{"memory overdrawn but not needed", cpu(30), tasks.Resources{MemMB: 200}, cpu(1), true},
		{"unlimited GPUs", cpu(0), tasks.Resources{GPU: 50}, tasks.Resources{GPU: 8}, true},
	}
	for _, test := range tests {
		if got := MayStart(limit, Allowance(limit, test.allotted, 4), test.used, test.need); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}

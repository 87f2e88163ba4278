package quota

import (
	"math/rand/v2"
	"testing"

	"rattanpath/tasks"
)

// TestRestrict checks against the definition that nothing is restricted unless the bases and
// what was lent exceed the cap by more than a tenth, and that the sum then stays within the
// cap, or at what runs.
func TestRestrict(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 9))
	counts := [3]int{}
	for range 5000 {
		limit := 1 + random.Int64N(200)
		cells := make([]Cell, 1+random.IntN(5))
		var charged, bound int64
		for i := range cells {
			used := random.Int64N(80)
			lent := used + random.Int64N(3)*random.Int64N(20)
			c := Cell{Used: cpu(used), Lent: cpu(lent), Charged: cpu(max(lent, limit/2/int64(len(cells)))), Silent: random.IntN(6) == 0}
			charged += c.Charged.CPU
			if bound += lent; c.Silent {
				bound += c.Charged.CPU - lent
			}
			cells[i] = c
		}
		allotted := make([]tasks.Resources, len(cells))
		for i := range cells {
			allotted[i] = cpu(random.Int64N(80))
		}
		got := Restrict(cpu(limit), cells, allotted)
		if 10*charged <= 11*limit {
			if counts[0]++; got != nil {
				t.Fatalf("got %v for cap %d, cells %+v, want no restriction", got, limit, cells)
			}
			continue
		}
		var total int64
		for i, r := range got {
			most := max(r.CPU, cells[i].Lent.CPU)
			if cells[i].Silent {
				most = cells[i].Charged.CPU
			}
			total += most
			if bound > limit && r.CPU != min(cells[i].Used.CPU, allotted[i].CPU) {
				t.Fatalf("got %v for cap %d, cells %+v, allotted %v, want nothing more to start", got, limit, cells, allotted)
			}
		}
		if counts[1]++; bound <= limit && total > limit {
			t.Fatalf("got %v, in total %d, for cap %d, cells %+v, want at most the cap", got, total, limit, cells)
		}
	}
	if counts[0] < 100 || counts[1] < 100 {
		t.Errorf("got %v cases without and with a restriction, want at least 100 each", counts)
	}
}

// TestIsLower checks when a cap counts as lowered: also if it limits a resource for the first
// time.
func TestIsLower(t *testing.T) {
	tests := []struct {
		limit, before tasks.Resources
		want          bool
	}{
		{cpu(5), cpu(5), false},
		{cpu(6), cpu(5), false},
		{cpu(4), cpu(5), true},
		{cpu(4), cpu(0), true},
		{cpu(0), cpu(5), false},
		{tasks.Resources{CPU: 9, GPU: 1}, cpu(5), true},
	}
	for _, test := range tests {
		if got := IsLower(test.limit, test.before); got != test.want {
			t.Errorf("got %t for %+v after %+v, want %t", got, test.limit, test.before, test.want)
		}
	}
}

package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanpath/tasks"
)

// naivePick is the plain way to pick: it lists what is allowed, sorts it by cost
// and takes the first.
func naivePick(need Need, hosts []*Host) *Host {
	var allowed []*Host
	for _, host := range hosts {
		free := host.Free
		need := need
		occupies := need.Step.RequiredResources()
		fits := occupies.CPU <= free.CPU && occupies.MemMB <= free.MemMB && occupies.GPU <= free.GPU
		labelled := need.Step.Label == "" || slices.Contains(host.Labels, need.Step.Label)
		apart := need.Step.MaxPerHost == 0 || need.Beside[host.ID] < need.Step.MaxPerHost
		permitted := need.Only == nil || need.Only[host.ID]
		if fits && labelled && apart && permitted {
			allowed = append(allowed, host)
		}
	}
	slices.SortStableFunc(allowed, func(a, b *Host) int {
		switch ca, cb := Cost(need, a), Cost(need, b); {
		case ca < cb:
			return -1
		case ca > cb:
			return 1
		default:
			return 0
		}
	})
	if len(allowed) == 0 {
		return nil
	}
	return allowed[0]
}

func drawHosts(t *rapid.T) []*Host {
	var hosts []*Host
	for i := range rapid.IntRange(0, 6).Draw(t, "hosts") {
		hosts = append(hosts, &Host{
			ID:        fmt.Sprintf("h%d", i),
			Rack:      rapid.SampledFrom([]string{"", "r1-1", "r1-2"}).Draw(t, "rack"),
			Labels:    rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 2).Draw(t, "labels"),
			Free:      tasks.Resources{CPU: rapid.Int64Range(0, 4000).Draw(t, "cpu"), MemMB: rapid.Int64Range(0, 400).Draw(t, "mem")},
			Room:      tasks.Resources{CPU: 4000, MemMB: 400},
			Suspicion: rapid.IntRange(0, 2).Draw(t, "suspicion"),
			Serving:   rapid.IntRange(0, 2).Draw(t, "serving"),
			Filling:   rapid.IntRange(0, 2).Draw(t, "filling"),
		})
	}
	return hosts
}

// TestPickAgainstNaive compares the choice with the plain way's.
func TestPickAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		step := &tasks.Step{
			Room:       tasks.Resources{CPU: rapid.Int64Range(0, 3000).Draw(t, "need"), MemMB: rapid.Int64Range(0, 300).Draw(t, "needMem")},
			Label:      rapid.SampledFrom([]string{"", "a"}).Draw(t, "label"),
			DataRack:   rapid.SampledFrom([]string{"", "r1-1"}).Draw(t, "data"),
			MaxPerHost: rapid.IntRange(0, 2).Draw(t, "max"),
			Lasting:    rapid.Bool().Draw(t, "lasting"),
			Fills:      rapid.Bool().Draw(t, "fills"),
		}
		need := Need{Step: step, Avoid: "h0", Beside: map[string]int{"h1": 1}, Careful: rapid.Bool().Draw(t, "careful")}
		if rapid.Bool().Draw(t, "advised") {
			need.Only = map[string]bool{"h1": true, "h3": true}
		}
		if got, want := Pick(need, hosts), naivePick(need, hosts); got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// TestPickPrefers checks what goes before what.
func TestPickPrefers(t *testing.T) {
	room := tasks.Resources{CPU: 4000, MemMB: 400}
	host := func(id string, change func(*Host)) *Host {
		h := &Host{ID: id, Rack: "r1-1", Room: room, Free: room}
		change(h)
		return h
	}
	same := func(*Host) {}
	tests := []struct {
		name  string
		step  tasks.Step
		hosts []*Host
	}{
		{"the tightest fit", tasks.Step{Room: tasks.Resources{CPU: 1000}}, []*Host{host("wide", same), host("best", func(h *Host) { h.Free.CPU = 1000 })}},
		{"the rack of the data", tasks.Step{DataRack: "r1-1"}, []*Host{host("far", func(h *Host) { h.Rack = "r1-2"; h.Free.CPU = 100 }), host("best", same)}},
		{"a host that doesn't fail runs", tasks.Step{}, []*Host{host("failing", func(h *Host) { h.Suspicion = 1; h.Free.CPU = 100 }), host("best", same)}},
		{"a host without serving tasks, for one that fills", tasks.Step{Fills: true}, []*Host{host("serving", func(h *Host) { h.Serving = 1; h.Free.CPU = 100 }), host("best", same)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Pick(Need{Step: &test.step}, test.hosts); got == nil || got.ID != "best" {
				t.Errorf("got %+v, want best", got)
			}
		})
	}
}

// TestUrgency checks the order of jobs.
func TestUrgency(t *testing.T) {
	now := time.Now()
	order := []Urgency{
		{Priority: 0, Due: now},
		{Priority: 0, Due: now.Add(time.Second)},
		{Priority: 0, Late: true, Due: now.Add(-time.Second)},
		{Priority: 1, Due: now.Add(-time.Minute)},
	}
	for i := range order {
		for j := range order {
			if got, want := order[i].Before(order[j]), i < j; got != want {
				t.Errorf("got %v for %+v before %+v, want %v", got, order[i], order[j], want)
			}
		}
	}
}

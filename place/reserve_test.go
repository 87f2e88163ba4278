package place

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanpath/tasks"
)

func quietHost(id string, freshFor time.Duration) *Host {
	capacity := tasks.Resources{CPU: 4000, MemMB: 400}
	return &Host{ID: id, Capacity: capacity, Free: capacity, QuietIn: freshFor}
}

func reservedIDs(hosts []*Host) []string {
	var ids []string
	for _, h := range hosts {
		if h.Reserved {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// TestReserve checks which hosts are reserved for tasks that need isolation.
func TestReserve(t *testing.T) {
	step := &tasks.Step{Room: tasks.Resources{CPU: 1000}}
	isolated := Requirements{Step: step, Isolated: true}
	labelled := isolated
	labelled.Step = &tasks.Step{Room: tasks.Resources{CPU: 1000}, Label: "a"}
	pool := func(change func([]*Host)) []*Host {
		var hosts []*Host
		for i, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			hosts = append(hosts, quietHost(id, time.Duration(8-i)*10*time.Millisecond))
		}
		change(hosts)
		return hosts
	}
	tests := []struct {
		name  string
		reqs  []Requirements
		hosts []*Host
		want  []string
	}{
		{"none needed", nil, pool(func([]*Host) {}), nil},
		{"soonest without fresh runs", []Requirements{isolated}, pool(func([]*Host) {}), []string{"h"}},
		{"a quarter at most", []Requirements{isolated, isolated, isolated}, pool(func([]*Host) {}), []string{"g", "h"}},
		{"those in use count", []Requirements{isolated, isolated}, pool(func(h []*Host) { h[0].Reserved = true }), []string{"a", "h"}},
		{"one of a small pool", []Requirements{isolated, isolated}, pool(func([]*Host) {})[:2], []string{"b"}},
		{"with room first", []Requirements{isolated}, pool(func(h []*Host) { h[7].Free.CPU = 500 }), []string{"g"}},
		{"with the label", []Requirements{labelled}, pool(func(h []*Host) { h[2].Labels = []string{"a"} }), []string{"c"}},
		{"no host has the label", []Requirements{labelled}, pool(func([]*Host) {}), nil},
		{"all full", []Requirements{isolated}, pool(func(hosts []*Host) {
			for i, h := range hosts {
				h.Free.CPU = int64(900 - i)
			}
		}), []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			Reserve(test.reqs, test.hosts)
			if got := reservedIDs(test.hosts); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestReservedHostGetsQuiet checks that a reserved host stays the one that is reserved while
// others get fresh runs, so that an isolated task starts after FreshTime.
func TestReservedHostGetsQuiet(t *testing.T) {
	const pass = 100 * time.Millisecond
	hosts := []*Host{quietHost("a", FreshTime), quietHost("b", FreshTime), quietHost("c", FreshTime)}
	step := &tasks.Step{Room: tasks.Resources{CPU: 10}}
	isolated := Requirements{Step: step, Isolated: true}
	for waited := time.Duration(0); waited < FreshTime; waited += pass {
		Reserve([]Requirements{isolated}, hosts)
		if got := Pick(isolated, hosts); got != nil {
			t.Fatalf("got host %s after %v, want none", got.ID, waited)
		}
		for _, h := range hosts {
			h.QuietIn -= pass
			if !h.Reserved {
				h.Place(Requirements{Step: step})
			}
			h.Reserved = false
		}
	}
	Reserve([]Requirements{isolated}, hosts)
	if got := Pick(isolated, hosts); got == nil {
		t.Errorf("got no host after %v, want one", FreshTime)
	}
}

// referencePickAll places the tasks of a gang one by one on copies of the hosts.
func referencePickAll(req Requirements, count int, hosts []*Host) []string {
	copies := make([]*Host, len(hosts))
	for i, h := range hosts {
		copied := *h
		copies[i] = &copied
	}
	var ids []string
	siblings := make(map[string]int)
	for range count {
		req.SiblingsByHost = siblings
		h := referencePick(req, copies)
		if h == nil {
			return nil
		}
		h.Free = h.Free.Sub(req.Step.RequiredResources())
		siblings[h.ID]++
		ids = append(ids, h.ID)
	}
	return ids
}

// TestPickAllMatchesReference compares PickAll with referencePickAll on generated hosts, and
// checks that it changes none of them.
func TestPickAllMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := generateHosts(t)
		before := make([]Host, len(hosts))
		for i, h := range hosts {
			before[i] = *h
		}
		siblings := map[string]int{}
		req := Requirements{
			Step:           &tasks.Step{Room: tasks.Resources{CPU: 800, MemMB: 10}, MaxPerHost: rapid.IntRange(0, 2).Draw(t, "maxPerHost")},
			SiblingsByHost: siblings,
		}
		count := rapid.IntRange(1, 5).Draw(t, "members")
		var got []string
		for _, h := range PickAll(req, count, hosts) {
			got = append(got, h.ID)
		}
		if want := referencePickAll(req, count, hosts); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		for i, h := range hosts {
			if h.QuietIn != before[i].QuietIn || h.Free != before[i].Free || h.Reserved != before[i].Reserved {
				t.Fatalf("got host %+v, want it unchanged: %+v", *h, before[i])
			}
		}
		if len(siblings) != 0 {
			t.Fatalf("got counts %v of siblings, want them unchanged", siblings)
		}
	})
}

package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanpath/tasks"
)

// referencePick is the reference implementation of Pick: it sorts the feasible hosts
// by cost and returns the first.
func referencePick(req Requirements, hosts []*Host) *Host {
	var feasible []*Host
	for _, host := range hosts {
		free := host.Free
		req := req
		required := req.Step.RequiredResources()
		fits := required.CPU <= free.CPU && required.MemMB <= free.MemMB && required.GPU <= free.GPU
		hasLabel := req.Step.Label == "" || slices.Contains(host.Labels, req.Step.Label)
		belowMaxPerHost := req.Step.MaxPerHost == 0 || req.SiblingsByHost[host.ID] < req.Step.MaxPerHost
		advisorAllows := req.AllowedHosts == nil || req.AllowedHosts[host.ID]
		unreserved := req.Isolated || !host.Reserved
		quiet := !req.Isolated || host.QuietIn == 0
		belowMaxTasks := req.Step.Room.CPU > 0 || host.TasksWithoutCPU < MaxTasksWithoutCPU
		if fits && hasLabel && belowMaxPerHost && advisorAllows && unreserved && quiet && belowMaxTasks {
			feasible = append(feasible, host)
		}
	}
	slices.SortStableFunc(feasible, func(a, b *Host) int {
		switch ca, cb := Cost(req, a), Cost(req, b); {
		case ca < cb:
			return -1
		case ca > cb:
			return 1
		default:
			return 0
		}
	})
	if len(feasible) == 0 {
		return nil
	}
	return feasible[0]
}

func generateHosts(t *rapid.T) []*Host {
	var hosts []*Host
	for i := range rapid.IntRange(0, 6).Draw(t, "hosts") {
		hosts = append(hosts, &Host{
			ID:              fmt.Sprintf("h%d", i),
			Rack:            rapid.SampledFrom([]string{"", "r1-1", "r1-2"}).Draw(t, "rack"),
			Labels:          rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 2).Draw(t, "labels"),
			Free:            tasks.Resources{CPU: rapid.Int64Range(0, 4000).Draw(t, "cpu"), MemMB: rapid.Int64Range(0, 400).Draw(t, "mem")},
			Capacity:        tasks.Resources{CPU: 4000, MemMB: 400},
			RecentFailures:  rapid.IntRange(0, 2).Draw(t, "recentFailures"),
			Slow:            rapid.Bool().Draw(t, "slow"),
			NeedsProbe:      rapid.Bool().Draw(t, "needsProbe"),
			ServingTasks:    rapid.IntRange(0, 2).Draw(t, "servingTasks"),
			BestEffortTasks: rapid.IntRange(0, 2).Draw(t, "bestEffortTasks"),
			QuietIn:         time.Duration(rapid.IntRange(0, 2).Draw(t, "freshFor")) * FreshTime / 2,
			Reserved:        rapid.Bool().Draw(t, "reserved"),
			TasksWithoutCPU: rapid.IntRange(MaxTasksWithoutCPU-2, MaxTasksWithoutCPU).Draw(t, "tasksWithoutCPU"),
		})
	}
	return hosts
}

// TestPickMatchesReference compares Pick with referencePick on generated hosts.
func TestPickMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := generateHosts(t)
		step := &tasks.Step{
			Room:       tasks.Resources{CPU: rapid.Int64Range(0, 3000).Draw(t, "requiredCPU"), MemMB: rapid.Int64Range(0, 300).Draw(t, "requiredMem")},
			Label:      rapid.SampledFrom([]string{"", "a"}).Draw(t, "label"),
			DataRack:   rapid.SampledFrom([]string{"", "r1-1"}).Draw(t, "dataRack"),
			MaxPerHost: rapid.IntRange(0, 2).Draw(t, "maxPerHost"),
			Lasting:    rapid.Bool().Draw(t, "lasting"),
			Fills:      rapid.Bool().Draw(t, "fills"),
		}
		req := Requirements{Step: step, AvoidHost: "h0", SiblingsByHost: map[string]int{"h1": 1}, LastAttempt: rapid.Bool().Draw(t, "lastAttempt")}
		req.MayProbe = rapid.Bool().Draw(t, "mayProbe")
		req.Isolated = rapid.Bool().Draw(t, "isolated")
		if rapid.Bool().Draw(t, "advised") {
			req.AllowedHosts = map[string]bool{"h1": true, "h3": true}
		}
		if got, want := Pick(req, hosts), referencePick(req, hosts); got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Guards against a gang that fills a host with tasks without CPU beyond the bound: the
// members are counted while hosts are picked, and no longer after that.
func TestPickAllBoundsTasksWithoutCPU(t *testing.T) {
	host := &Host{ID: "h", TasksWithoutCPU: MaxTasksWithoutCPU - 3}
	req := Requirements{Step: &tasks.Step{Gang: true}, SiblingsByHost: map[string]int{}}
	for _, test := range []struct{ count, want int }{{3, 3}, {4, 0}, {3, 3}} {
		if got := PickAll(req, test.count, []*Host{host}); len(got) != test.want {
			t.Errorf("got %d hosts for a gang of %d, want %d", len(got), test.count, test.want)
		}
	}
	if host.TasksWithoutCPU != MaxTasksWithoutCPU-3 {
		t.Errorf("got %d tasks on the host after PickAll, want %d", host.TasksWithoutCPU, MaxTasksWithoutCPU-3)
	}
}

// TestPickPreference checks which of two feasible hosts is preferred.
func TestPickPreference(t *testing.T) {
	capacity := tasks.Resources{CPU: 4000, MemMB: 400}
	host := func(id string, change func(*Host)) *Host {
		h := &Host{ID: id, Rack: "r1-1", Capacity: capacity, Free: capacity}
		change(h)
		return h
	}
	unchanged := func(*Host) {}
	tests := []struct {
		name  string
		step  tasks.Step
		hosts []*Host
	}{
		{"best fit", tasks.Step{Room: tasks.Resources{CPU: 1000}}, []*Host{host("empty", unchanged), host("best", func(h *Host) { h.Free.CPU = 1000 })}},
		{"rack of the data", tasks.Step{DataRack: "r1-1"}, []*Host{host("far", func(h *Host) { h.Rack = "r1-2"; h.Free.CPU = 100 }), host("best", unchanged)}},
		{"host without failures", tasks.Step{}, []*Host{host("failing", func(h *Host) { h.RecentFailures = 1; h.Free.CPU = 100 }), host("best", unchanged)}},
		{"host that isn't slow", tasks.Step{DataRack: "r1-1"}, []*Host{host("slow", func(h *Host) { h.Slow = true; h.Free.CPU = 100 }), host("best", func(h *Host) { h.Rack = "r1-2"; h.RecentFailures = 3 })}},
		{"slow host over none", tasks.Step{Room: tasks.Resources{CPU: 1000}}, []*Host{host("full", func(h *Host) { h.Free.CPU = 0 }), host("best", func(h *Host) { h.Slow = true })}},
		{"host without serving tasks for a best-effort task", tasks.Step{Fills: true}, []*Host{host("serving", func(h *Host) { h.ServingTasks = 1; h.Free.CPU = 100 }), host("best", unchanged)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Pick(Requirements{Step: &test.step}, test.hosts); got == nil || got.ID != "best" {
				t.Errorf("got %+v, want host %q", got, "best")
			}
		})
	}
}

// TestProbeOfSlowHost checks that a slow host which needs a probe gets one task, and only one
// that may serve for it.
func TestProbeOfSlowHost(t *testing.T) {
	capacity := tasks.Resources{CPU: 4000, MemMB: 400}
	step := &tasks.Step{Room: tasks.Resources{CPU: 1000}}
	slow := &Host{ID: "slow", Capacity: capacity, Free: capacity, Slow: true, NeedsProbe: true}
	busy := &Host{ID: "busy", Capacity: capacity, Free: tasks.Resources{CPU: 2000, MemMB: 400}}
	hosts := []*Host{busy, slow}
	for _, test := range []struct {
		req  Requirements
		want string
	}{
		{Requirements{Step: step}, "busy"},
		{Requirements{Step: step, MayProbe: true, LastAttempt: true}, "busy"},
		{Requirements{Step: step, MayProbe: true, Isolated: true}, "busy"},
		{Requirements{Step: step, MayProbe: true}, "slow"},
	} {
		if got := Pick(test.req, hosts); got.ID != test.want {
			t.Errorf("got host %s for %+v, want %s", got.ID, test.req, test.want)
		}
	}
	probe := Requirements{Step: step, MayProbe: true}
	slow.Place(probe)
	if got := Pick(probe, hosts); got != busy {
		t.Errorf("got host %s for a second task, want busy", got.ID)
	}
}

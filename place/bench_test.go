package place

import (
	"fmt"
	"testing"

	"rattanpath/tasks"
)

// BenchmarkPick shows what it costs to pick one of 1,000 hosts, half of them feasible. It must
// not allocate: a pass picks a host for each waiting task.
func BenchmarkPick(b *testing.B) {
	var hosts []*Host
	for i := range 1000 {
		hosts = append(hosts, &Host{
			ID: fmt.Sprintf("h%d", i), Rack: fmt.Sprintf("r%d", i%8), Labels: []string{"a"}, RecentFailures: i % 3, ServingTasks: i % 5,
			Capacity: tasks.Resources{CPU: 8000, MemMB: 8000}, Free: tasks.Resources{CPU: int64(i%2) * 4000, MemMB: 4000},
		})
	}
	step := &tasks.Step{Room: tasks.Resources{CPU: 1000, MemMB: 100}, DataRack: "r1", Label: "a", Fills: false, Lasting: true}
	req := Requirements{Step: step, SiblingsByHost: map[string]int{"h1": 1}}
	b.ReportAllocs()
	for b.Loop() {
		if Pick(req, hosts) == nil {
			b.Fatal("got no host, want one")
		}
	}
}

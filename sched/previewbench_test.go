package sched

import (
	"testing"

	"rattanpath/tasks"
	"rattanpath/views"
)

// BenchmarkPreview shows how long a preview of the most steps holds up a cell of 1,100 hosts with
// 500 jobs that wait, beside BenchmarkPass.
func BenchmarkPreview(b *testing.B) {
	c := busyCell(1100, 500)
	plan := tasks.Plan{Spec: "spec"}
	for range views.MaxPlacementSteps {
		plan.Steps = append(plan.Steps, simplePlan(8, hostCPU/16).Steps[0])
	}
	b.ReportAllocs()
	for b.Loop() {
		view, err := c.Preview(Caller{}, tasks.Key{Queue: testQueue, ID: "new"}, plan, tasks.Policy{})
		if err != nil || len(view.Steps) != views.MaxPlacementSteps {
			b.Fatalf("got %+v and error %v, want the hosts of each step", view, err)
		}
	}
}

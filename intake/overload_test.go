package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/tasks"
)

// TestRefusalCoversLargerJobs checks that a refusal is remembered for jobs of the same
// queue that are as large, until callers return.
func TestRefusalCoversLargerJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := func(count int) tasks.Plan { return tasks.Plan{Spec: "spec", Steps: []tasks.Step{{Count: count}}} }
		small, medium, large := startSize(plan(1)), startSize(plan(8)), startSize(plan(30))
		var o overloadedQueues
		o.record("q", medium, 7*time.Second)
		tests := []struct {
			queue string
			size  int
			want  bool
		}{{"q", small, false}, {"q", medium, true}, {"q", large, true}, {"other", large, false}}
		for _, test := range tests {
			wait, got := o.refuses(test.queue, test.size)
			if got != test.want {
				t.Errorf("got %t for a job of %d bytes in queue %s, want %t", got, test.size, test.queue, test.want)
			}
			if got && wait != 7*time.Second {
				t.Errorf("got a wait of %v for queue %s, want that of the owner, 7s", wait, test.queue)
			}
		}
		time.Sleep(retryAfter)
		if _, refused := o.refuses("q", large); refused {
			t.Error("got a refusal after the time to wait, want none")
		}
	})
}

package sched

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/tasks"
)

// shareOrganisations tells a cell of organisations without caps, of the given weights.
func (n *node) shareOrganisations(weights map[string]float64) {
	var organisations []queue.Organisation
	for name, weight := range weights {
		organisations = append(organisations, queue.Organisation{Name: name, Weight: weight})
	}
	n.cell.SetOrganisations(queue.NewConfig(1, nil, []queue.Service{{Name: testService}}, queue.Limits{}).WithOrganisations(organisations, nil))
}

// submitAs submits a job of an organisation with a priority.
func (tc *testCluster) submitAs(n *node, organisation, id string, priority int, plan tasks.Plan) error {
	tc.policy.Organisation, tc.policy.Priority = organisation, priority
	return tc.submit(n, id, plan)
}

// runningOf returns the CPU that organisations have running.
func (n *node) runningOf(name string) int64 {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	return n.cell.usedByOrganisation()[name].CPU
}

// Guards against a burst of one organisation holding up another one that stays within its
// share, and against capacity that is left idle because of shares.
func TestBurstLeavesSharesToOthers(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		n := tc.claim("a")
		n.shareOrganisations(map[string]float64{"acme": 1, "beta": 1})
		time.Sleep(100 * time.Millisecond)
		for i := range 40 {
			if err := tc.submitAs(n, "acme", fmt.Sprint("burst", i), 0, simplePlan(8, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(300 * time.Millisecond)
		if got := n.runningOf("acme"); got != 2*hostCPU {
			t.Errorf("got %d running while no one else asks, want all of the pool", got)
		}
		for i := range 10 {
			id := fmt.Sprint("steady", i)
			if err := tc.submitAs(n, "beta", id, 0, simplePlan(4, 1000)); err != nil {
				t.Fatal(err)
			}
			// Half a second until others end, half a second to run.
			time.Sleep(1300 * time.Millisecond)
			tc.wantPhase(n, id, tasks.Completed)
		}
	})
}

// Guards against running work that doesn't follow the weights when all ask for more than there
// is: callers without an organisation count as weight 1.
func TestSharesFollowWeights(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			return fake.RunProfile{Duration: time.Duration(400+100*(taskID.Index%5)) * time.Millisecond}
		}
		n := tc.claim("a")
		n.shareOrganisations(map[string]float64{"acme": 5, "beta": 2})
		time.Sleep(100 * time.Millisecond)
		for i := range 40 {
			for _, name := range []string{"beta", "acme", ""} {
				if err := tc.submitAs(n, name, fmt.Sprint(name, i), 0, simplePlan(8, 1000)); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(2 * time.Second)
		sums := make(map[string]int64)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			for _, name := range []string{"beta", "acme", ""} {
				sums[name] += n.runningOf(name) / 40
			}
		}
		for name, want := range map[string]int64{"acme": 10000, "beta": 4000, "": 2000} {
			if got := sums[name]; got < want-1000 || got > want+1000 {
				t.Errorf("got a mean of %d running of %q, want %d with a tolerance of a task", got, name, want)
			}
		}
	})
}

// Guards against shares taking precedence over the priority of queues.
func TestPriorityPrecedesShares(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		n := tc.claim("a")
		n.shareOrganisations(map[string]float64{"acme": 1, "beta": 1})
		time.Sleep(100 * time.Millisecond)
		for i := range 10 {
			if err := tc.submitAs(n, "beta", fmt.Sprint("second", i), 1, simplePlan(8, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 10 {
			if err := tc.submitAs(n, "acme", fmt.Sprint("first", i), 0, simplePlan(8, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if got := n.runningOf("acme"); got != 2*hostCPU {
			t.Errorf("got %d running of the queue that comes first, want all of the pool", got)
		}
	})
}

// Guards against a burst that keeps the link busy having others' jobs refused or started late:
// jobs of the organisation beyond its share are refused, with a wait that grows with its
// backlog.
func TestAdmissionByShares(t *testing.T) {
	runCluster(t, 40, func(tc *testCluster) {
		tc.linkRate = slowLinkRate
		n := tc.claim("a")
		n.shareOrganisations(map[string]float64{"acme": 1, "beta": 1})
		time.Sleep(100 * time.Millisecond)
		plan := simplePlan(20, 100)
		plan.Spec = string(make([]byte, longSpec))
		refused := 0
		var waits []time.Duration
		for i := range 200 {
			err := tc.submitAs(n, "acme", fmt.Sprint("burst", i), 0, plan)
			var overload *OverloadError
			if errors.As(err, &overload) {
				refused++
				waits = append(waits, overload.RetryAfter)
			}
			if i%40 != 39 {
				continue
			}
			id := fmt.Sprint("steady", i)
			// It doesn't fit beside what was accepted of the burst.
			if err := tc.submitAs(n, "beta", id, 0, plan); err != nil {
				t.Errorf("got %v for a job within its share, want it accepted", err)
			}
			time.Sleep(3 * time.Second)
			tc.wantPhase(n, id, tasks.Completed)
		}
		if refused < 50 {
			t.Errorf("got %d of 200 jobs of a burst refused, want at least 50", refused)
		}
		if len(waits) > 0 && waits[0] == waits[len(waits)-1] {
			t.Errorf("got the same wait of %v for all, want them spread", waits[0])
		}
		for _, wait := range waits {
			if wait < minRetryAfter || wait > maxRetryAfter {
				t.Errorf("got a wait of %v, want %v to %v", wait, minRetryAfter, maxRetryAfter)
			}
		}
	})
}

// TestRetryAfterGrows checks that the wait follows the organisation's own backlog, and that
// others get the usual answer.
func TestRetryAfterGrows(t *testing.T) {
	c := busyCell(1, 0)
	c.options.Link = NewLink(slowLinkRate)
	(&node{cell: c}).shareOrganisations(map[string]float64{"acme": 1, "beta": 1})
	mean := func(name string, backlog int) time.Duration {
		c.backlogByOrganisation = map[string]int{"acme": backlog, "beta": 1 << 30}
		e := &jobEntry{job: tasks.NewJob(tasks.Key{}, simplePlan(1, 100), tasks.Policy{Organisation: name}, time.Now())}
		var total time.Duration
		for range 200 {
			var overload *OverloadError
			if err := c.overloadError(e); !errors.As(err, &overload) || !errors.Is(err, ErrOverloaded) {
				t.Fatalf("got error %v, want an overload", err)
			}
			total += overload.RetryAfter / 200
		}
		return total
	}
	perSecond := int(c.options.Link.starts.Limit())
	if got := mean("acme", 2*perSecond); got < 1500*time.Millisecond || got > 2500*time.Millisecond {
		t.Errorf("got a mean wait of %v for a backlog of 2 s, want about that", got)
	}
	if got := mean("acme", 8*perSecond); got < 7*time.Second || got > 9*time.Second {
		t.Errorf("got a mean wait of %v for a backlog of 8 s, want about that", got)
	}
	if got := c.overloadError(&jobEntry{job: tasks.NewJob(tasks.Key{}, simplePlan(1, 100), tasks.Policy{}, time.Now())}); got != ErrOverloaded {
		t.Errorf("got %v without an organisation, want %v", got, ErrOverloaded)
	}
}

package sched

import (
	"testing"

	"github.com/pkg/errors"

	"rattanpath/tasks"
)

// callAll returns the errors of a submission, a query and a cancellation of a job.
func (tc *testCluster) callAll(n *node, caller Caller, id string) []error {
	key := tasks.Key{Queue: testQueue, ID: id}
	policy := tc.policy
	policy.Organisation = caller.Organisation
	plan := simplePlan(1, 1000)
	tc.plans.Store(id, plan)
	submitted := n.cell.Submit(tc.ctx, caller, key, plan, policy)
	_, queried := n.cell.Status(tc.ctx, caller, key)
	return []error{submitted, queried, n.cell.Cancel(tc.ctx, caller, key)}
}

// wantErrors checks the errors of callAll.
func (tc *testCluster) wantErrors(got []error, want error, what string) {
	tc.t.Helper()
	for i, call := range []string{"Submit", "Status", "Cancel"} {
		if !errors.Is(got[i], want) {
			tc.t.Errorf("got error %v of %s by %s, want %v", got[i], call, what, want)
		}
	}
}

// TestJobBelongsToItsOrganisation guards against a job that another organisation sees,
// cancels or takes for its own, also after another node has taken over.
func TestJobBelongsToItsOrganisation(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		one, two, none := Caller{Restricted: true, Organisation: "one"}, Caller{Restricted: true, Organisation: "two"}, Caller{Restricted: true}
		n := tc.claim("a")
		policy := tc.policy
		policy.Organisation = "one"
		plan := simplePlan(1, hostCPU+1)
		for _, id := range []string{"owned", "unowned"} {
			tc.plans.Store(id, plan)
			if err := n.cell.Submit(tc.ctx, one, tasks.Key{Queue: testQueue, ID: id}, plan, policy); err != nil {
				t.Fatal(err)
			}
			policy.Organisation = ""
		}
		for _, name := range []string{"a", "b"} {
			if name != "a" {
				n.stop()
				<-n.done
				n = tc.claim(name)
			}
			tc.wantErrors(tc.callAll(n, two, "owned"), ErrForbidden, "another organisation")
			tc.wantErrors(tc.callAll(n, none, "owned"), ErrForbidden, "a caller without a key")
			tc.wantPhase(n, "owned", tasks.Open)
		}
		tc.wantErrors(tc.callAll(n, one, "owned"), nil, "its own organisation")
		tc.wantErrors(tc.callAll(n, two, "unowned"), nil, "any organisation, of a job without one")
		tc.wantErrors(tc.callAll(n, Caller{}, "owned"), nil, "an operator")
	})
}

// TestCancelledInAdvanceBelongsToItsOrganisation cancels a job that was never submitted: its
// own organisation can't start it any more, and another one can't take it for its own.
func TestCancelledInAdvanceBelongsToItsOrganisation(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		one, two := Caller{Restricted: true, Organisation: "one"}, Caller{Restricted: true, Organisation: "two"}
		n := tc.claim("a")
		key := tasks.Key{Queue: testQueue, ID: "job"}
		if err := n.cell.Cancel(tc.ctx, one, key); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("got error %v, want %v", err, ErrUnknownJob)
		}
		tc.wantErrors(tc.callAll(n, two, "job"), ErrForbidden, "another organisation")
		want := []error{nil, ErrUnknownJob, ErrUnknownJob}
		for i, got := range tc.callAll(n, one, "job") {
			if !errors.Is(got, want[i]) {
				t.Errorf("got error %v of call %d by its organisation, want %v", got, i, want[i])
			}
		}
		if got := tc.checker.Starts(); got != 0 {
			t.Errorf("got %d starts of a cancelled job, want 0", got)
		}
	})
}

// TestConcurrentSubmissionsOfTwoOrganisations guards against a second submission that waits
// for the first one's write and counts as accepted with it.
func TestConcurrentSubmissionsOfTwoOrganisations(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		results := make(chan error)
		plan := simplePlan(1, 1000)
		tc.plans.Store("job", plan)
		for _, name := range []string{"one", "two"} {
			go func() {
				policy := tc.policy
				policy.Organisation = name
				results <- n.cell.Submit(tc.ctx, Caller{Restricted: true, Organisation: name}, tasks.Key{Queue: testQueue, ID: "job"}, plan, policy)
			}()
		}
		accepted, forbidden := 0, 0
		for range 2 {
			switch err := <-results; {
			case err == nil:
				accepted++
			case errors.Is(err, ErrForbidden):
				forbidden++
			}
		}
		if accepted != 1 || forbidden != 1 {
			t.Errorf("got %d accepted and %d forbidden, want 1 and 1", accepted, forbidden)
		}
	})
}

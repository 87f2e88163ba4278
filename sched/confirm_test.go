package sched

import (
	"math"
	"testing"
	"time"

	"rattanpath/queue"
	"rattanpath/tasks"
)

// allotLimit restricts an organisation in the cell by a version of the configuration.
func (tc *testCluster) allotLimit(n *node, sequence, version int64, name string) {
	tc.t.Helper()
	a := Allotment{Leader: 1, Sequence: sequence, Version: version, Epoch: n.cell.Epoch(), Until: math.MaxInt64}
	if name != "" {
		a.Limits = map[string]tasks.Resources{name: {}}
	}
	if err := n.cell.Allot(a); err != nil {
		tc.t.Error(err)
	}
}

// TestNothingToConfirmWithoutCaps guards against operators who see a version as unconfirmed for ever
// since no organisation has a cap.
func TestNothingToConfirmWithoutCaps(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		organisations := []queue.Organisation{{Name: "acme", Weight: 1}}
		n.cell.SetOrganisations(configOf(1, testService).WithOrganisations(organisations, nil))
		if view, err := n.cell.Organisations(); err != nil || view.Pending {
			t.Errorf("got version %d pending: %t and error %v, want none", view.Version, view.Pending, err)
		}
	})
}

// TestHoldOutlastsOwner guards against a hold that ends with the owner, or lasts when the leader has
// confirmed the cap or the organisation is gone: the leader would be asked for ever.
func TestHoldOutlastsOwner(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		configOf := func(version int64, names ...string) *queue.Config {
			var organisations []queue.Organisation
			for _, name := range names {
				organisations = append(organisations, queue.Organisation{Name: name, Weight: 1, Cap: cpu(8000)})
			}
			return queue.NewConfig(version, nil, []queue.Service{{Name: testService}}, queue.Limits{}).WithOrganisations(organisations, nil)
		}
		wantHeld := func(n *node, what string, want bool, pending int64) {
			t.Helper()
			time.Sleep(100 * time.Millisecond)
			report, err := n.cell.Report()
			if err != nil || report.Quota == nil {
				t.Fatalf("got report %+v and error %v %s, want one", report.Quota, err, what)
			}
			for _, organisation := range report.Quota.Organisations {
				if organisation.Name == "acme" && organisation.Held != want {
					t.Errorf("got acme held: %t %s, want %t", organisation.Held, what, want)
				}
			}
			if got := report.Quota.Pending; got != pending {
				t.Errorf("got version %d to be confirmed %s, want %d", got, what, pending)
			}
		}
		n := tc.claim("a")
		n.cell.SetOrganisations(configOf(1, "acme", "beta"))
		wantHeld(n, "at the first owner", true, 1)
		tc.allotLimit(n, 1, 1, "")
		wantHeld(n, "once confirmed", false, 0)
		tc.allotLimit(n, 2, 1, "acme")
		wantHeld(n, "once restricted", true, 0)
		n = tc.claim("b")
		n.cell.SetOrganisations(configOf(1, "acme", "beta"))
		wantHeld(n, "at the next owner", true, 1)
		tc.allotLimit(n, 1, 0, "")
		wantHeld(n, "after an allotment that confirms nothing", true, 1)
		n.cell.SetOrganisations(configOf(2, "beta"))
		tc.allotLimit(n, 2, 2, "")
		wantHeld(n, "without the organisation", false, 0)
		n = tc.claim("c")
		n.cell.SetOrganisations(configOf(2, "beta"))
		wantHeld(n, "at an owner without the organisation", false, 0)
	})
}

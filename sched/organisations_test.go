package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/fake"
	"rattanpath/tasks"
	"rattanpath/views"
)

// Guards against metrics that grow with the number of organisations, or that a name breaks.
func TestOrganisationLabels(t *testing.T) {
	set := metrics.NewSet()
	m := NewMetrics(set)
	for i := range 3 * maxOrganisationLabels {
		m.recordAssigned(fmt.Sprintf("o%d \"} é\n", i))
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	if got := strings.Count(text.String(), "rattanpath_organisation_runs_total"); got != maxOrganisationLabels {
		t.Errorf("got %d label values, want %d", got, maxOrganisationLabels)
	}
	if want := fmt.Sprintf("(others)\"} %d\n", 2*maxOrganisationLabels+1); !strings.Contains(text.String(), want) {
		t.Errorf("got\n%s\nwant the line of all further organisations to end in %q", text.String(), want)
	}
}

// TestOrganisationsView checks what operators see of an organisation that its cap holds up, and of
// callers without one.
func TestOrganisationsView(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = longRuns
		n := tc.claim("a")
		if view, err := n.cell.Organisations(); err != nil || len(view.Organisations) != 0 {
			t.Errorf("got %+v and error %v without a configuration, want no organisations", view, err)
		}
		n.useOrganisations(cpu(8000))
		if err := tc.allot(n, 4, 1, cpu(5000), 2500*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if err := tc.submitAs(n, "", "public", 0, simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		if err := tc.submitAs(n, "acme", "long", 0, simplePlan(8, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		view, err := n.cell.Organisations()
		if err != nil || len(view.Organisations) != 3 {
			t.Fatalf("got %+v, error %v, want two organisations and callers without one", view, err)
		}
		if view.Leader != 4 || view.AllottedAge <= time.Second || view.AllottedFor <= time.Second || view.Version != 1 || view.Pending {
			t.Errorf("got %+v, want an allotment of leader 4 and its age and remaining time", view)
		}
		none, acme := view.Organisations[0], view.Organisations[1]
		if none.Name != "" || none.Used.CPU != 1000 || none.Cap != (views.Resources{}) || none.Weight != 1 {
			t.Errorf("got %+v, want the callers without an organisation to use 1000", none)
		}
		if acme.Base.CPU != 2000 || acme.Allotted.CPU != 5000 || acme.Allowed.CPU != 5000 || acme.Used.CPU != 5000 || acme.Waiting.CPU != 3000 {
			t.Errorf("got %+v, want 5000 of 8000 started, as allotted", acme)
		}
		if acme.CapHeld < 500*time.Millisecond || acme.ShareHeld != 0 || acme.Share < 0.3 {
			t.Errorf("got %+v, want it held up by its cap since it was submitted", acme)
		}
		if view.Organisations[2].Name != "beta" || view.Organisations[2].CapHeld != 0 {
			t.Errorf("got %+v, want an organisation that isn't held up", view.Organisations[2])
		}
		if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "long"}); err != nil {
			t.Error(err)
		}
	})
}

// longRuns makes all runs take a minute.
func longRuns(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Minute} }

package sched

import (
	"math"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/tasks"
)

// useOrganisations tells a cell of an organisation whose base is that of one of two services,
// and confirms that for the leader.
func (n *node) useOrganisations(limit tasks.Resources) {
	services := []queue.Service{{Name: testService}, {Name: "other"}}
	organisations := []queue.Organisation{{Name: "acme", Weight: 1, Cap: limit}, {Name: "beta", Weight: 1}}
	n.cell.SetOrganisations(queue.NewConfig(1, nil, services, queue.Limits{}).WithOrganisations(organisations, nil))
	_ = n.cell.Allot(Allotment{Sequence: 1, Version: 1, Epoch: n.cell.Epoch(), Until: math.MaxInt64})
}

// quotaOf returns what the cell reports of the organisation with a cap.
func (tc *testCluster) quotaOf(n *node) OrganisationReport {
	tc.t.Helper()
	report, err := n.cell.Report()
	if err != nil || report.Quota == nil || len(report.Quota.Organisations) != 1 {
		tc.t.Fatalf("got report %+v and error %v, want one on an organisation with a cap", report.Quota, err)
	}
	return report.Quota.Organisations[0]
}

// allot lends an amount to the cell for a time.
func (tc *testCluster) allot(n *node, leader, sequence int64, amount tasks.Resources, valid time.Duration) error {
	return n.cell.Allot(Allotment{
		Leader: leader, Sequence: sequence, Version: 1, Epoch: n.cell.Epoch(), Until: time.Since(tc.start) + valid,
		Amounts: map[string]tasks.Resources{"acme": amount},
	})
}

// Guards against a gang being started in part, or beyond what the cell was allotted.
func TestQuotaGang(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.policy.Organisation = "acme"
		n := tc.claim("a")
		n.useOrganisations(cpu(16000))
		time.Sleep(200 * time.Millisecond)
		plan := simplePlan(6, 1000)
		plan.Steps[0].Gang = true
		if err := tc.submit(n, "gang", plan); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		got := tc.quotaOf(n)
		if got.Used.CPU != 0 || got.Wanted.CPU != 6000 || got.Unit.CPU != 6000 || !got.Gang {
			t.Errorf("got %+v with a base of 4000, want a gang of 6000 wanted and none of it started", got)
		}
		if detail, err := n.cell.Explain("gang"); err != nil || detail.Why != "the cap of its organisation allows no more at present" {
			t.Errorf("got reason %q, error %v, want the cap", detail.Why, err)
		}
		if err := tc.allot(n, 1, 1, cpu(6000), time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		if got := tc.quotaOf(n); got.Used.CPU != 6000 {
			t.Errorf("got %+v after an allotment of 6000, want the gang started", got)
		}
		time.Sleep(time.Second)
		tc.wantPhase(n, "gang", tasks.Completed)
	})
}

// Guards against an allotment of an older leader, of another owner or from before taking effect,
// and against one outlasting its time.
func TestAllotmentOrder(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		n.useOrganisations(cpu(16000))
		steps := []struct {
			leader, sequence, amount int64
			valid                    time.Duration
			want                     int64
		}{
			{5, 2, 9000, time.Second, 9000},
			{5, 1, 12000, time.Second, 9000},
			{4, 9, 12000, time.Second, 9000},
			{6, 1, 0, time.Second, 0},
			{5, 3, 12000, time.Second, 0},
			{6, 2, 8000, -time.Second, 0},
			{6, 3, 8000, time.Second, 8000},
		}
		for _, s := range steps {
			if err := tc.allot(n, s.leader, s.sequence, cpu(s.amount), s.valid); err != nil {
				t.Error(err)
			}
			if got := tc.quotaOf(n).Allotted.CPU; got != s.want {
				t.Errorf("got %d allotted after %+v, want %d", got, s, s.want)
			}
		}
		if err := n.cell.Allot(Allotment{Leader: 7, Epoch: n.cell.Epoch() + 1}); err != ErrNotOwner {
			t.Errorf("got error %v for the allotment of another owner, want %v", err, ErrNotOwner)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := tc.quotaOf(n).Allotted.CPU; got != 0 {
			t.Errorf("got %d allotted after its time, want none", got)
		}
	})
}

// Guards against forgetting runs that may still go on: those that a former owner started, on
// hosts that don't answer or are no longer listed, and those that are being stopped.
func TestQuotaCountsUncertainRuns(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Minute} }
		tc.policy.Organisation = "acme"
		first := tc.claim("a")
		first.useOrganisations(cpu(8 * hostCPU))
		time.Sleep(200 * time.Millisecond)
		plan := simplePlan(4, 4000)
		plan.Steps[0].MaxPerHost = 1
		if err := tc.submit(first, "long", plan); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		tc.runners["h0"].SetUnresponsive(true)
		second := tc.claim("b")
		second.hosts.SetUnlisted("h1", true)
		tc.runners["h1"].SetStopTime(3 * time.Second)
		tc.runners["h2"].SetStopTime(3 * time.Second)
		tc.runners["h3"].SetStopTime(3 * time.Second)
		second.useOrganisations(cpu(8000))
		time.Sleep(500 * time.Millisecond)
		if err := second.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "long"}); err != nil {
			t.Fatal(err)
		}
		if err := tc.submit(second, "next", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := tc.quotaOf(second); got.Used.CPU != 16000 || got.Wanted.CPU != 1000 {
			t.Errorf("got %+v, want 4 runs of 4000 counted and the next task held back", got)
		}
		tc.runners["h0"].SetUnresponsive(false)
		time.Sleep(20 * time.Second)
		if got := tc.quotaOf(second); got.Used.CPU > 1000 {
			t.Errorf("got %+v after all leases have expired, want only the next task", got)
		}
	})
}

// Guards against work and bytes for organisations where none has a cap.
func TestNoQuotasWithoutCaps(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		for range 2 {
			if report, err := n.cell.Report(); err != nil || report.Quota != nil || n.cell.newQuotaPass() != nil {
				t.Errorf("got %+v and error %v without a cap, want no quotas", report.Quota, err)
			}
			n.useOrganisations(tasks.Resources{})
		}
	})
}

// BenchmarkQuotaPass measures a scheduling pass with organisations whose caps are reached.
func BenchmarkQuotaPass(b *testing.B) {
	c := busyCell(800, 600)
	(&node{cell: c}).useOrganisations(cpu(1000))
	for e := range c.open {
		e.job.Policy.Organisation = "acme"
	}
	b.ReportAllocs()
	for b.Loop() {
		c.schedule(time.Now())
	}
}

// BenchmarkFairPass measures a scheduling pass in which organisations with caps compete for hosts
// that are full.
func BenchmarkFairPass(b *testing.B) {
	c := busyCell(800, 600)
	(&node{cell: c}).useOrganisations(cpu(800 * hostCPU))
	i := 0
	for e := range c.open {
		e.job.Policy.Organisation = []string{"acme", "beta"}[i%2]
		i++
	}
	b.ReportAllocs()
	for b.Loop() {
		c.schedule(time.Now())
	}
}

package sched

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/pkg/errors"

	"rattanpath/queue"
	"rattanpath/tasks"
	"rattanpath/views"
)

// stateDump writes all that can be reached from a value, unexported fields included, so that two
// states can be compared. Functions and what is named in skip are left out.
type stateDump struct {
	text strings.Builder
	seen map[unsafe.Pointer]bool
}

// dumpState returns the state of a cell. c.mu must be held.
func dumpState(c *Cell) string {
	d := &stateDump{seen: make(map[unsafe.Pointer]bool)}
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		switch name := v.Type().Field(i).Name; name {
		case "options", "logger", "claim", "writer", "mu", "ctx", "wg", "lostOnce":
			// They don't change, or belong to the writing goroutine.
		default:
			d.text.WriteString("\n" + name + " ")
			d.write(v.Field(i))
		}
	}
	return d.text.String()
}

func (d *stateDump) write(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || d.seen[v.UnsafePointer()] {
			_, _ = fmt.Fprintf(&d.text, "%x ", v.Pointer())
			return
		}
		d.seen[v.UnsafePointer()] = true
		d.write(v.Elem())
	case reflect.Interface:
		if !v.IsNil() {
			d.write(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			d.text.WriteString(v.Type().Field(i).Name + ":")
			d.write(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		_, _ = fmt.Fprintf(&d.text, "[%d ", v.Len())
		for i := range v.Len() {
			d.write(v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		_, _ = fmt.Fprintf(&d.text, "map %d ", len(keys))
		for _, key := range keys {
			_, _ = fmt.Fprint(&d.text, key, ":")
			d.write(v.MapIndex(key))
		}
	case reflect.Chan:
		_, _ = fmt.Fprintf(&d.text, "chan %d ", v.Len())
	case reflect.Func:
	default:
		_, _ = fmt.Fprint(&d.text, v, " ")
	}
}

// TestPreviewChangesNothing compares the whole state of a busy cell before and after previews of
// all kinds. Preview calls code that also decides, which must not count, log or plan anything.
func TestPreviewChangesNothing(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.profileOf = longRuns
		n := tc.claim("a")
		n.useOrganisations(cpu(8000))
		time.Sleep(2 * time.Second)
		for i, organisation := range []string{"acme", "beta", ""} {
			if err := tc.submitAs(n, organisation, fmt.Sprint("j", i), 0, simplePlan(20, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		c := n.cell
		c.mu.Lock()
		defer c.mu.Unlock()
		gang := simplePlan(30, 1000)
		gang.Steps[0].Gang = true
		previews := 0
		before := dumpState(c)
		for _, plan := range []tasks.Plan{{}, simplePlan(3, 1000), servingPlan(2, 500), gang} {
			for _, id := range []string{"j0", "j1", "new"} {
				for _, organisation := range []string{"acme", "beta", ""} {
					policy := tc.policy
					policy.Organisation = organisation
					advised := policy
					advised.Advice = &tasks.AdvisorSettings{}
					for _, policy := range []tasks.Policy{policy, advised} {
						_, _ = c.preview(Caller{Restricted: true, Organisation: organisation}, tasks.Key{Queue: testQueue, ID: id}, plan, policy, time.Now())
						previews++
					}
				}
			}
		}
		if got := dumpState(c); got != before {
			t.Errorf("got another state after %d previews:\n%s\nwant\n%s", previews, got, before)
		}
		c.submittedCPU++
		if dumpState(c) == before {
			t.Error("got the same dump after a change, want the dump to show it")
		}
		c.submittedCPU--
		for _, id := range []string{"j0", "j1", "j2"} {
			c.mu.Unlock()
			if err := c.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: id}); err != nil {
				t.Error(err)
			}
			c.mu.Lock()
		}
	})
}

// TestPreviewNamesHost checks that a job which is submitted after a preview starts on the host
// that the preview ranked first.
func TestPreviewNamesHost(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(2 * time.Second)
		for i, size := range []int64{5000, 3000, 4000, 2000, 6000} {
			id, plan := fmt.Sprint("j", i), simplePlan(1, size)
			plan.Steps[0].Estimate = time.Minute
			key := tasks.Key{Queue: testQueue, ID: id}
			view, err := n.cell.Preview(Caller{}, key, plan, tc.policy)
			if err != nil || len(view.Steps) != 1 {
				t.Fatalf("got %+v and error %v, want one step", view, err)
			}
			if view.Start != startNow || len(view.Steps[0].Hosts) == 0 {
				t.Fatalf("got %+v, want a start now", view)
			}
			if err := tc.submit(n, id, plan); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			if got, want := n.hostOf(id, 0), view.Steps[0].Hosts[0].ID; got != want {
				t.Errorf("got job %s on host %s, want %s, which the preview ranked first", id, got, want)
			}
			existing, err := n.cell.Preview(Caller{}, key, plan, tc.policy)
			if err != nil || existing.Job != "open" || len(existing.Steps) != 0 {
				t.Errorf("got %+v and error %v, want a job that exists and waits for no host", existing, err)
			}
		}
	})
}

// TestPreviewStart checks what ready steps are said to wait for, and why hosts are ruled out.
func TestPreviewStart(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		n := tc.claim("a")
		n.useOrganisations(cpu(1000))
		time.Sleep(2 * time.Second)
		change := func(plan tasks.Plan, change func(*tasks.Step)) tasks.Plan {
			change(&plan.Steps[0])
			return plan
		}
		later := simplePlan(1, 100)
		later.Repeats, later.First = 1, time.Now().Add(time.Hour)
		tests := []struct {
			name         string
			organisation string
			plan         tasks.Plan
			start        string
			ruledOut     string
		}{
			{"room", "beta", simplePlan(1, 100), startNow, ""},
			{"no room", "beta", simplePlan(1, hostCPU+1), "a task is larger than any host at present", "not enough CPU, memory or GPUs are free"},
			{"label", "beta", change(simplePlan(1, 100), func(s *tasks.Step) { s.Label = "x" }), "no usable host has the label x", "it lacks the required label"},
			{"gang", "beta", change(simplePlan(17, 1000), func(s *tasks.Step) { s.Gang = true }), "the hosts have no room for all 17 members of the gang", ""},
			{"large gang", "beta", change(simplePlan(4000, 1000), func(s *tasks.Step) { s.Gang = true }), "the hosts have no room for all 4000 members of the gang", ""},
			{"cap", "acme", simplePlan(1, 2000), "the cap of its organisation allows no more at present", ""},
			{"later", "beta", later, "no round is due before " + later.First.UTC().Format(time.RFC3339), ""},
		}
		for _, test := range tests {
			policy := tc.policy
			policy.Organisation = test.organisation
			view, err := n.cell.Preview(Caller{}, tasks.Key{Queue: testQueue, ID: "new"}, test.plan, policy)
			if err != nil || view.Start != test.start {
				t.Errorf("%s: got %+v and error %v, want start %q", test.name, view, err, test.start)
				continue
			}
			if test.ruledOut != "" && (len(view.Steps[0].RuledOut) != 2 || view.Steps[0].RuledOut[0].Reason != test.ruledOut) {
				t.Errorf("%s: got %+v ruled out, want both hosts: %s", test.name, view.Steps[0].RuledOut, test.ruledOut)
			}
		}
		if _, err := n.cell.Cordon([]string{"h1"}, time.Minute, false); err != nil {
			t.Fatal(err)
		}
		view, err := n.cell.Preview(Caller{}, tasks.Key{Queue: testQueue, ID: "new"}, simplePlan(1, 100), tc.policy)
		if want := (views.RuledOutHost{ID: "h1", Reason: "cordoned"}); err != nil || !slices.Equal(view.Unusable, []views.RuledOutHost{want}) {
			t.Errorf("got %+v and error %v, want %+v unusable", view, err, want)
		}
	})
}

// TestPreviewShareAndOrder checks that a job waits for the share of its organisation, and for jobs
// that come first.
func TestPreviewShareAndOrder(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = longRuns
		n := tc.claim("a")
		n.shareOrganisations(map[string]float64{"acme": 1, "beta": 1})
		time.Sleep(2 * time.Second)
		for _, job := range []struct {
			organisation, id string
			size             int64
		}{{"acme", "runs", 1000}, {"beta", "waits", 6000}} {
			if err := tc.submitAs(n, job.organisation, job.id, 0, simplePlan(6, job.size)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		tests := []struct {
			organisation string
			priority     int
			start        string
			ahead        bool
		}{
			{"acme", 1, "its organisation is beyond its share: it gets what others leave", true},
			{"beta", 1, "other jobs come first; a host has room at present", true},
			{"beta", -1, startNow, false},
		}
		for _, test := range tests {
			policy := tc.policy
			policy.Organisation, policy.Priority = test.organisation, test.priority
			view, err := n.cell.Preview(Caller{}, tasks.Key{Queue: testQueue, ID: "new"}, simplePlan(1, 1000), policy)
			if err != nil || view.Start != test.start || (view.Ahead > 0) != test.ahead {
				t.Errorf("got %+v and error %v for %s with priority %d, want start %q", view, err, test.organisation, test.priority, test.start)
			}
		}
		for _, id := range []string{"runs", "waits"} {
			if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: id}); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestPreviewRefusals checks that a preview gives the error that Submit gives, and its reason, and
// that the refusal isn't counted.
func TestPreviewRefusals(t *testing.T) {
	busy := func(change func(c *Cell)) *Cell {
		c := busyCell(1, 0)
		c.options.Link = NewLink(slowLinkRate)
		c.startQueueFullAt, c.claimedAt = c.options.Clock(), c.options.Clock()
		change(c)
		return c
	}
	acme := tasks.Policy{Organisation: "acme", MaxAttempts: 1}
	gang := simplePlan(4000, 1)
	gang.Steps[0].Gang = true
	existing := func(policy tasks.Policy) func(*Cell) {
		return func(c *Cell) {
			e := &jobEntry{job: tasks.NewJob(tasks.Key{Queue: testQueue, ID: "x"}, simplePlan(1, 1), policy, time.Now()), persisted: true}
			c.jobs = map[tasks.Key]*jobEntry{e.job.Key: e}
			c.byID = map[string]*jobEntry{"x": e}
		}
	}
	tests := []struct {
		name   string
		cell   *Cell
		queue  string
		plan   tasks.Plan
		want   error
		reason string
	}{
		{"store away", busy(func(c *Cell) { c.failingSince = time.Now().Add(-time.Second) }), testQueue, simplePlan(1, 1), ErrStoreUnavailable, "the store can't be reached"},
		{"overloaded", busy(func(c *Cell) { c.backlogBytes = 1 << 30 }), testQueue, simplePlan(1, 1), ErrOverloaded, "too many tasks wait to be started"},
		{"share", busy(func(c *Cell) {
			c.backlogBytes, c.backlogByOrganisation = 1<<30, map[string]int{"acme": 1 << 30}
			(&node{cell: c}).shareOrganisations(map[string]float64{"acme": 1, "beta": 1})
		}), testQueue, simplePlan(1, 1), ErrOverloaded, "share: "},
		{"gang", busy(func(*Cell) {}), testQueue, gang, ErrOverloaded, "gang: 4000 start commands"},
		{"reassigned", busy(func(c *Cell) {
			q := &queue.Queue{Host: "index.example", Prefix: "/jobs/", Policy: tasks.Policy{Service: "other"}}
			config := queue.NewConfig(9, []*queue.Queue{q}, nil, queue.Limits{})
			c.options.Config = func() *queue.Config { return config }
		}), testQueue, simplePlan(1, 1), ErrReassigned, "the queue was assigned to another service"},
		{"ID of another queue", busy(existing(acme)), "other/", simplePlan(1, 1), ErrIDConflict, "another queue of the service"},
		{"other organisation", busy(existing(tasks.Policy{Organisation: "beta"})), testQueue, simplePlan(1, 1), ErrForbidden, "another organisation"},
		{"unknown", busy(func(*Cell) {}), testQueue, tasks.Plan{}, ErrUnknownJob, ""},
		{"unknown, store away", busy(func(c *Cell) { c.failingSince = time.Now().Add(-time.Second) }), testQueue, tasks.Plan{}, ErrStoreUnavailable, ""},
	}
	for _, test := range tests {
		caller := Caller{Restricted: true, Organisation: "acme"}
		key := tasks.Key{Queue: test.queue, ID: "x"}
		before := dumpState(test.cell)
		view, err := test.cell.Preview(caller, key, test.plan, acme)
		if !errors.Is(err, test.want) || !strings.Contains(view.Refused, test.reason) {
			t.Errorf("%s: got %+v and error %v, want %v, reason %q", test.name, view, err, test.want, test.reason)
		}
		if got := dumpState(test.cell); got != before {
			t.Errorf("%s: got another state after a preview, want the same", test.name)
		}
		if len(test.plan.Steps) == 0 {
			continue
		}
		if err := test.cell.Submit(t.Context(), caller, key, test.plan, acme); !errors.Is(err, test.want) {
			t.Errorf("%s: got error %v of Submit, want %v as of Preview", test.name, err, test.want)
		}
	}
}

// Guards against previews whose size grows with the pool or the job.
func TestPreviewIsBounded(t *testing.T) {
	runCluster(t, 3*views.MaxPlacementShown, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(2 * time.Second)
		plan := tasks.Plan{Spec: "spec"}
		for range 3 * views.MaxPlacementSteps {
			plan.Steps = append(plan.Steps, simplePlan(1, 100).Steps[0])
		}
		view, err := n.cell.Preview(Caller{}, tasks.Key{Queue: testQueue, ID: "new"}, plan, tc.policy)
		if err != nil || len(view.Steps) != views.MaxPlacementSteps || view.StepsOmitted != 2*views.MaxPlacementSteps {
			t.Fatalf("got %d steps and %d omitted, error %v, want %d and twice as many", len(view.Steps), view.StepsOmitted, err, views.MaxPlacementSteps)
		}
		if got := view.Steps[0]; len(got.Hosts) != views.MaxPlacementShown || got.HostsOmitted != 2*views.MaxPlacementShown {
			t.Errorf("got %d hosts and %d omitted, want %d and twice as many", len(got.Hosts), got.HostsOmitted, views.MaxPlacementShown)
		}
		plan.Steps[0].Label = "x"
		view, err = n.cell.Preview(Caller{}, tasks.Key{Queue: testQueue, ID: "new"}, plan, tc.policy)
		if got := view.Steps[0]; err != nil || len(got.RuledOut) != views.MaxPlacementShown || got.RuledOutOmitted != 2*views.MaxPlacementShown {
			t.Errorf("got %d hosts ruled out and %d omitted, error %v, want %d and twice as many", len(got.RuledOut), got.RuledOutOmitted, err, views.MaxPlacementShown)
		}
	})
}

package sched

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// The messages of the lines on a run that isn't confirmed, and on one that is again.
const (
	overdueMessage   = "serving run not confirmed by its host"
	confirmedMessage = "serving run confirmed again"
)

// awaitLines waits until there are as many lines with a message and returns them.
func awaitLines(t *testing.T, log *logBuffer, message string, count int, limit time.Duration) []map[string]string {
	t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		lines := log.lines(message)
		if len(lines) >= count {
			return lines
		}
		if time.Since(start) > limit {
			t.Fatalf("got %d lines %q after %v, want %d", len(lines), message, limit, count)
		}
	}
}

// wantValues checks values of a line.
func wantValues(t *testing.T, line, want map[string]string) {
	t.Helper()
	for key, value := range want {
		if got := line[key]; got != value {
			t.Errorf("got %s=%q, want %q in %v", key, got, value, line)
		}
	}
}

// wantDuration checks that a duration in a line is within bounds.
func wantDuration(t *testing.T, line map[string]string, key string, low, high time.Duration) {
	t.Helper()
	got, err := time.ParseDuration(line[key])
	if err != nil || got < low || got > high {
		t.Errorf("got %s=%q, want %v to %v in %v", key, line[key], low, high, line)
	}
}

// wantOverdueRuns checks the metric of runs that aren't confirmed.
func wantOverdueRuns(t *testing.T, set *metrics.Set, want int) {
	t.Helper()
	var out bytes.Buffer
	set.WritePrometheus(&out)
	if want := fmt.Sprintf("rattanpath_cell_overdue_serving_runs{service=%q} %d\n", testService, want); !strings.Contains(out.String(), want) {
		t.Errorf("got no metric %s, want it", want)
	}
}

// useMetrics makes the cells of nodes register their metrics in the returned set.
func (tc *testCluster) useMetrics() *metrics.Set {
	set := metrics.NewSet()
	tc.configure = func(o *Options) { o.Metrics = NewMetrics(set) }
	return set
}

// TestUnconfirmedServingRunIsLogged guards against an owner that says nothing while it counts a
// serving run as active without proof, and against lines in each look.
func TestUnconfirmedServingRunIsLogged(t *testing.T) {
	for _, test := range []struct {
		name string
		// recovers is set if the host answers again before its lease has expired.
		recovers bool
	}{{"the host answers again", true}, {"the lease expires", false}} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 1, func(tc *testCluster) {
				log, set := tc.useServingTasks(), tc.useMetrics()
				n := tc.startServing(1)
				n.hosts.SetPartitioned("h0", true)
				line := awaitLines(tc.t, log, overdueMessage, 1, 5*time.Second)[0]
				wantValues(tc.t, line, map[string]string{"job": "job", "round": "0", "step": "0", "index": "0", "run": "1", "host": "h0", "state": "started", "since": "host", "listed": "true"})
				wantDuration(tc.t, line, "unconfirmed", overdueDelay, overdueDelay+overdueInterval+2*tickInterval)
				wantDuration(tc.t, line, "recordAge", 0, 4*time.Second)
				wantDuration(tc.t, line, "replied", overdueDelay-heartbeatWait, overdueDelay+overdueInterval+2*tickInterval)
				wantDuration(tc.t, line, "leaseLeft", 100*time.Millisecond, 3*time.Second)
				if line["missed"] == "0" {
					tc.t.Errorf("got no missed heartbeat in %v, want one", line)
				}
				wantOverdueRuns(tc.t, set, 1)
				n.hosts.SetPartitioned("h0", !test.recovers)
				time.Sleep(5 * time.Second)
				again, lost := log.lines(confirmedMessage), log.lines("run lost")
				if test.recovers != (len(again) == 1) || test.recovers != (len(lost) == 0) {
					tc.t.Errorf("got the lines %v and %v, want one of a run confirmed again: %v, else one of a lost run", again, lost, test.recovers)
				}
				if got := log.lines(overdueMessage); len(got) != 1 {
					tc.t.Errorf("got %d lines %v, want 1", len(got), got)
				}
				wantOverdueRuns(tc.t, set, 0)
				if len(lost) == 1 {
					// The host lives, and its record shows that.
					wantDuration(tc.t, lost[0], "recordAge", 0, 2*time.Second)
					wantDuration(tc.t, lost[0], "replied", 3*time.Second, 6*time.Second)
				}
				if test.recovers && len(again) == 1 {
					wantValues(tc.t, again[0], map[string]string{"run": "1", "host": "h0", "state": "started", "since": "host"})
					wantDuration(tc.t, again[0], "after", overdueDelay, 5*time.Second)
				}
			})
		})
	}
}

// TestInheritedServingRunIsLogged guards against a new owner that says nothing while it waits for
// the leases of a run on a host that it can't reach.
func TestInheritedServingRunIsLogged(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		log := tc.useServingTasks()
		tc.kill(tc.startServing(1))
		time.Sleep(500 * time.Millisecond)
		tc.runners["h0"].SetUnresponsive(true)
		tc.claim("b")
		line := awaitLines(tc.t, log, overdueMessage, 1, 4*time.Second)[0]
		wantValues(tc.t, line, map[string]string{"node": "b", "run": "1", "state": "not reported to this owner", "since": "claim", "listed": "true"})
		wantDuration(tc.t, line, "leaseLeft", 5*time.Second, 8*time.Second)
		time.Sleep(12 * time.Second)
	})
}

// TestServingRunNotSentIsLogged guards against a serving task that counts as active while its start
// waits for the store.
func TestServingRunNotSentIsLogged(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(1)
		tc.store.SetFailure("a", fake.Rejecting)
		tc.lose(n, 0)
		line := awaitLines(tc.t, log, overdueMessage, 1, 4*time.Second)[0]
		wantValues(tc.t, line, map[string]string{"run": "2", "state": "start not sent", "since": "assigned", "leaseLeft": "0s", "missed": "0"})
	})
}

// TestServingRunOnNoHostIsLogged guards against a serving task that counts as active forever since
// the cell has lost its run.
func TestServingRunOnNoHostIsLogged(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(1)
		n.cell.mu.Lock()
		clear(n.cell.hosts["h0"].runs)
		n.cell.mu.Unlock()
		line := awaitLines(tc.t, log, overdueMessage, 1, 4*time.Second)[0]
		wantValues(tc.t, line, map[string]string{"run": "1", "host": "h0", "state": stateUnknown, "since": "assigned", "leaseLeft": "unknown"})
		wantDuration(tc.t, line, "replied", 0, heartbeatWait+tickInterval)
	})
}

// TestOverdueLinesAreBounded guards against a burst of lines when a host with many serving tasks
// goes silent, and against runs that never get one.
func TestOverdueLinesAreBounded(t *testing.T) {
	t.Parallel()
	const count = 3 * maxOverdueLines
	runCluster(t, 1, func(tc *testCluster) {
		log, set := tc.useServingTasks(), tc.useMetrics()
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := servingPlan(count, 40)
		plan.Steps[0].MaxPerHost = 0
		if err := tc.submit(n, "job", plan); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if got := log.lines(overdueMessage); len(got) != 0 {
			tc.t.Errorf("got the lines %v before the host went silent, want none", got)
		}
		n.hosts.SetPartitioned("h0", true)
		lines := awaitLines(tc.t, log, overdueMessage, count, 5*time.Second)
		wantOverdueRuns(tc.t, set, count)
		ticks, seen := make(map[string]int), make(map[string]bool)
		for _, line := range lines {
			ticks[line["time"]]++
			seen[line["index"]] = true
		}
		if len(seen) != count || len(ticks) != count/maxOverdueLines {
			tc.t.Errorf("got lines on %d tasks in %d looks, want %d in %d", len(seen), len(ticks), count, count/maxOverdueLines)
		}
		time.Sleep(5 * time.Second)
	})
}

// TestConfirmedRunsAreNotLogged guards against lines on runs whose hosts answer 0.2 s late, on
// runs of a job that was cancelled, and on tasks that don't serve.
func TestConfirmedRunsAreNotLogged(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		log, set := tc.useServingTasks(), tc.useMetrics()
		n := tc.startServing(1)
		n.hosts.SetLatency(func(string, any) fake.Latency {
			return fake.Latency{Request: 100 * time.Millisecond, Reply: 100 * time.Millisecond}
		})
		filling := servingPlan(1, 100)
		filling.Steps[0].Fills = true
		if err := tc.submit(n, "filling", filling); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "job"}); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if got := log.lines(overdueMessage); len(got) != 0 {
			tc.t.Errorf("got the lines %v, want none", got)
		}
		wantOverdueRuns(tc.t, set, 0)
	})
}

// BenchmarkLogOverdue measures what a look for overdue runs costs an owner of 3,000 serving runs,
// none of which is overdue.
func BenchmarkLogOverdue(b *testing.B) {
	c := largeCell(b, 100, 100)
	host := 0
	for e := range c.open {
		for step := range e.job.Plan.Steps {
			for index := range e.job.Plan.Steps[step].Count {
				id := tasks.ID{Job: e.job.Key.ID, Step: step, Index: index}
				h := c.hosts[fmt.Sprintf("h%d", host%270)]
				host++
				e.job.Assign(id, h.id, 1, time.Now())
				r := &run{entry: e, id: id, number: 1, state: runSettled, provenAt: c.options.Clock() + time.Hour}
				h.runs[r.key()] = r
			}
		}
	}
	for b.Loop() {
		c.overdueAt = 0
		c.logOverdue()
	}
}

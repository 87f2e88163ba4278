package sched

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/tasks"
)

// waitMessage is the message of the line on a task that waits for a host.
const waitMessage = "serving task waits for a host"

// wantWait checks the line on the only task that waited for a host, and its counter.
func wantWait(t *testing.T, log *logBuffer, set *metrics.Set, want map[string]string) {
	t.Helper()
	lines := log.lines(waitMessage)
	if len(lines) != 1 {
		t.Fatalf("got %d lines %v, want 1", len(lines), lines)
	}
	for key, value := range want {
		if got := lines[0][key]; got != value {
			t.Errorf("got %s=%q, want %q in %v", key, got, value, lines[0])
		}
	}
	var out bytes.Buffer
	set.WritePrometheus(&out)
	if want := `rattanpath_cell_serving_waits_total{why="` + obstacleLabel(lines[0]["why"]) + `"} 1`; !strings.Contains(out.String(), want) {
		t.Errorf("got no metric %s, want it", want)
	}
}

// TestWaitForHostIsLogged guards against a serving task without a host of which nothing tells what
// keeps it off the hosts that there are.
func TestWaitForHostIsLogged(t *testing.T) {
	tests := []struct {
		name string
		// occupy keeps the task off the host that is left besides that of its sibling.
		occupy func(tc *testCluster, n *node, host string)
		want   map[string]string
	}{
		{"siblings", func(tc *testCluster, _ *node, host string) {
			tc.runners[host].Drain()
		}, map[string]string{"why": "each host with room has as many tasks of the step as it may", "usable": "1", "siblings": "1", "draining": "1"}},
		{"cordoned", func(tc *testCluster, n *node, host string) {
			n.cordon(tc, host, time.Minute)
		}, map[string]string{"usable": "1", "siblings": "1", "cordoned": "1"}},
		{"silent", func(tc *testCluster, n *node, host string) {
			if err := tc.submit(n, "batch", simplePlan(1, 7500)); err != nil {
				tc.t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			tc.runners[host].SetUnresponsive(true)
			time.Sleep(2 * time.Second)
		}, map[string]string{"usable": "1", "silent": "1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 3, func(tc *testCluster) {
				log := tc.useServingTasks()
				set := metrics.NewSet()
				tc.configure = func(o *Options) { o.Metrics = NewMetrics(set) }
				n := tc.startServing(2)
				third := tc.idleHost(n, 2)
				test.occupy(tc, n, third)
				time.Sleep(500 * time.Millisecond)
				lost := tc.lose(n, 0)
				time.Sleep(5 * time.Second)
				test.want["lastHost"], test.want["hosts"], test.want["retired"], test.want["feasible"] = lost, "3", "1", "0"
				wantWait(tc.t, log, set, test.want)
			})
		})
	}
}

// TestWaitLinesAreBounded guards against a burst of lines when many serving tasks lose their
// hosts, and against tasks that never get a line because of it.
func TestWaitLinesAreBounded(t *testing.T) {
	const count = 3 * maxWaitLines
	runCluster(t, 1, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := servingPlan(count, 100)
		plan.Steps[0].MaxPerHost = 0
		if err := tc.submit(n, "job", plan); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		tc.lose(n, 0)
		time.Sleep(4 * time.Second)
		ticks := make(map[string]int)
		seen := make(map[string]bool)
		for _, line := range log.lines(waitMessage) {
			ticks[line["time"]]++
			seen[line["index"]] = true
			if want := waitsForUsableHost; line["why"] != want {
				tc.t.Errorf("got why=%q, want %q", line["why"], want)
			}
		}
		if len(seen) != count || len(ticks) != count/maxWaitLines {
			tc.t.Errorf("got lines on %d tasks in %d ticks, want %d in %d", len(seen), len(ticks), count, count/maxWaitLines)
		}
		for at, lines := range ticks {
			if lines > maxWaitLines {
				tc.t.Errorf("got %d lines at %s, want at most %d", lines, at, maxWaitLines)
			}
		}
	})
}

// TestWaitLabelsAreFew guards against metrics with as many label values as there are labels of
// hosts or sizes of gangs.
func TestWaitLabelsAreFew(t *testing.T) {
	labels := make(map[string]bool)
	for _, why := range []string{waitsForLabel + "x", waitsForLabel + "y", waitsForGang + " 3 members of the gang", waitsForGang + " 4 members of the gang", waitsForCap} {
		labels[obstacleLabel(why)] = true
	}
	if got := len(labels); got != 3 {
		t.Errorf("got the labels %v, want 3", labels)
	}
}

// TestShortWaitIsNotLogged guards against lines on tasks that get a host at once, and on tasks
// that don't serve.
func TestShortWaitIsNotLogged(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(1)
		if err := tc.submit(n, "large", tasks.Plan{Spec: "spec", Steps: []tasks.Step{{Count: 1, Room: tasks.Resources{CPU: 2 * hostCPU}}}}); err != nil {
			tc.t.Fatal(err)
		}
		tc.lose(n, 0)
		time.Sleep(4 * time.Second)
		if got := log.lines(waitMessage); len(got) != 0 {
			tc.t.Errorf("got the lines %v, want none", got)
		}
	})
}

package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// startLog counts the runs that hosts start in a period.
type startLog struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *startLog) add(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[host]++
}

// take returns the counts and resets them.
func (l *startLog) take() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	l.counts = make(map[string]int)
	return counts
}

// slowBy makes the runs that start on a host take a factor longer, and logs the starts.
func (tc *testCluster) slowBy(factor func(host string, taskID tasks.ID) float64) *startLog {
	log := &startLog{counts: make(map[string]int)}
	tc.profileOn = func(host string, taskID tasks.ID, profile fake.RunProfile) fake.RunProfile {
		log.add(host)
		profile.Duration = time.Duration(factor(host, taskID) * float64(profile.Duration))
		return profile
	}
	return log
}

// submitFor submits a job of one step with count tasks of a core each every 200 ms.
func (tc *testCluster) submitFor(n *node, prefix string, period time.Duration, count int) {
	tc.t.Helper()
	for i := range int(period / (200 * time.Millisecond)) {
		if err := tc.submit(n, fmt.Sprintf("%s%d", prefix, i), simplePlan(count, 1000)); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(200*time.Millisecond - time.Duration(time.Since(tc.start)%(200*time.Millisecond)))
	}
}

// sumOf sums the starts on some hosts.
func sumOf(counts map[string]int, hosts ...string) int {
	sum := 0
	for _, host := range hosts {
		sum += counts[host]
	}
	return sum
}

// TestSlowRackIsUsedLast guards against placing tasks on a slow rack while others have room,
// and against leaving the rack idle after it has become normal.
func TestSlowRackIsUsedLast(t *testing.T) {
	runCluster(t, 6, func(tc *testCluster) {
		var slow sync.Map
		log := tc.slowBy(func(host string, _ tasks.ID) float64 {
			if _, is := slow.Load(host); is {
				return 5
			}
			return 1
		})
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.submitFor(n, "before", 4*time.Second, 8)
		if got := sumOf(log.take(), "h0", "h1"); got < 60 {
			t.Fatalf("got %d runs on h0 and h1 before they are slow, want 60 or more", got)
		}
		slow.Store("h0", true)
		slow.Store("h1", true)
		tc.submitFor(n, "learn", 5*time.Second, 8)
		log.take()
		tc.submitFor(n, "learnt", 5*time.Second, 8)
		// A probe of each host every 2 s.
		if counts := log.take(); sumOf(counts, "h0", "h1") > 6 {
			t.Errorf("got runs on %v in 5 s, want at most 6 on the slow hosts h0 and h1", counts)
		}
		n.wantSlowShown(t, "h0", "h1")
		slow.Clear()
		tc.submitFor(n, "return", 10*time.Second, 8)
		if got := n.slowHosts(); len(got) > 0 {
			t.Errorf("got slow hosts %v 10 s after the rack became normal, want none", got)
		}
		// Best fit prefers the hosts in use until all of them have become idle.
		time.Sleep(2 * time.Second)
		log.take()
		tc.submitFor(n, "after", 4*time.Second, 8)
		if counts := log.take(); sumOf(counts, "h0", "h1") < 60 {
			t.Errorf("got runs on %v in 4 s, want 60 or more on h0 and h1, which are normal again", counts)
		}
	})
}

// wantSlowShown checks which hosts operators are shown as slow.
func (n *node) wantSlowShown(t *testing.T, want ...string) {
	t.Helper()
	gauge := n.cell.options.Metrics.set.GetOrCreateGauge(`rattanpath_cell_slow_hosts{service="`+testService+`"}`, nil)
	if got := int(gauge.Get()); got != len(want) {
		t.Errorf("got a gauge of %d slow hosts, want %d", got, len(want))
	}
	pool, err := n.cell.Pool()
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, h := range pool.Hosts {
		if strings.HasPrefix(h.State, "usable; used last") {
			got = append(got, h.ID)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("got hosts %v shown as used last, want %v", got, want)
	}
}

// TestUnjudgedHostsAreUsedAsBefore guards against placing by speed where the settings don't call
// for it.
func TestUnjudgedHostsAreUsedAsBefore(t *testing.T) {
	runCluster(t, 6, func(tc *testCluster) {
		tc.configure = func(options *Options) { options.JudgeHosts = false }
		tc.slowBy(func(host string, _ tasks.ID) float64 {
			if host == "h0" || host == "h1" {
				return 5
			}
			return 1
		})
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.submitFor(n, "job", 10*time.Second, 8)
		if got := n.slowHosts(); len(got) > 0 {
			t.Errorf("got slow hosts %v, want none", got)
		}
	})
}

// TestTakeoverRelearnsSlowHosts checks that a new owner, which is told nothing, finds the slow
// hosts again.
func TestTakeoverRelearnsSlowHosts(t *testing.T) {
	runCluster(t, 6, func(tc *testCluster) {
		tc.slowBy(func(host string, _ tasks.ID) float64 {
			if host == "h1" {
				return 5
			}
			return 1
		})
		for _, name := range []string{"a", "b"} {
			n := tc.claim(name)
			time.Sleep(100 * time.Millisecond)
			tc.submitFor(n, name, 6*time.Second, 8)
			if got := n.slowHosts(); !slices.Equal(got, []string{"h1"}) {
				t.Errorf("got slow hosts %v at %s, want h1", got, name)
			}
		}
	})
}

// TestSlowServiceChangesNothing guards against taking a slow service, whose hosts are all
// slow, or a slow kind of tasks for slow hosts: placement must not change.
func TestSlowServiceChangesNothing(t *testing.T) {
	tests := []struct {
		name   string
		factor func(taskID tasks.ID) float64
	}{
		{"all hosts", func(tasks.ID) float64 { return 5 }},
		{"one kind of tasks", func(taskID tasks.ID) float64 {
			if strings.HasSuffix(taskID.Job, "3") {
				return 5
			}
			return 1
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 6, func(tc *testCluster) {
				var slow sync.Map
				tc.slowBy(func(_ string, taskID tasks.ID) float64 {
					if _, is := slow.Load("on"); is {
						return test.factor(taskID)
					}
					return 1
				})
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.submitFor(n, "before", 4*time.Second, 3)
				slow.Store("on", true)
				for i := range 50 {
					tc.submitFor(n, fmt.Sprint("slow", i, "-"), 200*time.Millisecond, 3)
					if got := n.slowHosts(); len(got) > 0 {
						t.Fatalf("got slow hosts %v, want none", got)
					}
				}
			})
		})
	}
}

// slowHosts returns the hosts that count as slow.
func (n *node) slowHosts() []string {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(n.cell.hosts)), func(id string) bool { return !n.cell.speeds.UseLast(id) })
}

// TestFarRunsDoNotMakeHostsSlow guards against taking runs far from their data, which are
// slower, for evidence against their hosts.
func TestFarRunsDoNotMakeHostsSlow(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		tc.slowBy(func(host string, taskID tasks.ID) float64 {
			if strings.HasPrefix(taskID.Job, "data") && host != "h0" {
				return 4
			}
			return 1
		})
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simplePlan(4, 1000)
		plan.Steps[0].DataRack = "r1-h0"
		for i := range 50 {
			if err := tc.submit(n, fmt.Sprint("data", i), plan); err != nil {
				t.Fatal(err)
			}
			tc.submitFor(n, fmt.Sprint("other", i, "-"), 200*time.Millisecond, 2)
			if got := n.slowHosts(); len(got) > 0 {
				t.Fatalf("got slow hosts %v, want none", got)
			}
		}
	})
}

// TestUnsteadyHostIsUsedLast guards against losing runs again and again on a host that goes
// down and up by turns.
func TestUnsteadyHostIsUsedLast(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		log := tc.slowBy(func(string, tasks.ID) float64 { return 1 })
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		flap := func(prefix string) {
			tc.submitFor(n, prefix+"up", 3*time.Second, 4)
			tc.runners["h0"].Crash()
			tc.submitFor(n, prefix+"down", time.Second, 4)
			tc.runners["h0"].Restart()
		}
		flap("one")
		if got := n.slowHosts(); len(got) > 0 {
			t.Errorf("got slow hosts %v after one restart, want none", got)
		}
		flap("two")
		tc.submitFor(n, "notice", 2*time.Second, 4)
		log.take()
		flap("three")
		if counts := log.take(); counts["h0"] > 0 {
			t.Errorf("got runs on %v, want none on the unsteady host h0", counts)
		}
		tc.submitFor(n, "after", 30*time.Second, 4)
		if got := n.slowHosts(); len(got) > 0 {
			t.Errorf("got slow hosts %v long after the last restart, want none", got)
		}
	})
}

// TestRunMovesFromSlowHost guards against leaving a long run with a checkpoint on a host that is
// found slow, and against stopping one that wouldn't end earlier elsewhere.
func TestRunMovesFromSlowHost(t *testing.T) {
	tests := []struct {
		name string
		step tasks.Step
		// duration is that of the long tasks on a normal host.
		duration time.Duration
		want     bool
	}{
		{"checkpoints", tasks.Step{Checkpoints: true}, 12 * time.Second, true},
		{"speculative", tasks.Step{Speculative: true}, 12 * time.Second, true},
		{"neither", tasks.Step{}, 12 * time.Second, false},
		{"little left", tasks.Step{Checkpoints: true}, 500 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 4, func(tc *testCluster) {
				tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
					if taskID.Job == "long" {
						return fake.RunProfile{Duration: test.duration}
					}
					return fake.RunProfile{Duration: 500 * time.Millisecond}
				}
				tc.slowBy(func(host string, _ tasks.ID) float64 {
					if host == "h1" {
						return 6
					}
					return 1
				})
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				plan := simplePlan(12, 1000)
				plan.Steps[0].Checkpoints, plan.Steps[0].Speculative = test.step.Checkpoints, test.step.Speculative
				plan.Steps[0].Estimate = test.duration
				if err := tc.submit(n, "long", plan); err != nil {
					t.Fatal(err)
				}
				// They share the hosts with the long tasks.
				tc.submitFor(n, "short", 10*time.Second, 3)
				if got := tc.checker.Ends(tasks.EndStopped) > 0; got != test.want {
					t.Errorf("got %d runs stopped, want some = %t", tc.checker.Ends(tasks.EndStopped), test.want)
				}
			})
		})
	}
}

// TestGainOfMove checks when a run is expected to end earlier elsewhere.
func TestGainOfMove(t *testing.T) {
	tests := []struct {
		name            string
		percent, saved  int
		here, elsewhere time.Duration
		want            time.Duration
	}{
		{"from the beginning", 10, 0, 500 * time.Millisecond, 100 * time.Millisecond, 34 * time.Second},
		{"from the checkpoint", 60, 50, 500 * time.Millisecond, 100 * time.Millisecond, 14 * time.Second},
		{"nearly done", 97, 0, 500 * time.Millisecond, 100 * time.Millisecond, 0},
		{"not much faster elsewhere", 10, 0, 150 * time.Millisecond, 100 * time.Millisecond, 0},
		{"short", 10, 10, 10 * time.Millisecond, 2 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := gainOfMove(test.percent, test.saved, test.here, test.elsewhere); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

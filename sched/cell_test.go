package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestJobCompletes submits a job of two dependent steps and waits for its end.
func TestJobCompletes(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simplePlan(4, 1000)
		plan.Steps = append(plan.Steps, tasks.Step{Count: 2, Room: tasks.Resources{CPU: 500}, After: []int{0}})
		if err := tc.submit(n, "job", plan); err != nil {
			t.Fatal(err)
		}
		time.Sleep(700 * time.Millisecond)
		tc.wantPhase(n, "job", tasks.Open)
		time.Sleep(time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
		if got := tc.checker.Starts(); got != 6 {
			t.Errorf("got %d runs, want 6", got)
		}
	})
}

// TestRepeatedSubmitWaitsForStore submits a job twice while the store doesn't
// reply. Neither call may succeed, since another node that takes over doesn't
// know the job.
func TestRepeatedSubmitWaitsForStore(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.store.SetFailure("a", fake.Unresponsive)
		// No host has the capacity for the task, so that nothing more is written
		// for the job.
		plan := simplePlan(1, 2*hostCPU)
		if err := tc.submit(n, "job", plan); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v, want %v", err, ErrUncertain)
		}
		if err := tc.submit(n, "job", plan); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v for the second submit, want %v", err, ErrUncertain)
		}
		if _, err := tc.status(n, "job"); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v for the status, want %v", err, ErrUncertain)
		}
	})
}

// TestEndIsPersistedBeforeAcknowledged finishes a run while its owner can't
// write, and lets another node take over. The end would be lost if the owner
// acknowledged it before persisting it.
func TestEndIsPersistedBeforeAcknowledged(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "long" {
				// The owner sends heartbeats as long as this run is active.
				return fake.RunProfile{Duration: 30 * time.Second}
			}
			return fake.RunProfile{Duration: 500 * time.Millisecond}
		}
		a := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"long", "job"} {
			if err := tc.submit(a, id, simplePlan(1, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		// The store must fail while no write is in flight, so that the write of the
		// end is the one that fails.
		time.Sleep(300 * time.Millisecond)
		tc.store.SetFailure("a", fake.Unresponsive)
		time.Sleep(3 * time.Second)
		b := tc.claim("b")
		time.Sleep(2 * time.Second)
		tc.wantPhase(b, "job", tasks.Completed)
		if got := tc.checker.Starts(); got != 2 {
			t.Errorf("got %d runs, want 2", got)
		}
	})
}

// TestRetiredHostGetsNoRuns retires a host that the pool still lists: its
// serving task must restart elsewhere at once.
func TestRetiredHostGetsNoRuns(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", servingPlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		taskID := tasks.ID{Job: "job"}
		host := n.hostOf("job", 0)
		tc.runners[host].Crash()
		tc.runners[host].SetUnresponsive(true)
		if err := n.cell.Retire([]RetiredHost{{ID: host}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if got := tc.checker.ActiveRuns(taskID); got != 1 {
			t.Errorf("got %d runs 200 ms after the host was retired, want 1", got)
		}
	})
}

// TestRetiredHostThatStaysIsReused retires a host whose machine stays in the
// pool because it has already had its maintenance: runs must be assigned to it
// again.
func TestRetiredHostThatStaysIsReused(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := n.cell.Retire([]RetiredHost{{ID: "h0"}}); err != nil {
			t.Fatal(err)
		}
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		tc.wantPhase(n, "job", tasks.Open)
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestCordonStopsServingTasksOneAtATime evicts all tasks of a serving step:
// each may be stopped only once the one before is ready elsewhere.
func TestCordonStopsServingTasksOneAtATime(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		const startup = 2 * time.Second
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true, StartupTime: startup} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", servingPlan(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		var busy []string
		n.cell.mu.Lock()
		for id, h := range n.cell.hosts {
			if len(h.runs) > 0 {
				busy = append(busy, id)
			}
		}
		n.cell.mu.Unlock()
		stopped := make(map[int]time.Duration)
		start := time.Now()
		for range 100 {
			if _, err := n.cell.Cordon(busy, time.Second, true); err != nil {
				t.Fatal(err)
			}
			if ends := tc.checker.Ends(tasks.EndStopped); stopped[ends] == 0 {
				stopped[ends] = time.Since(start)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if stopped[2] == 0 || stopped[2]-stopped[1] < startup {
			t.Errorf("got tasks stopped after %v and %v, want two, at least %v apart", stopped[1], stopped[2], startup)
		}
	})
}

// TestDrainWaitsForStoppingSibling drains a host just after a serving task was
// stopped on another. The task on the draining host must run until that stop is
// complete: if it ended first, both would be unavailable at once.
func TestDrainWaitsForStoppingSibling(t *testing.T) {
	for drainDelay := time.Duration(0); drainDelay < 300*time.Millisecond; drainDelay += 10 * time.Millisecond {
		runCluster(t, 5, func(tc *testCluster) {
			tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
				return fake.RunProfile{Serving: true, StartupTime: 2 * time.Second}
			}
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			if err := tc.submit(n, "job", servingPlan(3, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			cordoned, draining := n.hostOf("job", 0), n.hostOf("job", 1)
			tc.runners[cordoned].SetStopTime(400 * time.Millisecond)
			if _, err := n.cell.Cordon([]string{cordoned}, 10*time.Second, true); err != nil {
				t.Fatal(err)
			}
			time.Sleep(drainDelay)
			tc.runners[draining].Drain()
			n.cell.SetHosts(n.hosts.View())
			time.Sleep(5 * time.Second)
			if got := tc.checker.Ends(tasks.EndStopped); got != 2 {
				t.Errorf("got %d tasks stopped with a drain %v after a cordon, want 2", got, drainDelay)
			}
		})
	}
}

// TestTakeoverWithDeadHost crashes a host together with the owner: its tasks
// must restart elsewhere once all leases of the previous owner have expired.
func TestTakeoverWithDeadHost(t *testing.T) {
	tests := []struct {
		name     string
		released bool
		within   time.Duration
	}{
		{"released", true, 6 * time.Second},
		{"lost", false, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 3, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
				a := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := tc.submit(a, "job", servingPlan(2, 1000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				tc.runners["h0"].SetUnresponsive(true)
				tc.runners["h0"].Crash()
				if test.released {
					a.stop()
				} else {
					tc.store.SetFailure("a", fake.Unresponsive)
				}
				time.Sleep(time.Second)
				tc.claim("b")
				time.Sleep(test.within)
				for index := range 2 {
					if got := tc.checker.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
						t.Errorf("got %d runs of task %d after %v, want 1", got, index, test.within)
					}
				}
			})
		})
	}
}

// TestRepeatedTakeovers changes the owner every second while a host is dead:
// a new owner must continue the previous one's wait for the host's leases to
// expire, not restart it.
func TestRepeatedTakeovers(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", servingPlan(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		tc.runners["h0"].SetUnresponsive(true)
		tc.runners["h0"].Crash()
		for i := range 8 {
			n.stop()
			<-n.done
			n = tc.claim([]string{"b", "c"}[i%2])
			time.Sleep(time.Second)
		}
		for index := range 2 {
			if got := tc.checker.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
				t.Errorf("got %d runs of task %d after 8 s of takeovers, want 1", got, index)
			}
		}
	})
}

// TestUnresponsiveHostLosesTasks makes a host unresponsive: its serving tasks
// must restart elsewhere once its lease has expired. Heartbeats sent meanwhile must not
// extend the lease as the owner computes it.
func TestUnresponsiveHostLosesTasks(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", servingPlan(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		tc.runners["h0"].SetUnresponsive(true)
		time.Sleep(6 * time.Second)
		for index := range 2 {
			if got := tc.checker.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
				t.Errorf("got %d runs of task %d 6 s after the host stopped answering, want 1", got, index)
			}
		}
	})
}

// TestLateStartIsFenced delays a start command until after the task was started
// elsewhere: the late command must not start a second run.
func TestLateStartIsFenced(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 10 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, runner := range tc.runners {
			runner.DelayCommands(1, 3*time.Second)
		}
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestUnconfirmedStartIsRetriedElsewhere delays the start command at a host: the
// task must run on another host within half a second.
func TestUnconfirmedStartIsRetriedElsewhere(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 10 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.runners["h0"].DelayCommands(1, 6*time.Second)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if got := tc.checker.ActiveRuns(tasks.ID{Job: "job"}); got != 1 {
			t.Errorf("got %d runs 0.5 s after an unanswered start command, want 1", got)
		}
		time.Sleep(15 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestEndIsReportedDespiteLostHeartbeat loses a heartbeat while a run finishes:
// the end must be noticed through the second heartbeat.
func TestEndIsReportedDespiteLostHeartbeat(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 1500 * time.Millisecond} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		tc.runners["h0"].DropHeartbeats(1)
		time.Sleep(2 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestHeartbeatWaitIsShortWhileCallsAreLost loses one heartbeat after the
// other: from the second on, an end may go unnoticed for half a second at most.
func TestHeartbeatWaitIsShortWhileCallsAreLost(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "long" {
				// The owner sends heartbeats as long as this run is active.
				return fake.RunProfile{Duration: 30 * time.Second}
			}
			return fake.RunProfile{Duration: 300 * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "long", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		tc.runners["h0"].DropHeartbeats(1)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			id := fmt.Sprint("short", i)
			tc.runners["h0"].DropHeartbeats(1)
			if err := tc.submit(n, id, simplePlan(1, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300*time.Millisecond + 2*lossyHeartbeatWait + replyTimeout)
			tc.wantPhase(n, id, tasks.Completed)
		}
	})
}

// TestStopRacesWithLateStart delays a start command until about the time at
// which the owner, without a reply, sends a stop. The task must not restart
// elsewhere before the host has reported the end.
func TestStopRacesWithLateStart(t *testing.T) {
	t.Parallel()
	stopped := 0
	for delay := 240 * time.Millisecond; delay < 290*time.Millisecond; delay += 50 * time.Microsecond {
		runCluster(t, 1, func(tc *testCluster) {
			tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 5 * time.Second} }
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			tc.runners["h0"].DelayCommands(1, delay)
			if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			tc.wantPhase(n, "job", tasks.Completed)
			stopped += tc.checker.Ends(tasks.EndStopped)
		})
	}
	if stopped == 0 {
		t.Error("got no delayed start that was stopped, want at least one")
	}
}

// TestCancelStopsTasks cancels a running job and one that was never submitted:
// a late submit of the latter must start nothing.
func TestCancelStopsTasks(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(3, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "job"}); err != nil {
			t.Fatal(err)
		}
		if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "other"}); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("got %v, want %v", err, ErrUnknownJob)
		}
		if err := tc.submit(n, "other", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		tc.wantPhase(n, "job", tasks.Cancelled)
		if got := tc.checker.Ends(tasks.EndStopped); got != 3 {
			t.Errorf("got %d runs stopped, want 3", got)
		}
		if got := tc.checker.Starts(); got != 3 {
			t.Errorf("got %d starts, want 3", got)
		}
	})
}

// TestCriticalPathFollowsSlowestTask runs jobs of which one task takes three times the
// estimate: the expected length of a job must approach that of its slowest task.
func TestCriticalPathFollowsSlowestTask(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Index == 3 {
				return fake.RunProfile{Duration: 1500 * time.Millisecond}
			}
			return fake.RunProfile{Duration: 400 * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for i := range 5 {
			if err := tc.submit(n, fmt.Sprint("job", i), simplePlan(4, 500)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		n.cell.mu.Lock()
		defer n.cell.mu.Unlock()
		got, _ := n.cell.criticalPath(n.cell.byID["job0"])
		if want := 1500 * time.Millisecond; got < want*9/10 || got > want*11/10 {
			t.Errorf("got a critical path of %v, want about %v", got, want)
		}
	})
}

// TestHugeEstimateIsNotLate guards against a job that is late from the start, on some processors or on
// all, because a multiple of its estimate is no time.Duration any more.
func TestHugeEstimateIsNotLate(t *testing.T) {
	now := time.Now()
	for _, ratio := range []float64{0, maxStepRatio} {
		c := newCell(Options{})
		c.stepRatios[testQueue] = ratio
		plan := tasks.Plan{Steps: []tasks.Step{{Count: 1, Estimate: maxScaledTime / 16}}}
		policy := tasks.Policy{Stretch: 100, Target: maxScaledTime}
		e := &jobEntry{job: tasks.NewJob(tasks.Key{Queue: testQueue, ID: "job"}, plan, policy, now)}
		if urgency := c.urgency(e, now); urgency.Late || urgency.LatestStart.Before(now) {
			t.Errorf("got late %t and the latest start %v with ratio %v, want it in the future", urgency.Late, urgency.LatestStart, ratio)
		}
	}
}

package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestJobCompletes hands in a job of two steps and waits for its end.
func TestJobCompletes(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simplePlan(4, 1000)
		plan.Steps = append(plan.Steps, tasks.Step{Count: 2, Room: tasks.Room{CPU: 500}, After: []int{0}})
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

// TestRepeatedSubmitWaitsForStore hands a job in twice while the store is
// silent: neither may be answered as taken in, since another node that takes
// over doesn't know the job.
func TestRepeatedSubmitWaitsForStore(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.store.Fail("a", fake.Silent)
		// The tasks fit on no host, so that nothing more is written for them.
		plan := simplePlan(1, 2*hostCPU)
		if err := tc.submit(n, "job", plan); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v, want %v", err, ErrUncertain)
		}
		if err := tc.submit(n, "job", plan); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v for the repeat, want %v", err, ErrUncertain)
		}
		if _, err := tc.status(n, "job"); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v for its state, want %v", err, ErrUncertain)
		}
	})
}

// TestEndIsPersistedBeforeAcknowledged lets a task end while its owner
// can't write, and another node take over: the end must not be lost.
func TestEndIsPersistedBeforeAcknowledged(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.workFor = func(name tasks.Name, _ int) fake.Work {
			if name.Job == "long" {
				// It keeps the owner asking the host.
				return fake.Work{Time: 30 * time.Second}
			}
			return fake.Work{Time: 500 * time.Millisecond}
		}
		a := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"long", "job"} {
			if err := tc.submit(a, id, simplePlan(1, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		// No write may be under way when the store falls silent, so that the one
		// with the end is.
		time.Sleep(300 * time.Millisecond)
		tc.store.Fail("a", fake.Silent)
		time.Sleep(3 * time.Second)
		b := tc.claim("b")
		time.Sleep(2 * time.Second)
		tc.wantPhase(b, "job", tasks.Completed)
		if got := tc.checker.Starts(); got != 2 {
			t.Errorf("got %d runs, want 2", got)
		}
	})
}

// TestRetiredHostGetsNoRuns takes a host's machine away while the pool still
// lists it: its lasting task runs elsewhere at once and stays there.
func TestRetiredHostGetsNoRuns(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Lasting: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", servingPlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		name := tasks.Name{Job: "job"}
		host := n.hostOf("job", 0)
		tc.runners[host].Crash()
		tc.runners[host].Silence(true)
		if err := n.cell.Retire([]string{host}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if got := tc.checker.Active(name); got != 1 {
			t.Errorf("got %d runs 200 ms after the host was retired, want 1", got)
		}
	})
}

// TestRetiredHostThatStaysIsReused retires a host whose machine goes nowhere, since it
// has had its upkeep before: it gets runs again.
func TestRetiredHostThatStaysIsReused(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := n.cell.Retire([]string{"h0"}); err != nil {
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

// TestCordonStopsServingTasksOneAtATime vacates all hosts of a step: a task is
// stopped only when the one before is at work again.
func TestCordonStopsServingTasksOneAtATime(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		const startup = 2 * time.Second
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Lasting: true, Startup: startup} }
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
		begun := time.Now()
		for range 100 {
			if _, err := n.cell.Cordon(busy, time.Second, true); err != nil {
				t.Fatal(err)
			}
			if ends := tc.checker.Ends(tasks.EndStopped); stopped[ends] == 0 {
				stopped[ends] = time.Since(begun)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if stopped[2] == 0 || stopped[2]-stopped[1] < startup {
			t.Errorf("got the tasks stopped after %v and %v, want both, and %v between", stopped[1], stopped[2], startup)
		}
	})
}

// TestDrainWaitsForStoppingSibling lets a host drain just after a serving task was
// stopped on another: until that stop is over, the draining one's task goes on,
// since its end would count as the first to go.
func TestDrainWaitsForStoppingSibling(t *testing.T) {
	for wait := time.Duration(0); wait < 300*time.Millisecond; wait += 10 * time.Millisecond {
		runCluster(t, 5, func(tc *testCluster) {
			tc.workFor = func(name tasks.Name, _ int) fake.Work {
				return fake.Work{Lasting: true, Startup: 2 * time.Second}
			}
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			if err := tc.submit(n, "job", servingPlan(3, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			cordoned, leaving := n.hostOf("job", 0), n.hostOf("job", 1)
			tc.runners[cordoned].SlowStops(400 * time.Millisecond)
			if _, err := n.cell.Cordon([]string{cordoned}, 10*time.Second, true); err != nil {
				t.Fatal(err)
			}
			time.Sleep(wait)
			tc.runners[leaving].Drain()
			n.cell.SetHosts(n.hosts.View())
			time.Sleep(5 * time.Second)
			if got := tc.checker.Ends(tasks.EndStopped); got != 2 {
				t.Errorf("got %d tasks stopped with a drain %v after a cordon, want both", got, wait)
			}
		})
	}
}

// TestTakeoverWithDeadHost kills a host together with the owner: what ran there
// starts again once no lease of the old owner can hold.
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
				tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Lasting: true} }
				a := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := tc.submit(a, "job", servingPlan(2, 1000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				tc.runners["h0"].Silence(true)
				tc.runners["h0"].Crash()
				if test.released {
					a.stop()
				} else {
					tc.store.Fail("a", fake.Silent)
				}
				time.Sleep(time.Second)
				tc.claim("b")
				time.Sleep(test.within)
				for index := range 2 {
					if got := tc.checker.Active(tasks.Name{Job: "job", Index: index}); got != 1 {
						t.Errorf("got %d runs of task %d after %v, want 1", got, index, test.within)
					}
				}
			})
		})
	}
}

// TestRepeatedTakeovers lets the cell change hands every second while a host is dead:
// the wait for its leases goes on from owner to owner.
func TestRepeatedTakeovers(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Lasting: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", servingPlan(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		tc.runners["h0"].Silence(true)
		tc.runners["h0"].Crash()
		for i := range 8 {
			n.stop()
			<-n.done
			n = tc.claim([]string{"b", "c"}[i%2])
			time.Sleep(time.Second)
		}
		for index := range 2 {
			if got := tc.checker.Active(tasks.Name{Job: "job", Index: index}); got != 1 {
				t.Errorf("got %d runs of task %d after 8 s of changing owners, want 1", got, index)
			}
		}
	})
}

// TestSilentHostLosesTasks lets a host fall silent while its tasks serve: they start
// elsewhere once its lease has ended, however often it was asked meanwhile.
func TestSilentHostLosesTasks(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Lasting: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", servingPlan(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		tc.runners["h0"].Silence(true)
		time.Sleep(6 * time.Second)
		for index := range 2 {
			if got := tc.checker.Active(tasks.Name{Job: "job", Index: index}); got != 1 {
				t.Errorf("got %d runs of task %d 6 s after its host fell silent, want 1", got, index)
			}
		}
	})
}

// TestLateStartIsFenced lets a start be carried out long after the task was
// started elsewhere.
func TestLateStartIsFenced(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Time: 10 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, runner := range tc.runners {
			runner.DelayOrders(1, 3*time.Second)
		}
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestUnansweredStartIsRetriedElsewhere lets a host leave an order unanswered and carry
// it out late: the task runs elsewhere within half a second.
func TestUnansweredStartIsRetriedElsewhere(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Time: 10 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.runners["h0"].DelayOrders(1, 6*time.Second)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if got := tc.checker.Active(tasks.Name{Job: "job"}); got != 1 {
			t.Errorf("got %d runs 0.5 s after an order that was left unanswered, want 1", got)
		}
		time.Sleep(15 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestEndIsReportedDespiteLostHeartbeat lets a host leave a hold unanswered: an end that
// it lists meanwhile is seen soon.
func TestEndIsReportedDespiteLostHeartbeat(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Time: 1500 * time.Millisecond} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		tc.runners["h0"].DelayHolds(1)
		time.Sleep(2 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestHeartbeatWaitIsShortWhileCallsAreLost lets a host leave one hold after the other
// unanswered: from the second on, an end is hidden for half a second at most.
func TestHeartbeatWaitIsShortWhileCallsAreLost(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.workFor = func(name tasks.Name, _ int) fake.Work {
			if name.Job == "long" {
				// It keeps the owner asking the host.
				return fake.Work{Time: 30 * time.Second}
			}
			return fake.Work{Time: 300 * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "long", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		tc.runners["h0"].DelayHolds(1)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			id := fmt.Sprint("short", i)
			tc.runners["h0"].DelayHolds(1)
			if err := tc.submit(n, id, simplePlan(1, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300*time.Millisecond + 2*lossyHeartbeatWait + answerTimeout)
			tc.wantPhase(n, id, tasks.Completed)
		}
	})
}

// TestStopRacesWithLateStart lets a start be carried out just before the stop that
// its owner sends since it got no answer: the task may not run elsewhere before
// the host lists the end.
func TestStopRacesWithLateStart(t *testing.T) {
	met := 0
	for late := 240 * time.Millisecond; late < 290*time.Millisecond; late += 50 * time.Microsecond {
		runCluster(t, 1, func(tc *testCluster) {
			tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Time: 5 * time.Second} }
			n := tc.claim("a")
			time.Sleep(100 * time.Millisecond)
			tc.runners["h0"].DelayOrders(1, late)
			if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			tc.wantPhase(n, "job", tasks.Completed)
			met += tc.checker.Ends(tasks.EndStopped)
		})
	}
	if met == 0 {
		t.Error("got no late start that was stopped, want some")
	}
}

// TestCancelStopsTasks cancels a job whose tasks run and one that was never
// handed in; a late request for the latter starts nothing.
func TestCancelStopsTasks(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.workFor = func(tasks.Name, int) fake.Work { return fake.Work{Lasting: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(3, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if err := n.cell.Cancel(tc.ctx, tasks.Key{Queue: testQueue, ID: "job"}); err != nil {
			t.Fatal(err)
		}
		if err := n.cell.Cancel(tc.ctx, tasks.Key{Queue: testQueue, ID: "other"}); !errors.Is(err, ErrUnknownJob) {
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

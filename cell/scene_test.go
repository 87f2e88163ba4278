package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestJobRuns hands in a job of two steps and waits for its end.
func TestJobRuns(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simple(4, 1000)
		plan.Steps = append(plan.Steps, tasks.Step{Count: 2, Room: tasks.Resources{CPU: 500}, After: []int{0}})
		if err := w.submit(n, "job", plan); err != nil {
			t.Fatal(err)
		}
		time.Sleep(700 * time.Millisecond)
		w.wantPhase(n, "job", tasks.Open)
		time.Sleep(time.Second)
		w.wantPhase(n, "job", tasks.Completed)
		if got := w.judge.Starts(); got != 6 {
			t.Errorf("got %d runs, want 6", got)
		}
	})
}

// TestRepeatIsNotAnsweredBeforeItIsKept hands a job in twice while the store is
// silent: neither may be answered as taken in, since another node that takes
// over doesn't know the job.
func TestRepeatIsNotAnsweredBeforeItIsKept(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		w.store.SetFailure("a", fake.Unresponsive)
		// The tasks fit on no host, so that nothing more is written for them.
		plan := simple(1, 2*hostCPU)
		if err := w.submit(n, "job", plan); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v, want %v", err, ErrUncertain)
		}
		if err := w.submit(n, "job", plan); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v for the repeat, want %v", err, ErrUncertain)
		}
		if _, err := w.status(n, "job"); !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v for its state, want %v", err, ErrUncertain)
		}
	})
}

// TestEndsAreWrittenBeforeTheyAreAcknowledged lets a task end while its owner
// can't write, and another node take over: the end must not be lost.
func TestEndsAreWrittenBeforeTheyAreAcknowledged(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.work = func(name tasks.ID, _ int) fake.RunProfile {
			if name.Job == "long" {
				// It keeps the owner asking the host.
				return fake.RunProfile{Duration: 30 * time.Second}
			}
			return fake.RunProfile{Duration: 500 * time.Millisecond}
		}
		a := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"long", "job"} {
			if err := w.submit(a, id, simple(1, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		// No write may be under way when the store falls silent, so that the one
		// with the end is.
		time.Sleep(300 * time.Millisecond)
		w.store.SetFailure("a", fake.Unresponsive)
		time.Sleep(3 * time.Second)
		b := w.claim("b")
		time.Sleep(2 * time.Second)
		w.wantPhase(b, "job", tasks.Completed)
		if got := w.judge.Starts(); got != 2 {
			t.Errorf("got %d runs, want 2", got)
		}
	})
}

// TestRetiredHostGetsNoRuns takes a host's machine away while the pool still
// lists it: its lasting task runs elsewhere at once and stays there.
func TestRetiredHostGetsNoRuns(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "job", lasting(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		name := tasks.ID{Job: "job"}
		host := n.hostOf("job", 0)
		w.runners[host].Crash()
		w.runners[host].SetUnresponsive(true)
		if err := n.cell.Retire([]string{host}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if got := w.judge.ActiveRuns(name); got != 1 {
			t.Errorf("got %d runs 200 ms after the host was retired, want 1", got)
		}
	})
}

// TestHostThatStaysIsUsedAgain retires a host whose machine goes nowhere, since it
// has had its upkeep before: it gets runs again.
func TestHostThatStaysIsUsedAgain(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := n.cell.Retire([]string{"h0"}); err != nil {
			t.Fatal(err)
		}
		if err := w.submit(n, "job", simple(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		w.wantPhase(n, "job", tasks.Open)
		time.Sleep(5 * time.Second)
		w.wantPhase(n, "job", tasks.Completed)
	})
}

// TestServingTasksAreSparedOneAtATime vacates all hosts of a step: a task is
// stopped only when the one before is at work again.
func TestServingTasksAreSparedOneAtATime(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		const startup = 2 * time.Second
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true, StartupTime: startup} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "job", lasting(2, 1000)); err != nil {
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
			if ends := w.judge.Ends(tasks.EndStopped); stopped[ends] == 0 {
				stopped[ends] = time.Since(begun)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if stopped[2] == 0 || stopped[2]-stopped[1] < startup {
			t.Errorf("got the tasks stopped after %v and %v, want both, and %v between", stopped[1], stopped[2], startup)
		}
	})
}

// TestDrainingWaitsForASparedTask lets a host drain just after a serving task was
// stopped on another: until that stop is over, the draining one's task goes on,
// since its end would count as the first to go.
func TestDrainingWaitsForASparedTask(t *testing.T) {
	for wait := time.Duration(0); wait < 300*time.Millisecond; wait += 10 * time.Millisecond {
		inWorld(t, 5, func(w *world) {
			w.work = func(name tasks.ID, _ int) fake.RunProfile {
				return fake.RunProfile{Serving: true, StartupTime: 2 * time.Second}
			}
			n := w.claim("a")
			time.Sleep(100 * time.Millisecond)
			if err := w.submit(n, "job", lasting(3, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			cordoned, leaving := n.hostOf("job", 0), n.hostOf("job", 1)
			w.runners[cordoned].SetStopTime(400 * time.Millisecond)
			if _, err := n.cell.Cordon([]string{cordoned}, 10*time.Second, true); err != nil {
				t.Fatal(err)
			}
			time.Sleep(wait)
			w.runners[leaving].Drain()
			n.cell.SetHosts(n.hosts.View())
			time.Sleep(5 * time.Second)
			if got := w.judge.Ends(tasks.EndStopped); got != 2 {
				t.Errorf("got %d tasks stopped with a drain %v after a cordon, want both", got, wait)
			}
		})
	}
}

// TestTakeOverOfADeadHost kills a host together with the owner: what ran there
// starts again once no lease of the old owner can hold.
func TestTakeOverOfADeadHost(t *testing.T) {
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
			inWorld(t, 3, func(w *world) {
				w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
				a := w.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := w.submit(a, "job", lasting(2, 1000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				w.runners["h0"].SetUnresponsive(true)
				w.runners["h0"].Crash()
				if test.released {
					a.stop()
				} else {
					w.store.SetFailure("a", fake.Unresponsive)
				}
				time.Sleep(time.Second)
				w.claim("b")
				time.Sleep(test.within)
				for index := range 2 {
					if got := w.judge.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
						t.Errorf("got %d runs of task %d after %v, want 1", got, index, test.within)
					}
				}
			})
		})
	}
}

// TestOwnersInTurn lets the cell change hands every second while a host is dead:
// the wait for its leases goes on from owner to owner.
func TestOwnersInTurn(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "job", lasting(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		w.runners["h0"].SetUnresponsive(true)
		w.runners["h0"].Crash()
		for i := range 8 {
			n.stop()
			<-n.done
			n = w.claim([]string{"b", "c"}[i%2])
			time.Sleep(time.Second)
		}
		for index := range 2 {
			if got := w.judge.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
				t.Errorf("got %d runs of task %d after 8 s of changing owners, want 1", got, index)
			}
		}
	})
}

// TestSilentHost lets a host fall silent while its tasks serve: they start
// elsewhere once its lease has ended, however often it was asked meanwhile.
func TestSilentHost(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "job", lasting(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		w.runners["h0"].SetUnresponsive(true)
		time.Sleep(6 * time.Second)
		for index := range 2 {
			if got := w.judge.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
				t.Errorf("got %d runs of task %d 6 s after its host fell silent, want 1", got, index)
			}
		}
	})
}

// TestLateStartIsFenced lets a start be carried out long after the task was
// started elsewhere.
func TestLateStartIsFenced(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 10 * time.Second} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, runner := range w.runners {
			runner.DelayCommands(1, 3*time.Second)
		}
		if err := w.submit(n, "job", simple(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		w.wantPhase(n, "job", tasks.Completed)
	})
}

// TestUnansweredStartIsGivenUpSoon lets a host leave an order unanswered and carry
// it out late: the task runs elsewhere within half a second.
func TestUnansweredStartIsGivenUpSoon(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 10 * time.Second} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		w.runners["h0"].DelayCommands(1, 6*time.Second)
		if err := w.submit(n, "job", simple(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if got := w.judge.ActiveRuns(tasks.ID{Job: "job"}); got != 1 {
			t.Errorf("got %d runs 0.5 s after an order that was left unanswered, want 1", got)
		}
		time.Sleep(15 * time.Second)
		w.wantPhase(n, "job", tasks.Completed)
	})
}

// TestEndsAreSeenBesideALostHold lets a host leave a hold unanswered: an end that
// it lists meanwhile is seen soon.
func TestEndsAreSeenBesideALostHold(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 1500 * time.Millisecond} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "job", simple(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		w.runners["h0"].DropHeartbeats(1)
		time.Sleep(2 * time.Second)
		w.wantPhase(n, "job", tasks.Completed)
	})
}

// TestHoldsAreShortWhileCallsAreLost lets a host leave one hold after the other
// unanswered: from the second on, an end is hidden for half a second at most.
func TestHoldsAreShortWhileCallsAreLost(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.work = func(name tasks.ID, _ int) fake.RunProfile {
			if name.Job == "long" {
				// It keeps the owner asking the host.
				return fake.RunProfile{Duration: 30 * time.Second}
			}
			return fake.RunProfile{Duration: 300 * time.Millisecond}
		}
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "long", simple(1, 1000)); err != nil {
			t.Fatal(err)
		}
		w.runners["h0"].DropHeartbeats(1)
		time.Sleep(3 * time.Second)
		for i := range 5 {
			id := fmt.Sprint("short", i)
			w.runners["h0"].DropHeartbeats(1)
			if err := w.submit(n, id, simple(1, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300*time.Millisecond + 2*lossWait + doubtTime)
			w.wantPhase(n, id, tasks.Completed)
		}
	})
}

// TestStopMeetsLateStart lets a start be carried out just before the stop that
// its owner sends since it got no answer: the task may not run elsewhere before
// the host lists the end.
func TestStopMeetsLateStart(t *testing.T) {
	met := 0
	for late := 240 * time.Millisecond; late < 290*time.Millisecond; late += 50 * time.Microsecond {
		inWorld(t, 1, func(w *world) {
			w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 5 * time.Second} }
			n := w.claim("a")
			time.Sleep(100 * time.Millisecond)
			w.runners["h0"].DelayCommands(1, late)
			if err := w.submit(n, "job", simple(1, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			w.wantPhase(n, "job", tasks.Completed)
			met += w.judge.Ends(tasks.EndStopped)
		})
	}
	if met == 0 {
		t.Error("got no late start that was stopped, want some")
	}
}

// TestCancelStopsTasks cancels a job whose tasks run and one that was never
// handed in; a late request for the latter starts nothing.
func TestCancelStopsTasks(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "job", simple(3, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if err := n.cell.Cancel(w.ctx, tasks.Key{Queue: testQueue, ID: "job"}); err != nil {
			t.Fatal(err)
		}
		if err := n.cell.Cancel(w.ctx, tasks.Key{Queue: testQueue, ID: "other"}); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("got %v, want %v", err, ErrUnknownJob)
		}
		if err := w.submit(n, "other", simple(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		w.wantPhase(n, "job", tasks.Cancelled)
		if got := w.judge.Ends(tasks.EndStopped); got != 3 {
			t.Errorf("got %d runs stopped, want 3", got)
		}
		if got := w.judge.Starts(); got != 3 {
			t.Errorf("got %d starts, want 3", got)
		}
	})
}

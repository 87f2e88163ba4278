package cell

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// TestAdvisedQueue runs tasks on the few hosts that the advisor allows, with
// tickets that soon end.
func TestAdvisedQueue(t *testing.T) {
	inWorld(t, 8, func(w *world) {
		w.advise(&fake.Advisor{
			Allows:    func(host string) bool { return host == "h5" || host == "h6" },
			Latency:   40 * time.Millisecond,
			TicketTTL: 600 * time.Millisecond,
		})
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simple(40, 2000)
		plan.Steps = append(plan.Steps, tasks.Step{Count: 2, Room: tasks.Resources{CPU: 500}, After: []int{0}})
		if err := w.submit(n, "job", plan); err != nil {
			t.Fatal(err)
		}
		// 40 tasks of 0.5 s, 8 at a time, in 5 waves, and the second step.
		time.Sleep(5 * time.Second)
		w.wantPhase(n, "job", tasks.Completed)
		if got := w.judge.InvalidTickets(); got != 0 {
			t.Errorf("got %d starts without a good ticket, want none", got)
		}
		if got := w.advisor.Queries(); got > 14 {
			t.Errorf("got %d questions for tickets that hold 0.6 s, want at most 14 in 3 s", got)
		}
	})
}

// TestAdvisorAway keeps asking an advisor that doesn't answer, and runs the job
// once it does.
func TestAdvisorAway(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.advise(&fake.Advisor{Allows: func(string) bool { return true }, Latency: time.Hour, TicketTTL: time.Minute})
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := w.submit(n, "job", simple(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		w.wantPhase(n, "job", tasks.Open)
		w.advisor.SetLatency(time.Millisecond)
		time.Sleep(5 * time.Second)
		w.wantPhase(n, "job", tasks.Completed)
	})
}

// TestFillsArePaced puts tasks that fill beside one that serves: its tail may be
// over its target for a short while only, and the others still work.
func TestFillsArePaced(t *testing.T) {
	const target = 100 * time.Millisecond
	inWorld(t, 1, func(w *world) {
		w.work = func(name tasks.ID, _ int) fake.RunProfile {
			if name.Job == "fill" {
				return fake.RunProfile{Duration: time.Minute, Interference: 1}
			}
			return fake.RunProfile{Serving: true, TailLatency: func(disturbance float64) time.Duration {
				return 50*time.Millisecond + time.Duration(disturbance*float64(60*time.Millisecond))
			}}
		}
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		serve, fill := lasting(1, 1000), simple(3, 1000)
		serve.Steps[0].Target = target
		fill.Steps[0].Fills = true
		if err := w.submit(n, "serve", serve); err != nil {
			t.Fatal(err)
		}
		if err := w.submit(n, "fill", fill); err != nil {
			t.Fatal(err)
		}
		name := tasks.ID{Job: "serve"}
		time.Sleep(time.Second)
		if got := w.runners["h0"].TailLatency(name); got <= target {
			t.Fatalf("got a tail of %v at first, want one over %v to bring down", got, target)
		}
		time.Sleep(3 * time.Second)
		for range 60 {
			if got := w.runners["h0"].TailLatency(name); got > target {
				t.Fatalf("got a tail of %v after 4 s, want at most %v", got, target)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if got := w.runners["h0"].TailLatency(name); got <= 50*time.Millisecond {
			t.Errorf("got a tail of %v, want the tasks that fill to work", got)
		}
		// Another owner doesn't know how hard they work.
		w.claim("b")
		time.Sleep(4 * time.Second)
		if got := w.runners["h0"].TailLatency(name); got > target {
			t.Errorf("got a tail of %v 4 s after a take-over, want at most %v", got, target)
		}
	})
}

// TestStalledRunsMove lets every run on one host stand still: the tasks are done
// elsewhere, and the host gets no more of them while others have room.
func TestStalledRunsMove(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.stuck = "h0"
		n := w.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"one", "two"} {
			if err := w.submit(n, id, simple(12, 1000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			w.wantPhase(n, id, tasks.Completed)
		}
		if got := w.judge.Ends(tasks.EndStopped); got == 0 || got > 8 {
			t.Errorf("got %d runs stopped, want some of the first job, and at most the 8 that the host has room for", got)
		}
	})
}

// TestStalls checks when a run counts as standing still.
func TestStalls(t *testing.T) {
	tests := []struct {
		name string
		run  progress
		want bool
	}{
		{"moves", progress{percent: 40, worked: 400 * time.Millisecond, still: 200 * time.Millisecond, estimate: time.Second}, false},
		{"short and still", progress{percent: 40, worked: 400 * time.Millisecond, still: 1600 * time.Millisecond, estimate: time.Second}, true},
		{"long: a hundredth takes a second", progress{percent: 10, worked: 10 * time.Second, still: 5 * time.Second, estimate: time.Second}, false},
		{"long and still", progress{percent: 10, worked: 10 * time.Second, still: 9 * time.Second, estimate: time.Second}, true},
		{"guessed long, nothing shown yet", progress{still: 5 * time.Second, estimate: 100 * time.Second}, false},
		{"at work", progress{percent: 100, still: time.Hour, estimate: time.Second}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.run.stalls(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCompare checks both orders: each list is in the order of placement.
func TestCompare(t *testing.T) {
	now := time.Now()
	after := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	tests := []struct {
		name  string
		order Order
		jobs  []Urgency
	}{
		{"earliest first", EarliestFirst, []Urgency{
			{LatestStart: now},
			{LatestStart: after(1), Begun: true},
			{LatestStart: after(2), Accepted: after(-9)},
			{Late: true, LatestStart: after(-1)},
			{Priority: 1, LatestStart: after(-60)},
		}},
		{"newest first", NewestFirst, []Urgency{
			{Begun: true, LatestStart: after(1)},
			{Begun: true, LatestStart: after(2)},
			{Accepted: after(-1), LatestStart: after(3)},
			{Accepted: after(-2), LatestStart: now},
			{Late: true, Begun: true, LatestStart: after(-2)},
			{Late: true, Accepted: now, LatestStart: after(-1)},
			{Priority: 1, Accepted: now},
		}},
	}
	for _, test := range tests {
		for i := range test.jobs {
			for j := range test.jobs {
				if got, want := test.order.Compare(&test.jobs[i], &test.jobs[j]) < 0, i < j; got != want {
					t.Errorf("%s: got %v for %+v before %+v, want %v", test.name, got, test.jobs[i], test.jobs[j], want)
				}
			}
		}
	}
}

// TestCompareStartedFirst compares the order after an outage with a naive one on generated
// jobs, which sorts by priority and then takes those that have begun before the others.
func TestCompareStartedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SampledFrom([]Order{EarliestFirst, NewestFirst}).Draw(t, "order")
		jobs := rapid.SliceOf(urgencies()).Draw(t, "jobs")
		got := slices.Clone(jobs)
		slices.SortStableFunc(got, func(a, b Urgency) int { return order.CompareStartedFirst(&a, &b) })
		var want []Urgency
		for priority := range 2 {
			for _, begun := range []bool{true, false} {
				group := slices.DeleteFunc(slices.Clone(jobs), func(job Urgency) bool { return job.Priority != priority || job.Begun != begun })
				slices.SortStableFunc(group, func(a, b Urgency) int { return order.Compare(&a, &b) })
				want = append(want, group...)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// urgencies generates jobs of which many are equal in some respect.
func urgencies() *rapid.Generator[Urgency] {
	return rapid.Custom(func(t *rapid.T) Urgency {
		at := func(label string) time.Time { return time.Unix(rapid.Int64Range(0, 3).Draw(t, label), 0) }
		return Urgency{
			Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Begun: rapid.Bool().Draw(t, "begun"), Late: rapid.Bool().Draw(t, "late"),
			Accepted: at("accepted"), LatestStart: at("latest"),
		}
	})
}

// TestChooseOrderOfHugeBacklog checks that jobs whose CPU time is beyond all bounds count
// as more than a pool can work off.
func TestChooseOrderOfHugeBacklog(t *testing.T) {
	now := time.Now()
	var jobs []*Urgency
	for range 3 {
		jobs = append(jobs, &Urgency{Accepted: now, LatestStart: now.Add(time.Second), Backlog: math.MaxInt64})
	}
	for _, capacity := range []int64{1, 8000} {
		if got := ChooseOrder(jobs, capacity); got != NewestFirst {
			t.Errorf("got order %v for a capacity of %d, want %v", got, capacity, NewestFirst)
		}
	}
}

// TestCompareIsConsistent checks on generated jobs that both orders are strict weak
// orders, which sorting requires.
func TestCompareIsConsistent(t *testing.T) {
	job := urgencies()
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := job.Draw(t, "a"), job.Draw(t, "b"), job.Draw(t, "c")
		for _, order := range []Order{EarliestFirst, NewestFirst} {
			if got, want := order.Compare(&a, &b), -order.Compare(&b, &a); got != want {
				t.Fatalf("got %d, want %d, the reverse of the opposite comparison", got, want)
			}
			if order.Compare(&a, &b) <= 0 && order.Compare(&b, &c) <= 0 && order.Compare(&a, &c) > 0 {
				t.Fatalf("got %+v after %+v, want an order that is transitive over %+v", a, c, b)
			}
		}
	})
}

const (
	// simulatedStep is the time between two placements in a simulated load.
	simulatedStep = 10 * time.Millisecond
	// taskTime is the mean run time of a simulated task, taskCPU what it needs in
	// millicores and tasksPerStep the number of tasks in each of a job's two steps.
	taskTime     = 700 * time.Millisecond
	taskCPU      = 4500
	tasksPerStep = 8
	// stretch and target define the objective of a simulated job.
	stretch = 1.6
	target  = 600 * time.Millisecond
	// simulatedCPU is the capacity in millicores, which carries 35 jobs a second.
	simulatedCPU = 1_764_000
)

// simulatedJob is a job of two steps.
type simulatedJob struct {
	urgency Urgency
	// runs holds the run times of the tasks of each step, next the number of tasks of
	// the current step that were started, and ends the times at which these end.
	runs [2][]time.Duration
	step int
	next int
	ends []time.Time
	// objective is when the job must be done, and done when it was.
	objective time.Time
	done      time.Time
}

func newSimulatedJob(random *rand.Rand, at time.Time) *simulatedJob {
	job := &simulatedJob{}
	chain := time.Duration(0)
	for step := range job.runs {
		for range tasksPerStep {
			job.runs[step] = append(job.runs[step], time.Duration(float64(taskTime)*(0.5+random.Float64())))
		}
		chain += slices.Max(job.runs[step])
	}
	job.objective = at.Add(time.Duration(stretch*float64(chain)) + target)
	estimate := 2 * taskTime
	job.urgency = Urgency{Accepted: at, LatestStart: at.Add(time.Duration(stretch*float64(estimate)) + target - estimate)}
	return job
}

// load is a pool under a load that jobs bring with them.
type load struct {
	jobs []*simulatedJob
	used int64
	now  time.Time
}

// finishTasks frees the resources of the tasks that have ended.
func (l *load) finishTasks() {
	for _, job := range l.jobs {
		ended := 0
		for _, end := range job.ends {
			if !end.After(l.now) {
				ended++
			}
		}
		if ended < tasksPerStep || !job.done.IsZero() {
			continue
		}
		job.step, job.next, job.ends = job.step+1, 0, nil
		job.urgency.LatestStart = job.urgency.LatestStart.Add(taskTime)
		if job.step == len(job.runs) {
			job.done = l.now
		}
	}
}

// waiting returns the jobs with tasks to start.
func (l *load) waiting() []*simulatedJob {
	var waiting []*simulatedJob
	for _, job := range l.jobs {
		if !job.done.IsZero() || job.next == tasksPerStep {
			continue
		}
		job.urgency.Begun = job.step > 0 || job.next > 0
		job.urgency.Late = l.now.After(job.urgency.LatestStart)
		job.urgency.Backlog = int64(tasksPerStep-job.next) * taskCPU * taskTime.Milliseconds()
		waiting = append(waiting, job)
	}
	return waiting
}

// place starts the waiting tasks that fit, in the order that choose returns.
func (l *load) place(choose func([]*Urgency) Order) {
	waiting := l.waiting()
	var urgencies []*Urgency
	for _, job := range waiting {
		urgencies = append(urgencies, &job.urgency)
	}
	order := choose(urgencies)
	slices.SortStableFunc(waiting, func(a, b *simulatedJob) int { return order.Compare(&a.urgency, &b.urgency) })
	for _, job := range waiting {
		for job.next < tasksPerStep && l.used+taskCPU <= simulatedCPU {
			l.used += taskCPU
			job.ends = append(job.ends, l.now.Add(job.runs[job.step][job.next]))
			job.next++
		}
	}
}

// release frees the capacity of tasks that end within the next step.
func (l *load) release() {
	for _, job := range l.jobs {
		for _, end := range job.ends {
			if end.After(l.now) && !end.After(l.now.Add(simulatedStep)) {
				l.used -= taskCPU
			}
		}
	}
	l.now = l.now.Add(simulatedStep)
	l.finishTasks()
}

// inTime plays a load of jobs a second over some seconds, then half of what the pool
// carries, and returns the share of jobs that met their objective.
func inTime(jobsPerSecond float64, duration time.Duration, choose func([]*Urgency) Order) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	l := &load{now: start}
	for next := start; l.now.Before(start.Add(duration + 10*time.Second)); l.release() {
		for ; !next.After(l.now) && next.Before(start.Add(duration)); next = next.Add(time.Duration(random.ExpFloat64() / jobsPerSecond * float64(time.Second))) {
			l.jobs = append(l.jobs, newSimulatedJob(random, l.now))
		}
		l.place(choose)
	}
	met := 0
	for _, job := range l.jobs {
		if !job.done.IsZero() && !job.done.After(job.objective) {
			met++
		}
	}
	return float64(met) / float64(len(l.jobs))
}

// TestOrderUnderLoad plays loads below, at and far above what a pool carries. The
// chosen order must serve nearly as many jobs in time as the better of both orders,
// and far more than EarliestFirst, the naive order, under a lasting overload.
func TestOrderUnderLoad(t *testing.T) {
	// carried is the number of jobs a second that the pool carries.
	const carried = 35
	tests := []struct {
		name     string
		load     float64
		duration time.Duration
		// minGain is the least gain over the naive order.
		minGain float64
	}{
		{"light load", 0.8, 20 * time.Second, -0.01},
		{"brief peak", 2, time.Second, -0.05},
		{"peak of some seconds", 2, 5 * time.Second, 0.2},
		{"lasting overload", 1.5, 20 * time.Second, 0.2},
	}
	naive := func([]*Urgency) Order { return EarliestFirst }
	newest := func([]*Urgency) Order { return NewestFirst }
	chosen := func(jobs []*Urgency) Order { return ChooseOrder(jobs, simulatedCPU) }
	for _, test := range tests {
		gotNaive, gotNewest, got := inTime(test.load*carried, test.duration, naive), inTime(test.load*carried, test.duration, newest), inTime(test.load*carried, test.duration, chosen)
		t.Logf("%s: in time %.3f chosen, %.3f earliest first, %.3f newest first", test.name, got, gotNaive, gotNewest)
		if got < gotNaive+test.minGain {
			t.Errorf("%s: got a share of %.3f in time, want at least %.3f more than the naive order's %.3f", test.name, got, test.minGain, gotNaive)
		}
		if best := max(gotNaive, gotNewest); got < best-0.05 {
			t.Errorf("%s: got a share of %.3f in time, want nearly the %.3f of the better order", test.name, got, best)
		}
	}
}

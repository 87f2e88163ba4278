package speed

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property-based tests, and sets a number of cases in which
// hosts come close to each bound.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "150"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func generateKind(t *rapid.T) Kind {
	return Kind{
		Queue: rapid.SampledFrom([]string{"q", "r"}).Draw(t, "queue"),
		Job:   rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "job"),
		Step:  rapid.IntRange(0, 1).Draw(t, "step"),
		Far:   rapid.IntRange(0, 9).Draw(t, "far") == 0,
	}
}

// TestMatchesReference compares Estimator with the naive reference on generated observations.
// Half of the hosts are slow for part of the time, so that verdicts change.
func TestMatchesReference(t *testing.T) {
	changes := 0
	rapid.Check(t, func(t *rapid.T) {
		estimator, want := New(), newReference()
		hosts := []string{"h0", "h1", "h2", "h3", "h4"}
		now, slowFactor := start, 1.0
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			longest := rapid.SampledFrom([]int{400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 16_000}).Draw(t, "longest")
			now = now.Add(time.Duration(rapid.IntRange(1, longest*1_000_000).Draw(t, "wait")))
			host, kind := rapid.SampledFrom(hosts).Draw(t, "host"), generateKind(t)
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				estimator.Fail(host, kind, now)
				want.fail(host, kind, now)
			case 1:
				estimator.RecordOutage(host, now)
				want.outages[host] = append(want.outages[host], now)
			case 2:
				slowFactor = rapid.SampledFrom([]float64{1, 2, 5, 5}).Draw(t, "factor")
			case 3, 4:
				pool := hosts[:rapid.IntRange(2, 5).Draw(t, "pool")]
				got, expected := estimator.Assess(pool, now), want.assess(pool, now)
				changes += len(got)
				if !slices.Equal(got, expected) {
					t.Fatalf("got changes %v, want %v", got, expected)
				}
				compareHosts(t, estimator, want, pool)
			default:
				took := time.Duration(rapid.IntRange(100_000_000, 2_000_000_000).Draw(t, "took"))
				percent := 100 * took.Seconds()
				if host < "h2" {
					percent /= slowFactor
				}
				percent = math.Floor(percent)
				estimator.Observe(host, kind, percent, took, now)
				want.observe(host, kind, percent, took, now)
			}
		}
	})
	if changes < 50 {
		t.Errorf("got %d changes in all cases, want 50 or more: the cases test too little", changes)
	}
}

func compareHosts(t *rapid.T, estimator *Estimator, want *reference, pool []string) {
	for _, host := range pool {
		if got, want := estimator.UseLast(host), want.slow[host] || want.unsteady[host]; got != want {
			t.Fatalf("got use last = %t for %s, want %t", got, host, want)
		}
		if got, want := estimator.Slowness(host), want.slowness[host]; math.Abs(got-want) > 1e-6*want {
			t.Fatalf("got slowness %v of %s, want %v", got, host, want)
		}
	}
}

// load is a steady load of hosts: each runs tasks of some kinds, one after the other.
type load struct {
	estimator *Estimator
	hosts     []string
	kinds     []Kind
	now       time.Time
	// runTime returns the time of a run.
	runTime func(host string, kind Kind) time.Duration
	// idle hosts run nothing.
	idle map[string]bool
}

func newLoad(hosts, kinds int) *load {
	l := &load{estimator: New(), now: start, idle: make(map[string]bool), runTime: func(string, Kind) time.Duration { return time.Second }}
	for i := range hosts {
		l.hosts = append(l.hosts, fmt.Sprint("h", i))
	}
	for i := range kinds {
		l.kinds = append(l.kinds, Kind{Queue: "q", Job: fmt.Sprint("j", i)})
	}
	return l
}

// run runs the load for a period, with reports every 500 ms and an assessment after each.
func (l *load) run(period time.Duration) {
	const interval = 500 * time.Millisecond
	for range period / interval {
		l.now = l.now.Add(interval)
		for _, host := range l.hosts {
			for _, kind := range l.kinds {
				if !l.idle[host] {
					l.estimator.Observe(host, kind, 100*interval.Seconds()/l.runTime(host, kind).Seconds(), interval, l.now)
				}
			}
		}
		l.estimator.Assess(l.hosts, l.now)
	}
}

func (l *load) slow() []string {
	return slices.DeleteFunc(slices.Clone(l.hosts), func(host string) bool { return !l.estimator.UseLast(host) })
}

func (l *load) want(t *testing.T, when string, want ...string) {
	t.Helper()
	if got := l.slow(); !slices.Equal(got, want) {
		t.Errorf("got slow hosts %v %s, want %v", got, when, want)
	}
}

// slowHosts returns run times that are factor times as long on some hosts.
func slowHosts(factor int, slow ...string) func(string, Kind) time.Duration {
	return func(host string, _ Kind) time.Duration {
		if slices.Contains(slow, host) {
			return time.Duration(factor) * time.Second
		}
		return time.Second
	}
}

// TestSlowHostIsFoundAndReturns checks that a slow host is found within some seconds, stays
// slow while it isn't observed, and returns after one kind of runs was fast there.
func TestSlowHostIsFoundAndReturns(t *testing.T) {
	l := newLoad(4, 3)
	l.run(10 * time.Second)
	l.want(t, "before any is slow")
	l.runTime = slowHosts(5, "h1")
	l.run(4 * time.Second)
	l.want(t, "after 4 s", "h1")
	if got := l.estimator.Slowness("h1"); got < 3 || got > 6 {
		t.Errorf("got a slowness of %.1f, want about 5", got)
	}
	l.idle["h1"] = true
	l.run(6 * time.Second)
	l.want(t, "after 6 s without runs there", "h1")
	if !l.estimator.NeedsProbe("h1", l.now) {
		t.Error("got no need of a probe 6 s after the last run")
	}
	l.estimator.Probed("h1", l.now)
	if l.estimator.NeedsProbe("h1", l.now.Add(time.Second)) {
		t.Error("got need of another probe 1 s after one")
	}
	l.runTime = slowHosts(1)
	l.now = l.now.Add(time.Second)
	l.estimator.Observe("h1", l.kinds[0], 100, time.Second, l.now)
	l.run(500 * time.Millisecond)
	l.want(t, "after a normal run")
}

// TestUnobservedHostReturns guards against leaving a host last forever that gets no runs.
func TestUnobservedHostReturns(t *testing.T) {
	l := newLoad(4, 3)
	l.runTime = slowHosts(5, "h1")
	l.run(5 * time.Second)
	l.want(t, "after 5 s", "h1")
	l.idle["h1"] = true
	l.run(expiry)
	l.want(t, "after a long time without runs")
}

// TestIsNotSlow checks cases that say nothing of a host.
func TestIsNotSlow(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		kinds int
		// from is when the run times become those of runTime.
		from    time.Duration
		runTime func(host string, kind Kind) time.Duration
	}{
		{"all hosts slow", 4, 3, 5 * time.Second, slowHosts(5, "h0", "h1", "h2", "h3")},
		{"one kind slow on all hosts", 4, 3, 5 * time.Second, func(_ string, kind Kind) time.Duration {
			if kind.Job == "j0" {
				return 5 * time.Second
			}
			return time.Second
		}},
		{"one kind slow on one host", 4, 3, 5 * time.Second, func(host string, kind Kind) time.Duration {
			if kind.Job == "j0" && host == "h0" {
				return 5 * time.Second
			}
			return time.Second
		}},
		{"only one kind", 4, 1, 0, slowHosts(5, "h0")},
		{"only one host", 1, 3, 5 * time.Second, slowHosts(5, "h0")},
		{"a bit slower", 4, 3, 5 * time.Second, func(host string, _ Kind) time.Duration {
			if host == "h0" {
				return 1700 * time.Millisecond
			}
			return time.Second
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLoad(test.hosts, test.kinds)
			l.run(test.from)
			l.runTime = test.runTime
			for range 40 {
				l.run(500 * time.Millisecond)
				if got := l.slow(); len(got) > 0 {
					t.Fatalf("got slow hosts %v, want none", got)
				}
			}
		})
	}
}

// TestLoneKinds checks that jobs whose tasks are all on one host, as best fit often places them,
// show a slow host, but not one job alone.
func TestLoneKinds(t *testing.T) {
	for _, test := range []struct {
		jobs int
		want bool
	}{{1, false}, {2, true}} {
		l := newLoad(4, 0)
		for range 10 {
			for i := range test.jobs {
				for _, host := range l.hosts {
					percent := 50.0
					if host == "h0" {
						percent = 10
					}
					l.estimator.Observe(host, Kind{Queue: "q", Job: fmt.Sprint(host, "-", i)}, percent, 500*time.Millisecond, l.now)
				}
			}
			l.run(500 * time.Millisecond)
		}
		if got := len(l.slow()) > 0; got != test.want {
			t.Errorf("got slow hosts %v with %d jobs on each host, want some = %t", l.slow(), test.jobs, test.want)
		}
	}
}

// TestMixedRunTimes guards against calling hosts of equal speed slow because the jobs of a queue
// have run times that differ by several times: no more than 5% of the time.
func TestMixedRunTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := newLoad(20, 0)
	const perHost, steps = 8, 500
	type task struct {
		kind         Kind
		length, left float64
	}
	running := make(map[string][]task)
	slow := 0
	for job := range steps {
		for _, host := range l.hosts {
			for len(running[host]) < perHost {
				length := math.Exp(random.NormFloat64())
				kind := Kind{Queue: "q", Job: fmt.Sprint(job, host, len(running[host]))}
				running[host] = append(running[host], task{kind, length, length})
			}
			for i := range running[host] {
				one := &running[host][i]
				seconds := min(one.left, 0.5)
				one.left -= seconds
				l.estimator.Observe(host, one.kind, 100*seconds/one.length, time.Duration(seconds*float64(time.Second)), l.now)
			}
			running[host] = slices.DeleteFunc(running[host], func(one task) bool { return one.left <= 0 })
		}
		l.run(500 * time.Millisecond)
		slow += len(l.slow())
	}
	if limit := steps * len(l.hosts) / 20; slow > limit {
		t.Errorf("got %d of %d assessments that call a host slow, want at most %d", slow, steps*len(l.hosts), limit)
	}
}

// TestSlowPartIsBounded guards against putting aside most of a pool.
func TestSlowPartIsBounded(t *testing.T) {
	l := newLoad(5, 3)
	l.runTime = slowHosts(8, "h0", "h1", "h2")
	for range 40 {
		l.run(500 * time.Millisecond)
		if got := l.slow(); len(got) > 2 {
			t.Fatalf("got slow hosts %v, want at most 2 of 5", got)
		}
	}
}

// TestFarRunsSayNothing checks that runs far from their data don't make their host slow, while
// others there are normal.
func TestFarRunsSayNothing(t *testing.T) {
	l := newLoad(4, 2)
	for range 20 {
		for _, kind := range []Kind{{Queue: "q", Job: "f", Far: true}, {Queue: "q", Job: "g", Far: true}} {
			l.estimator.Observe("h0", kind, 10, 500*time.Millisecond, l.now)
		}
		l.run(500 * time.Millisecond)
		if got := l.slow(); len(got) > 0 {
			t.Fatalf("got slow hosts %v, want none", got)
		}
	}
}

// TestLongTasksShow checks that tasks of half a minute, which advance by little in a second,
// show a slow host.
func TestLongTasksShow(t *testing.T) {
	l := newLoad(4, 4)
	runTime := slowHosts(5, "h2")
	l.runTime = func(host string, kind Kind) time.Duration { return 30 * runTime(host, kind) }
	l.run(15 * time.Second)
	l.want(t, "after 15 s", "h2")
}

// TestFailingHostIsSlow checks that a host on which most runs of several kinds fail counts as
// slow, and that a kind whose runs fail everywhere says nothing.
func TestFailingHostIsSlow(t *testing.T) {
	for _, everywhere := range []bool{false, true} {
		l := newLoad(4, 3)
		for range 12 {
			for _, host := range l.hosts {
				for _, kind := range l.kinds {
					if everywhere || host == "h3" {
						l.estimator.Fail(host, kind, l.now)
					}
				}
			}
			l.run(500 * time.Millisecond)
		}
		if got, want := l.slow(), !everywhere; (len(got) == 1 && got[0] == "h3") != want {
			t.Errorf("got slow hosts %v with failures everywhere = %t, want h3 = %t", got, everywhere, want)
		}
	}
}

// TestUnsteadyHost checks that a host which goes down and up by turns is used last until it has
// stayed up, and that one with a single outage isn't.
func TestUnsteadyHost(t *testing.T) {
	l := newLoad(4, 3)
	l.estimator.RecordOutage("h1", l.now)
	l.run(3 * time.Second)
	l.want(t, "after one outage")
	l.estimator.RecordOutage("h1", l.now)
	l.run(time.Second)
	l.want(t, "after two outages", "h1")
	l.run(outageWindow)
	l.want(t, "after it has stayed up")
}

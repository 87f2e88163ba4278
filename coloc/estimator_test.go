package coloc

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// observation is an argument of Observe.
type observation struct {
	at     time.Duration
	victim string
	tail   float64
	loads  []Load
}

// referenceEstimator is the reference implementation of Estimator: it keeps all observations
// and weighs each by its age when it is asked.
type referenceEstimator struct {
	observations []observation
}

func (e *referenceEstimator) observe(o observation) {
	if !(o.tail > 0 && o.tail <= maxTail) {
		return
	}
	for _, load := range o.loads {
		if !(load.Activity >= 0 && load.Activity <= maxActivity) {
			return
		}
	}
	o.tail = math.Min(o.tail, cappedTail)
	e.observations = append(e.observations, o)
}

// kinds returns the kinds that were active beside an image, and when they last were.
func (e *referenceEstimator) kinds(victim string) ([]Kind, map[Kind]time.Duration) {
	var kinds []Kind
	seen := make(map[Kind]time.Duration)
	for _, o := range e.observations {
		for _, load := range o.loads {
			if o.victim != victim || load.Activity == 0 {
				continue
			}
			if _, known := seen[load.Kind]; !known {
				kinds = append(kinds, load.Kind)
			}
			seen[load.Kind] = o.at
		}
	}
	return kinds, seen
}

func (e *referenceEstimator) estimate(at time.Duration, pair Pair) Estimate {
	kinds, seen := e.kinds(pair.Victim)
	size := len(kinds) + 1
	// The columns after the matrix are the unit matrix and the right side.
	rows := make([][]float64, size)
	for i := range rows {
		rows[i] = make([]float64, 2*size+1)
		rows[i][i], rows[i][size+i] = ridge, 1
	}
	rows[0][0] = baseRidge
	row := func(o observation) []float64 {
		x := make([]float64, size)
		x[0] = 1
		for i, kind := range kinds {
			for _, load := range o.loads {
				if load.Kind == kind {
					x[i+1] += load.Activity
				}
			}
		}
		return x
	}
	weight := func(o observation) float64 { return math.Exp(-float64(at-o.at) / float64(timeConstant)) }
	total := 0.0
	for _, o := range e.observations {
		if o.victim != pair.Victim {
			continue
		}
		total += weight(o)
		x := row(o)
		for i := range size {
			for k := range size {
				rows[i][k] += weight(o) * x[i] * x[k]
			}
			rows[i][2*size] += weight(o) * x[i] * o.tail
		}
	}
	eliminate(rows)
	residual := 0.0
	for _, o := range e.observations {
		if o.victim != pair.Victim {
			continue
		}
		predicted := 0.0
		for i, x := range row(o) {
			predicted += x * rows[i][2*size]
		}
		residual += weight(o) * (o.tail - predicted) * (o.tail - predicted)
	}
	variance := (residual + priorWeight*priorNoise*priorNoise) / (total + priorWeight)
	for i, kind := range kinds {
		if kind == pair.Other {
			return Estimate{rows[i+1][2*size], math.Sqrt(variance * rows[i+1][size+i+1]), seen[kind]}
		}
	}
	return Estimate{}
}

// eliminate reduces the matrix in the first columns to the unit matrix.
func eliminate(rows [][]float64) {
	for i := range rows {
		pivot := rows[i][i]
		for k := range rows[i] {
			rows[i][k] /= pivot
		}
		for other := range rows {
			factor := rows[other][i]
			if other == i || factor == 0 {
				continue
			}
			for k := range rows[other] {
				rows[other][k] -= factor * rows[i][k]
			}
		}
	}
}

func drawObservation(t *rapid.T, at time.Duration) observation {
	o := observation{at: at, victim: rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "victim")}
	tails := rapid.OneOf(rapid.Float64Range(0, 6), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 1001}))
	activities := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 3), rapid.Float64Range(0, 3), rapid.SampledFrom([]float64{0, 0, 1, -1, math.NaN(), math.Inf(1), 1e300}))
	o.tail = tails.Draw(t, "tail")
	for range rapid.IntRange(0, 3).Draw(t, "loads") {
		kind := Kind{Image: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "image"), BestEffort: rapid.Bool().Draw(t, "bestEffort")}
		o.loads = append(o.loads, Load{kind, activities.Draw(t, "activity")})
	}
	return o
}

// TestEstimatesMatchReference compares the decayed sums with a regression over all
// observations, of which some have impossible figures.
func TestEstimatesMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator, reference := NewEstimator(), &referenceEstimator{}
		at := time.Duration(0)
		for range rapid.IntRange(0, 40).Draw(t, "observations") {
			at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			o := drawObservation(t, at)
			estimator.Observe(o.at, o.victim, o.tail, o.loads)
			reference.observe(o)
		}
		at += time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second
		estimates := estimator.Estimates(at)
		count := 0
		for _, victim := range []string{"s1", "s2"} {
			kinds, _ := reference.kinds(victim)
			count += len(kinds)
			for _, kind := range kinds {
				got, want := estimates[Pair{victim, kind}], reference.estimate(at, Pair{victim, kind})
				if !isClose(got.Slowdown, want.Slowdown) || !isClose(got.Error, want.Error) || got.Seen != want.Seen {
					t.Fatalf("got %+v for %v beside %s, want %+v", got, kind, victim, want)
				}
			}
		}
		if len(estimates) != count {
			t.Fatalf("got %d pairs, want %d", len(estimates), count)
		}
	})
}

func isClose(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+math.Abs(b)) }

// Kinds of the tests below.
var (
	loud  = Kind{Image: "loud", BestEffort: true}
	quiet = Kind{Image: "quiet", BestEffort: true}
)

// world draws observations of a serving image on hosts beside kinds that slow it down by
// different amounts, with some noise.
type world struct {
	random    *rand.Rand
	estimator *Estimator
	evidence  Evidence
	slowdowns map[Kind]float64
	at        time.Duration
}

func newWorld() *world {
	return &world{random: rand.New(rand.NewPCG(1, 2)), estimator: NewEstimator(), slowdowns: map[Kind]float64{loud: 0.6}}
}

// run observes some hosts every 700 ms, on which each kind runs at times.
func (w *world) run(d time.Duration, hosts int, kinds ...Kind) {
	for end := w.at + d; w.at < end; w.at += 700 * time.Millisecond {
		for range hosts {
			var loads []Load
			tail := 0.4 + 0.05*w.random.NormFloat64()
			for _, kind := range kinds {
				activity := float64(w.random.IntN(3)) / 2
				tail += activity * w.slowdowns[kind]
				loads = append(loads, Load{kind, activity})
			}
			w.estimator.Observe(w.at, "serve", max(0.01, tail), loads)
		}
		w.evidence = Judge(w.estimator.Estimates(w.at), w.evidence)
	}
}

func (w *world) verdict(kind Kind) Verdict { return w.evidence[Pair{"serve", kind}].Verdict }

// TestLearnsWhichKindDisturbs observes two kinds that often run together: only the one that
// slows the serving tasks down may be blamed.
func TestLearnsWhichKindDisturbs(t *testing.T) {
	w := newWorld()
	w.run(10*time.Second, 3, loud, quiet)
	if got := w.verdict(loud); got != Disturbs {
		t.Errorf("got verdict %v on the loud kind, want %v: %+v", got, Disturbs, w.evidence)
	}
	if got := w.verdict(quiet); got == Disturbs {
		t.Errorf("got verdict %v on the quiet kind, want another: %+v", got, w.evidence)
	}
	w.run(20*time.Second, 3, loud, quiet)
	if got := w.verdict(quiet); got != Harmless {
		t.Errorf("got verdict %v on the quiet kind after 30 s, want %v: %+v", got, Harmless, w.evidence)
	}
	finding := w.evidence[Pair{"serve", loud}]
	if got := finding.Estimate.Slowdown; got < 0.5 || got > 0.7 {
		t.Errorf("got a slow-down of %.2f, want about 0.6", got)
	}
}

// Guards against evidence that is kept although what it rests on has changed.
func TestFollowsChangedInterference(t *testing.T) {
	w := newWorld()
	w.run(60*time.Second, 3, loud, quiet)
	w.slowdowns = map[Kind]float64{quiet: 0.6}
	w.run(30*time.Second, 3, loud, quiet)
	if got := w.verdict(quiet); got != Disturbs {
		t.Errorf("got verdict %v 30 s after a kind began to disturb, want %v", got, Disturbs)
	}
	w.run(90*time.Second, 3, loud, quiet)
	if got := w.verdict(loud); got != Harmless {
		t.Errorf("got verdict %v 2 min after a kind ceased to disturb, want %v", got, Harmless)
	}
}

// Guards against evidence that is lost as soon as kinds are kept apart, or kept for ever.
func TestEvidenceOutlastsSeparation(t *testing.T) {
	w := newWorld()
	w.run(30*time.Second, 3, loud)
	w.run(30*time.Second, 3)
	if got := w.verdict(loud); got != Disturbs {
		t.Errorf("got verdict %v 30 s after both were last together, want %v", got, Disturbs)
	}
	w.run(5*time.Minute, 3)
	if got := w.verdict(loud); got != Unknown {
		t.Errorf("got verdict %v after 5 min, want %v", got, Unknown)
	}
}

// Guards against blame for a kind that is never absent, so that nothing shows what it does.
func TestConstantLoadProvesNothing(t *testing.T) {
	w := newWorld()
	for range 200 {
		w.at += 700 * time.Millisecond
		w.estimator.Observe(w.at, "serve", 1.2, []Load{{loud, 1}})
		w.evidence = Judge(w.estimator.Estimates(w.at), w.evidence)
		if got := w.verdict(loud); got == Disturbs {
			t.Fatalf("got verdict %v after %v, want another", got, w.at)
		}
	}
}

// Guards against memory that grows with the images that callers name.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator()
	for i := range 5000 {
		at := time.Duration(i) * 100 * time.Millisecond
		var loads []Load
		for k := range 4 {
			loads = append(loads, Load{Kind{Image: fmt.Sprint("image", (i*7+k*13)%977)}, 1})
		}
		e.Observe(at, fmt.Sprint("serve", i%101), 0.5, loads)
	}
	if got := len(e.victims); got > maxVictims {
		t.Errorf("got %d images of serving tasks, want at most %d", got, maxVictims)
	}
	if got, most := len(e.Estimates(time.Hour)), maxVictims*maxKinds; got > most {
		t.Errorf("got %d pairs, want at most %d", got, most)
	}
	// A new image is learned once the evidence of others has aged.
	w := &world{random: rand.New(rand.NewPCG(1, 2)), estimator: e, slowdowns: map[Kind]float64{loud: 0.6}, at: time.Hour}
	w.run(20*time.Second, 3, loud)
	if got := w.verdict(loud); got != Disturbs {
		t.Errorf("got verdict %v of a new image, want %v", got, Disturbs)
	}
}

// TestJudge checks the thresholds of verdicts, which are harder to reach than to keep.
func TestJudge(t *testing.T) {
	tests := []struct {
		slowdown, err float64
		before, want  Verdict
	}{
		{0.5, 0.1, Unknown, Disturbs},
		{0.5, 0.2, Unknown, Unknown},
		{0.5, 0.2, Disturbs, Disturbs},
		{0.5, 0.3, Disturbs, Unknown},
		{0.04, 0.01, Unknown, Harmless},
		{0.04, 0.01, Disturbs, Disturbs},
		{0.02, 0.01, Disturbs, Harmless},
		{0.02, 0.05, Unknown, Unknown},
		{0.02, 0.05, Harmless, Harmless},
		{0.02, 0.1, Harmless, Unknown},
		{-0.5, 0.01, Unknown, Harmless},
	}
	pair := Pair{"serve", loud}
	for _, test := range tests {
		before := Evidence{pair: Finding{Verdict: test.before}}
		if got := Judge(map[Pair]Estimate{pair: {Slowdown: test.slowdown, Error: test.err}}, before)[pair].Verdict; got != test.want {
			t.Errorf("got verdict %v on a slow-down of %.2f with error %.2f after %v, want %v", got, test.slowdown, test.err, test.before, test.want)
		}
	}
	if got := Judge(nil, Evidence{pair: Finding{Verdict: Disturbs}}); len(got) != 0 {
		t.Errorf("got evidence %v without estimates, want none", got)
	}
}

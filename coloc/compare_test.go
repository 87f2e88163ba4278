package coloc

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// learner is a way to learn interference.
type learner interface {
	observe(at time.Duration, tail float64, loads []Load)
	verdict(at time.Duration, kind Kind) Verdict
}

// regressionLearner is the way that is used.
type regressionLearner struct {
	estimator *Estimator
	evidence  Evidence
}

func (l *regressionLearner) observe(at time.Duration, tail float64, loads []Load) {
	l.estimator.Observe(at, "serve", tail, loads)
}

func (l *regressionLearner) verdict(at time.Duration, kind Kind) Verdict {
	l.evidence = Judge(l.estimator.Estimates(at), l.evidence)
	return l.evidence[Pair{"serve", kind}].Verdict
}

// classLearner learns one slow-down for all best-effort tasks.
type classLearner struct{ regressionLearner }

func (l *classLearner) observe(at time.Duration, tail float64, loads []Load) {
	class := Load{Kind: Kind{Image: "all", BestEffort: true}}
	for _, load := range loads {
		class.Activity += load.Activity
	}
	l.regressionLearner.observe(at, tail, []Load{class})
}

func (l *classLearner) verdict(at time.Duration, _ Kind) Verdict {
	return l.regressionLearner.verdict(at, Kind{Image: "all", BestEffort: true})
}

// pairLearner compares, for each pair by itself, the mean tail with and without the other.
type pairLearner struct {
	observations []observation
}

func (l *pairLearner) observe(at time.Duration, tail float64, loads []Load) {
	l.observations = append(l.observations, observation{at: at, tail: tail, loads: loads})
}

func (l *pairLearner) verdict(at time.Duration, kind Kind) Verdict {
	var weight, sum, squares [2]float64
	for _, o := range l.observations {
		with := 0
		for _, load := range o.loads {
			if load.Kind == kind && load.Activity > 0 {
				with = 1
			}
		}
		w := math.Exp(-float64(at-o.at) / float64(timeConstant))
		weight[with] += w
		sum[with] += w * o.tail
		squares[with] += w * o.tail * o.tail
	}
	if weight[0] < 1 || weight[1] < 1 {
		return Unknown
	}
	residual := priorWeight * priorNoise * priorNoise
	for i := range weight {
		residual += squares[i] - sum[i]*sum[i]/weight[i]
	}
	variance := residual / (weight[0] + weight[1] + priorWeight)
	estimate := Estimate{Slowdown: sum[1]/weight[1] - sum[0]/weight[0], Error: math.Sqrt(variance/weight[0] + variance/weight[1])}
	return judge(estimate, Unknown)
}

// scenario draws what runs on a host at a time.
type scenario struct {
	name string
	draw func(random *rand.Rand) (loud, quiet float64)
}

var scenarios = []scenario{
	{"independent", func(r *rand.Rand) (float64, float64) { return float64(r.IntN(2)), float64(r.IntN(2)) }},
	{"mostly together", func(r *rand.Rand) (float64, float64) {
		together := float64(r.IntN(2))
		if r.IntN(5) == 0 {
			return together, 1 - together
		}
		return together, together
	}},
	{"always there, throttled", func(r *rand.Rand) (float64, float64) { return 0.1 + 0.9*r.Float64(), 0.1 + 0.9*r.Float64() }},
}

// play returns when a learner first knew that loud disturbs, -1 for never, and for which part
// of a minute it blamed quiet.
func play(l learner, s scenario, seed uint64) (knew time.Duration, blamed float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	knew = -1
	steps, wrong := 0, 0
	for at := time.Duration(0); at < time.Minute; at += 700 * time.Millisecond {
		for range 3 {
			loud, quiet := s.draw(random)
			tail := max(0.01, 0.4+0.3*loud+0.08*random.NormFloat64())
			l.observe(at, tail, []Load{{Kind{"loud", true}, loud}, {Kind{"quiet", true}, quiet}})
		}
		if l.verdict(at, Kind{"loud", true}) == Disturbs && knew < 0 {
			knew = at
		}
		steps++
		if l.verdict(at, Kind{"quiet", true}) == Disturbs {
			wrong++
		}
	}
	return knew, float64(wrong) / float64(steps)
}

// TestRegressionBlamesNoOthers compares ways to learn, see docs/design/interference.md. It
// guards against a change after which the one that is used blames harmless images, or is late.
func TestRegressionBlamesNoOthers(t *testing.T) {
	ways := map[string]func() learner{
		"regression": func() learner { return &regressionLearner{estimator: NewEstimator()} },
		"class":      func() learner { return &classLearner{regressionLearner{estimator: NewEstimator()}} },
		"pair":       func() learner { return &pairLearner{} },
	}
	for _, s := range scenarios {
		for _, name := range []string{"regression", "class", "pair"} {
			var latest time.Duration
			var blamed float64
			never := 0
			const plays = 20
			for seed := range uint64(plays) {
				knew, wrong := play(ways[name](), s, seed)
				latest, blamed = max(latest, knew), blamed+wrong/plays
				if knew < 0 {
					never++
				}
			}
			t.Logf("%s, %s: knows at the latest after %v, never in %d of %d, blames quiet %.0f%% of the time", s.name, name, latest, never, plays, 100*blamed)
			if name == "regression" && (never > 0 || latest > 15*time.Second || blamed > 0.01) {
				t.Errorf("%s: got %v, never %d, blamed %.2f, want at most 15 s, none, 0.01", s.name, latest, never, blamed)
			}
		}
	}
}

package coloc

// Verdict is the conclusion from the estimate of a pair.
type Verdict int

// The verdicts. Only pairs with one of the last two are part of Evidence.
const (
	// Unknown means that there is too little evidence.
	Unknown Verdict = iota
	// Disturbs means that tasks of the kind slow the serving tasks down.
	Disturbs
	// Harmless means that they don't.
	Harmless
)

// String returns the verdict as it is written to logs.
func (v Verdict) String() string {
	names := []string{"unknown", "disturbs", "harmless"}
	if v < 0 || int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Thresholds of the verdicts: slow-downs as fractions of the target, and confidence as a
// multiple of the standard error. A verdict is kept until its evidence is clearly weaker
// than what it took, so that it doesn't change with each report.
const (
	minDisturbance      = 0.05
	keepDisturbance     = 0.03
	minConfidence       = 3.0
	keepConfidence      = 2.0
	maxHarmless         = 0.08
	keepHarmless        = 0.15
	harmlessErrorFactor = 2.0
)

// Finding is the verdict on a pair and what it rests on.
type Finding struct {
	Verdict  Verdict
	Estimate Estimate
}

// Confidence returns how many standard errors the slow-down is from none.
func (f Finding) Confidence() float64 {
	if f.Estimate.Error <= 0 {
		return 0
	}
	return f.Estimate.Slowdown / f.Estimate.Error
}

// Evidence holds the pairs that are known to disturb or not to disturb. It must not be modified,
// since requirements of tasks refer to it.
type Evidence map[Pair]Finding

// Judge returns the evidence that follows from estimates and the evidence before.
func Judge(estimates map[Pair]Estimate, before Evidence) Evidence {
	evidence := make(Evidence)
	for pair, estimate := range estimates {
		if verdict := judge(estimate, before[pair].Verdict); verdict != Unknown {
			evidence[pair] = Finding{verdict, estimate}
		}
	}
	return evidence
}

func judge(estimate Estimate, before Verdict) Verdict {
	disturbance, confidence, harmless := minDisturbance, minConfidence, maxHarmless
	switch before {
	case Disturbs:
		disturbance, confidence = keepDisturbance, keepConfidence
	case Harmless:
		harmless = keepHarmless
	}
	switch {
	case estimate.Slowdown >= disturbance && estimate.Slowdown >= confidence*estimate.Error:
		return Disturbs
	case estimate.Slowdown+harmlessErrorFactor*estimate.Error <= harmless:
		return Harmless
	default:
		return Unknown
	}
}

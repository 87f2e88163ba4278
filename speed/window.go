package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// window holds what was observed in about a half-life.
type window struct {
	kinds  ledger[Kind]
	groups ledger[group]
	// lone means that a kind that runs on no other host is compared with other jobs of its
	// queue. In a long window these may have run at other times.
	lone bool
}

func newWindow(halfLife time.Duration, lone bool) *window {
	return &window{kinds: newLedger[Kind](halfLife), groups: newLedger[group](halfLife), lone: lone}
}

func (w *window) add(host string, kind Kind, o observation, now time.Time) {
	w.kinds.add(host, kind, o, now)
	w.groups.add(host, kind.group(), o, now)
}

// fail adds the mean time of a kind's runs without progress.
func (w *window) fail(host string, kind Kind, now time.Time) {
	all := w.kinds.total(kind, now)
	if all.percent < minPercent {
		all = w.groups.total(kind.group(), now)
	}
	if all.percent >= minPercent {
		w.add(host, kind, observation{seconds: fullPercent * all.seconds / all.percent}, now)
	}
}

func (w *window) forget(host string) {
	w.kinds.forget(host)
	w.groups.forget(host)
}

func (w *window) prune(now time.Time) {
	w.kinds.prune(now)
	w.groups.prune(now)
}

// comparison is the progress of a kind on a host and elsewhere.
type comparison struct {
	own    sums
	others sums
	// share is loneShare if the others are of other kinds, or else 1.
	share float64
}

// compare compares the progress of a kind on a host with that elsewhere. It returns false if
// there is too little of it.
func (w *window) compare(host string, kind Kind, now time.Time) (comparison, bool) {
	return w.compareSums(host, kind, w.kinds.own(host, kind, now), now)
}

// compareSums does the same, given the sums of the kind on the host.
func (w *window) compareSums(host string, kind Kind, own sums, now time.Time) (comparison, bool) {
	c := comparison{own: own, others: w.kinds.elsewhere(kind, own, now), share: 1}
	if w.lone && c.others.seconds < minReference {
		group := kind.group()
		c.others, c.share = w.groups.elsewhere(group, w.groups.own(host, group, now), now), loneShare
	}
	return c, c.others.seconds >= minReference && c.others.percent >= minPercent && c.expected() >= minPercent
}

// expected returns the progress that would have been made on the host at the speed elsewhere.
func (c comparison) expected() float64 { return c.own.seconds * c.others.percent / c.others.seconds }

// slowness returns how many times longer runs take on the host, at most maxSlowness.
func (c comparison) slowness() float64 {
	if c.own.percent <= c.expected()/maxSlowness {
		return maxSlowness
	}
	return c.expected() / c.own.percent
}

// pace returns the mean times of a percent on the host and elsewhere.
func (c comparison) pace() (here, elsewhere time.Duration, ok bool) {
	perPercent := c.others.seconds / c.others.percent * float64(time.Second)
	return time.Duration(c.slowness() * perPercent), time.Duration(perPercent), true
}

// evidence is what the runs of one kind of tasks show of a host.
type evidence struct {
	slowness float64
	weight   float64
	expected float64
}

// evidenceOf returns the evidence of a host, the fastest kind first.
func (w *window) evidenceOf(host string, now time.Time) []evidence {
	var found []evidence
	for kind, own := range w.kinds.byHost[host] {
		if c, ok := w.compareSums(host, kind, own.decayed(now, w.kinds.halfLife), now); ok {
			found = append(found, evidence{slowness: c.slowness(), weight: c.share * c.own.seconds, expected: c.expected()})
		}
	}
	slices.SortFunc(found, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(a.slowness, b.slowness), cmp.Compare(a.weight, b.weight), cmp.Compare(a.expected, b.expected))
	})
	return found
}

// poolEvidence is the evidence of the hosts of a pool.
type poolEvidence struct {
	byHost map[string][]evidence
	// spread is the median over the hosts of the standard deviation of the logarithm of the
	// slowness of their kinds. A host that turns slow hardly changes it.
	spread float64
}

func (w *window) evidenceOfPool(pool []string, now time.Time) poolEvidence {
	all := poolEvidence{byHost: make(map[string][]evidence, len(pool))}
	var spreads []float64
	for _, host := range pool {
		found := w.evidenceOf(host, now)
		all.byHost[host] = found
		if len(found) > 1 {
			spreads = append(spreads, spreadOf(found))
		}
	}
	if len(spreads) > 0 {
		slices.Sort(spreads)
		all.spread = spreads[len(spreads)/2]
	}
	return all
}

// spreadOf returns the standard deviation of the logarithm of the slowness of at least two
// kinds.
func spreadOf(found []evidence) float64 {
	sum, squares := 0.0, 0.0
	for _, one := range found {
		log := math.Log(one.slowness)
		sum += log
		squares += log * log
	}
	count := float64(len(found))
	return math.Sqrt(max(0, squares-sum*sum/count) / (count - 1))
}

// judgement is the evidence of a host taken together.
type judgement struct {
	slowness float64
	expected float64
	// kinds is the number of kinds, each of which counts the less the larger the spread is.
	kinds float64
}

// suffices reports whether there is enough evidence to call a host slow.
func (j judgement) suffices() bool { return j.expected >= minExpected && j.kinds >= minKinds }

// isKnown reports whether there is any evidence, which is enough to call a slow host normal.
func (j judgement) isKnown() bool { return j.expected >= minPercent }

// judge combines the evidence of a host.
func (p poolEvidence) judge(host string) judgement {
	found := p.byHost[host]
	j := judgement{slowness: 1, kinds: float64(len(found))}
	total := 0.0
	for _, one := range found {
		total += one.weight
		j.expected += one.expected
	}
	if len(found) > 0 {
		j.slowness = quantileOf(found, total)
	}
	// The evidence of slower hosts stands out more clearly from the spread.
	if clarity := evenSpread * math.Log2(j.slowness); p.spread > clarity {
		j.kinds *= (max(0, clarity) / p.spread) * (max(0, clarity) / p.spread)
	}
	return j
}

// quantileOf returns the slowness below which a quantile of the evidence lies. No kind weighs
// more than the others together.
func quantileOf(found []evidence, total float64) float64 {
	weightOf := func(one evidence) float64 { return min(one.weight, total-one.weight) }
	sum := 0.0
	for _, one := range found {
		sum += weightOf(one)
	}
	passed := 0.0
	for _, one := range found {
		// The tolerance makes the choice among equal weights independent of rounding.
		if passed += weightOf(one); passed >= sum*(quantile-1e-9) {
			return one.slowness
		}
	}
	return found[len(found)-1].slowness
}

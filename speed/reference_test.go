package speed

import (
	"math"
	"slices"
	"sort"
	"time"
)

// entry is one observation in the log of a reference.
type entry struct {
	host    string
	kind    Kind
	at      time.Time
	seconds [2]float64
	percent float64
	// dropped means, by window, that the sums of the host's kind or group were negligible.
	droppedOfKind  [2]bool
	droppedOfGroup [2]bool
}

// reference is the naive implementation of Estimator: it keeps all observations and sums them
// anew for each question.
type reference struct {
	log      []entry
	slow     map[string]bool
	unsteady map[string]bool
	slowness map[string]float64
	outages  map[string][]time.Time
}

var referenceLives = [2]time.Duration{time.Second, 5 * time.Second}

func newReference() *reference {
	return &reference{slow: make(map[string]bool), unsteady: make(map[string]bool), slowness: make(map[string]float64), outages: make(map[string][]time.Time)}
}

// drop marks the entries of which less than 0.05 s remains.
func (r *reference) drop(now time.Time) {
	for window := range referenceLives {
		for i := range r.log {
			one := &r.log[i]
			if seconds, _ := r.sumOfKinds(window, now, func(e entry) bool { return e.host == one.host && e.kind == one.kind }); seconds < 0.05 {
				one.droppedOfKind[window] = true
			}
			if seconds, _ := r.sumOfGroups(window, now, func(e entry) bool { return e.host == one.host && sameGroup(e.kind, one.kind) }); seconds < 0.05 {
				one.droppedOfGroup[window] = true
			}
		}
	}
}

func (r *reference) sumOfKinds(window int, now time.Time, match func(entry) bool) (seconds, percent float64) {
	return r.sum(window, now, func(e entry) bool { return !e.droppedOfKind[window] && match(e) })
}

func (r *reference) sumOfGroups(window int, now time.Time, match func(entry) bool) (seconds, percent float64) {
	return r.sum(window, now, func(e entry) bool { return !e.droppedOfGroup[window] && match(e) })
}

// sum returns the decayed time and progress of the entries that match.
func (r *reference) sum(window int, now time.Time, match func(entry) bool) (seconds, percent float64) {
	for _, one := range r.log {
		if match(one) {
			weight := math.Pow(0.5, now.Sub(one.at).Seconds()/referenceLives[window].Seconds())
			seconds += weight * one.seconds[window]
			percent += weight * one.percent
		}
	}
	return seconds, percent
}

func sameGroup(a, b Kind) bool {
	return a.Queue == b.Queue && a.Step == b.Step && a.Image == b.Image && a.Far == b.Far
}

func (r *reference) observe(host string, kind Kind, percent float64, took time.Duration, now time.Time) {
	r.log = append(r.log, entry{host: host, kind: kind, at: now, seconds: [2]float64{took.Seconds(), took.Seconds()}, percent: percent})
}

func (r *reference) fail(host string, kind Kind, now time.Time) {
	one := entry{host: host, kind: kind, at: now}
	for window := range referenceLives {
		seconds, percent := r.sumOfKinds(window, now, func(e entry) bool { return e.kind == kind })
		if percent < 4 {
			seconds, percent = r.sumOfGroups(window, now, func(e entry) bool { return sameGroup(e.kind, kind) })
		}
		if percent >= 4 {
			one.seconds[window] = 100 * seconds / percent
		}
	}
	r.log = append(r.log, one)
}

// ratio returns the slowness of a kind on a host, with its weight, the expected progress, or false without enough evidence.
func (r *reference) ratio(window int, host string, kind Kind, now time.Time) (evidence, bool) {
	own, done := r.sumOfKinds(window, now, func(e entry) bool { return e.host == host && e.kind == kind })
	others, doneElsewhere := r.sumOfKinds(window, now, func(e entry) bool { return e.host != host && e.kind == kind })
	share := 1.0
	if others < 0.3 && window == 0 {
		others, doneElsewhere = r.sumOfGroups(window, now, func(e entry) bool { return e.host != host && sameGroup(e.kind, kind) })
		share = 0.5
	}
	if others < 0.3 || doneElsewhere < 4 {
		return evidence{}, false
	}
	expected := own / (others / doneElsewhere)
	slowness := 100.0
	if done > 0 {
		slowness = min(slowness, expected/done)
	}
	return evidence{slowness: slowness, weight: own * share, expected: expected}, expected >= 4
}

// evidenceOf returns the evidence of a host in no order.
func (r *reference) evidenceOf(window int, host string, now time.Time) []evidence {
	var found []evidence
	var seen []Kind
	for _, one := range r.log {
		if one.host == host && !one.droppedOfKind[window] && !slices.Contains(seen, one.kind) {
			seen = append(seen, one.kind)
			if e, ok := r.ratio(window, host, one.kind, now); ok {
				found = append(found, e)
			}
		}
	}
	return found
}

// spread returns the median deviation of the logarithms of the slowness of kinds on a host.
func (r *reference) spread(window int, pool []string, now time.Time) float64 {
	var spreads []float64
	for _, host := range pool {
		found := r.evidenceOf(window, host, now)
		if len(found) < 2 {
			continue
		}
		mean, variance := 0.0, 0.0
		for _, one := range found {
			mean += math.Log(one.slowness) / float64(len(found))
		}
		for _, one := range found {
			variance += math.Pow(math.Log(one.slowness)-mean, 2) / float64(len(found)-1)
		}
		spreads = append(spreads, math.Sqrt(variance))
	}
	if len(spreads) == 0 {
		return 0
	}
	sort.Float64s(spreads)
	return spreads[len(spreads)/2]
}

// judge returns the slowness that all but a quarter of the capped weight exceeds.
func (r *reference) judge(window int, host string, pool []string, now time.Time) judgement {
	found := r.evidenceOf(window, host, now)
	result, total := judgement{slowness: 1}, 0.0
	for _, one := range found {
		result.expected += one.expected
		total += one.weight
	}
	if len(found) == 0 {
		return result
	}
	sort.Slice(found, func(i, j int) bool { return found[i].slowness > found[j].slowness })
	// From the slowest on, the last one before three quarters are exceeded.
	sum := 0.0
	for _, one := range found {
		sum += min(one.weight, total-one.weight)
	}
	left := sum
	result.slowness = found[0].slowness
	for _, one := range slices.Backward(found) {
		left -= min(one.weight, total-one.weight)
		result.slowness = one.slowness
		if left <= 0.75*sum+1e-9*sum {
			break
		}
	}
	needed := r.spread(window, pool, now) / 0.25
	if result.slowness <= 1 {
		return result
	}
	result.kinds = float64(len(found)) / max(1, math.Pow(needed/math.Log2(result.slowness), 2))
	return result
}

func (r *reference) observedAt(host string) time.Time {
	var last time.Time
	for _, one := range r.log {
		if one.host == host {
			last = one.at
		}
	}
	return last
}

// judgeHost returns the new slowness of a host and whether it is slow.
func (r *reference) judgeHost(host string, pool []string, now time.Time) (float64, bool) {
	age := now.Sub(r.observedAt(host))
	short, long := r.judge(0, host, pool, now), r.judge(1, host, pool, now)
	if r.slow[host] {
		found := short
		if short.expected < 4 {
			found = long
		}
		if found.expected < 4 {
			return r.slowness[host], age < 15*time.Second
		}
		return found.slowness, age < 15*time.Second && found.slowness >= 1.4
	}
	found := short
	if short.expected < 50 || short.kinds < 2 {
		found = long
	}
	return found.slowness, age <= time.Second && found.expected >= 50 && found.kinds >= 2 && found.slowness >= 2
}

func (r *reference) assess(pool []string, now time.Time) []string {
	r.drop(now)
	before := make(map[string]bool)
	slow, unsteady := make(map[string]bool), make(map[string]bool)
	var wanted []string
	for _, host := range pool {
		before[host] = r.slow[host] || r.unsteady[host]
		r.slowness[host], slow[host] = r.judgeHost(host, pool, now)
		outages := 0
		for _, at := range r.outages[host] {
			if now.Sub(at) < 20*time.Second {
				outages++
			}
		}
		unsteady[host] = outages >= 2
		if slow[host] || unsteady[host] {
			wanted = append(wanted, host)
		}
	}
	slices.Sort(wanted)
	sort.SliceStable(wanted, func(i, j int) bool {
		a, b := wanted[i], wanted[j]
		if before[a] != before[b] {
			return before[a]
		}
		return r.slowness[a] > r.slowness[b]
	})
	wanted = wanted[:min(len(wanted), len(pool)/2)]
	var changed []string
	for _, host := range pool {
		in := slices.Contains(wanted, host)
		r.slow[host], r.unsteady[host] = in && slow[host], in && unsteady[host]
		if in != before[host] {
			changed = append(changed, host)
		}
	}
	slices.Sort(changed)
	return changed
}

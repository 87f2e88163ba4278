package speed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFrom is the slowness from which a host counts as slow, and normalBelow that
	// below which it counts as normal again. The gap keeps a host from alternating.
	slowFrom    = 2.0
	normalBelow = 1.4
	// minReference is the time of runs elsewhere, in seconds, and minPercent the progress
	// of these runs, from which they are a reference. A host must have been expected to
	// make minPercent too: progress is reported in whole percents.
	minReference = 0.3
	minPercent   = 4.0
	// minKinds is the number of kinds of tasks whose evidence is needed to call a host
	// slow, and minExpected the progress that it was expected to make in them.
	minKinds    = 2.0
	minExpected = 50.0
	// loneShare is the weight of a kind that is compared with other jobs of its queue
	// because it runs on no other host: their tasks may be shorter.
	loneShare = 0.5
	// evenSpread is the standard deviation of the logarithm of the slowness of a host's kinds
	// up to which each counts fully among minKinds for a host at slowFrom. The more the kinds
	// differ on one host, the more of them are needed: 8 if the deviation is 0.5.
	evenSpread = 0.25
	// quantile is the part of the evidence by weight, fastest first, that may speak
	// against a host being slow.
	quantile = 0.25
	// fullPercent is the progress of a run that is done.
	fullPercent = 100.0
	// maxSlowness limits the slowness of hosts on which nothing advances.
	maxSlowness = 100.0
	// maxSlowPart limits the slow hosts to one of this many. More slow hosts than normal
	// ones are the service's speed.
	maxSlowPart = 2
	// shortLife and longLife are the half-lives of the weight of observations. Hosts turn
	// slow for some seconds only and are observed once a second or more often; with tasks
	// of a minute that shows too little progress.
	shortLife = time.Second
	longLife  = 5 * time.Second
	// outageWindow is how long an outage of a host counts, and minOutages the number of
	// outages from which a host counts as unsteady: each host is down once in a while, also
	// for maintenance.
	outageWindow = 20 * time.Second
	minOutages   = 2
	// expiry is how long a host counts as slow without an observation.
	expiry = 15 * time.Second
	// probeInterval is the time without an observation after which a slow host gets a
	// probe.
	probeInterval = 2 * time.Second
)

// Kind identifies the tasks whose speeds on different hosts are compared: those of a step.
type Kind struct {
	Queue string
	Job   string
	Step  int
	Image string
	// Far means that the data of the tasks are in another rack than the host. Such runs
	// are slower and are only compared with each other.
	Far bool
}

// group identifies the kinds of a queue that may be compared if there is nothing better.
type group struct {
	queue string
	step  int
	image string
	far   bool
}

func (k Kind) group() group { return group{k.Queue, k.Step, k.Image, k.Far} }

// verdict is what is known of a host.
type verdict struct {
	// slow means that runs take longer on the host, unsteady that it restarts or is
	// lost repeatedly.
	slow     bool
	unsteady bool
	slowness float64
	// observedAt and probedAt are the times of the last observation and probe.
	observedAt time.Time
	probedAt   time.Time
	// outages are the times of the last minOutages outages.
	outages []time.Time
}

// Estimator estimates the slowness of hosts. It isn't safe for concurrent use.
type Estimator struct {
	// windows hold the observations, the one with the shortest half-life first. The first
	// that holds enough evidence counts.
	windows  []*window
	verdicts map[string]*verdict
}

// New returns an estimator without evidence.
func New() *Estimator {
	return &Estimator{windows: []*window{newWindow(shortLife, true), newWindow(longLife, false)}, verdicts: make(map[string]*verdict)}
}

// Observe records that a run on a host advanced by a number of percents in a period that
// ends now.
func (e *Estimator) Observe(host string, kind Kind, percent float64, took time.Duration, now time.Time) {
	for _, w := range e.windows {
		w.add(host, kind, observation{seconds: took.Seconds(), percent: percent}, now)
	}
	e.verdict(host).observedAt = now
}

// Fail records that a run on a host failed: the mean time of such a run went by without
// progress, although the run may have failed at once. A kind that hasn't advanced anywhere has
// no mean time.
func (e *Estimator) Fail(host string, kind Kind, now time.Time) {
	for _, w := range e.windows {
		w.fail(host, kind, now)
	}
	e.verdict(host).observedAt = now
}

// RecordOutage records that a host restarted or was lost.
func (e *Estimator) RecordOutage(host string, now time.Time) {
	v := e.verdict(host)
	v.outages = append(v.outages, now)
	v.outages = v.outages[max(0, len(v.outages)-minOutages):]
}

func (e *Estimator) verdict(host string) *verdict {
	v := e.verdicts[host]
	if v == nil {
		v = &verdict{slowness: 1}
		e.verdicts[host] = v
	}
	return v
}

// Forget drops what is known of a host.
func (e *Estimator) Forget(host string) {
	for _, w := range e.windows {
		w.forget(host)
	}
	delete(e.verdicts, host)
}

// UseLast reports whether a host is to be used last because it is slow or unsteady.
func (e *Estimator) UseLast(host string) bool {
	v := e.verdicts[host]
	return v != nil && (v.slow || v.unsteady)
}

// IsUnsteady reports whether a host is to be used last because it restarts or is lost repeatedly.
func (e *Estimator) IsUnsteady(host string) bool {
	v := e.verdicts[host]
	return v != nil && v.unsteady
}

// Slowness returns how many times longer runs take on a host than elsewhere as of the last
// assessment, or 1 if that isn't known.
func (e *Estimator) Slowness(host string) float64 {
	if v := e.verdicts[host]; v != nil {
		return v.slowness
	}
	return 1
}

// NeedsProbe reports whether a slow host should get a run because it hasn't been observed for
// a while. An unsteady host gets none: its outages show without runs.
func (e *Estimator) NeedsProbe(host string, now time.Time) bool {
	v := e.verdicts[host]
	return v != nil && v.slow && !v.unsteady && now.Sub(v.observedAt) >= probeInterval && now.Sub(v.probedAt) >= probeInterval
}

// Probed records that a slow host gets a run.
func (e *Estimator) Probed(host string, now time.Time) { e.verdict(host).probedAt = now }

// Pace returns the mean time of a percent of a kind's runs on a host and elsewhere, or false
// if one of them isn't known.
func (e *Estimator) Pace(host string, kind Kind, now time.Time) (here, elsewhere time.Duration, ok bool) {
	for _, w := range e.windows {
		if c, ok := w.compare(host, kind, now); ok {
			return c.pace()
		}
	}
	return 0, 0, false
}

// firstEnough returns the judgement of a host by the first window that holds enough evidence for
// the check, or by the last.
func firstEnough(host string, views []poolEvidence, enough func(judgement) bool) judgement {
	var last judgement
	for _, view := range views {
		if last = view.judge(host); enough(last) {
			break
		}
	}
	return last
}

// isSlow reports whether a host is slow, apart from the limit on their number. More evidence is
// needed to call a host slow than to keep or end that: one kind of tasks is enough to end it.
func (v *verdict) isSlow(host string, views []poolEvidence, now time.Time) bool {
	if !v.slow {
		j := firstEnough(host, views, judgement.suffices)
		v.slowness = j.slowness
		// What a host did some time ago can't be compared with what others do now.
		return now.Sub(v.observedAt) <= shortLife && j.suffices() && j.slowness >= slowFrom
	}
	j := firstEnough(host, views, judgement.isKnown)
	if j.isKnown() {
		v.slowness = j.slowness
	}
	return now.Sub(v.observedAt) < expiry && (!j.isKnown() || j.slowness >= normalBelow)
}

// isUnsteady reports whether a host had too many outages within outageWindow.
func (v *verdict) isUnsteady(now time.Time) bool {
	return len(v.outages) == minOutages && now.Sub(v.outages[0]) < outageWindow
}

// candidate is a host that should be used last.
type candidate struct {
	host     string
	slow     bool
	unsteady bool
	// wasLast means that the previous assessment chose the host too.
	wasLast  bool
	slowness float64
}

// rank returns a higher value for hosts that are used last already, so that equals don't take
// turns.
func (c candidate) rank() int {
	if c.wasLast {
		return 1
	}
	return 0
}

// Assess judges the hosts of a pool anew and returns those whose state changed, sorted.
func (e *Estimator) Assess(pool []string, now time.Time) (changed []string) {
	for _, w := range e.windows {
		w.prune(now)
	}
	chosen := make(map[string]candidate)
	for _, c := range e.candidates(pool, now) {
		if len(chosen) < len(pool)/maxSlowPart {
			chosen[c.host] = c
		}
	}
	for _, host := range pool {
		v := e.verdicts[host]
		if v == nil {
			continue
		}
		before := e.UseLast(host)
		v.slow, v.unsteady = chosen[host].slow, chosen[host].unsteady
		if e.UseLast(host) != before {
			changed = append(changed, host)
		}
	}
	slices.Sort(changed)
	return changed
}

// candidates returns the hosts of a pool that should be used last: first those that already
// are, then the slowest.
func (e *Estimator) candidates(pool []string, now time.Time) []candidate {
	var views []poolEvidence
	for _, w := range e.windows {
		views = append(views, w.evidenceOfPool(pool, now))
	}
	var found []candidate
	for _, host := range pool {
		v := e.verdicts[host]
		if v == nil {
			continue
		}
		c := candidate{host: host, slow: v.isSlow(host, views, now), unsteady: v.isUnsteady(now), wasLast: e.UseLast(host), slowness: v.slowness}
		if c.slow || c.unsteady {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.slowness, a.slowness), cmp.Compare(a.host, b.host))
	})
	return found
}

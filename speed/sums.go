package speed

import (
	"math"
	"time"
)

// negligible is the time, in seconds of runs, below which the sums of a host are dropped. It
// bounds the number of kinds that are kept.
const negligible = 0.05

// sums are exponentially decayed sums of what runs have taken and achieved.
type sums struct {
	at time.Time
	// seconds of runs, and the progress in percent that was made in them.
	seconds float64
	percent float64
}

// decayed returns the sums at a later time.
func (s sums) decayed(now time.Time, halfLife time.Duration) sums {
	factor := math.Exp2(-float64(now.Sub(s.at)) / float64(halfLife))
	return sums{at: now, seconds: s.seconds * factor, percent: s.percent * factor}
}

func (s sums) plus(o observation) sums {
	return sums{at: s.at, seconds: s.seconds + o.seconds, percent: s.percent + o.percent}
}

// minus returns the sums without those of a part, both at the same time.
func (s sums) minus(part sums) sums {
	return sums{at: s.at, seconds: max(0, s.seconds-part.seconds), percent: max(0, s.percent-part.percent)}
}

// observation is the progress that a run has made in a period.
type observation struct {
	seconds float64
	percent float64
}

// ledger holds the sums of all hosts, and of each host, by key.
type ledger[K comparable] struct {
	halfLife time.Duration
	all      map[K]sums
	byHost   map[string]map[K]sums
}

func newLedger[K comparable](halfLife time.Duration) ledger[K] {
	return ledger[K]{halfLife: halfLife, all: make(map[K]sums), byHost: make(map[string]map[K]sums)}
}

func (l ledger[K]) add(host string, key K, o observation, now time.Time) {
	l.all[key] = l.total(key, now).plus(o)
	own := l.byHost[host]
	if own == nil {
		own = make(map[K]sums)
		l.byHost[host] = own
	}
	own[key] = l.own(host, key, now).plus(o)
}

// total returns the sums of all hosts.
func (l ledger[K]) total(key K, now time.Time) sums { return l.all[key].decayed(now, l.halfLife) }

// own returns the sums of a host.
func (l ledger[K]) own(host string, key K, now time.Time) sums {
	return l.byHost[host][key].decayed(now, l.halfLife)
}

// elsewhere returns the sums of all other hosts than the one that has own.
func (l ledger[K]) elsewhere(key K, own sums, now time.Time) sums {
	return l.total(key, now).minus(own)
}

// forget removes a host's sums. Its part of those of all hosts decays.
func (l ledger[K]) forget(host string) { delete(l.byHost, host) }

// prune drops what has decayed.
func (l ledger[K]) prune(now time.Time) {
	for host, sumsOf := range l.byHost {
		for key, own := range sumsOf {
			if own = own.decayed(now, l.halfLife); own.seconds < negligible {
				delete(sumsOf, key)
				// Otherwise it would count as progress elsewhere.
				l.all[key] = l.total(key, now).minus(own)
			}
		}
		if len(sumsOf) == 0 {
			delete(l.byHost, host)
		}
	}
	for key := range l.all {
		// More remains of a key that a host has, and rounding errors of others.
		if l.total(key, now).seconds < negligible/2 {
			delete(l.all, key)
		}
	}
}

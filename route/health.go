package route

import (
	"sync/atomic"
	"time"
)

const (
	// ejectAfter is the number of failures in a row after which a host gets no
	// new requests for a while.
	ejectAfter = 5
	// firstEjection is how long that lasts at first; each failed probe doubles
	// it up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// maxEjectedPart bounds the hosts of a pool that are ejected at once to
	// one in so many; a fault of the service itself must not empty the pool.
	maxEjectedPart = 3
)

// health judges a host by how its requests ended. A host that fails fast has
// its slots free sooner than others and would attract work otherwise.
type health struct {
	// failures counts those in a row.
	failures atomic.Int32
	// until is the end of the ejection in nanoseconds of Unix time; 0 while
	// there is none.
	until atomic.Int64
	// strikes counts the failed probes since the last success.
	strikes atomic.Int32
	// probing says that a probe is under way.
	probing atomic.Bool
}

// ejected reports whether the host gets no new requests but probes.
func (h *health) ejected() bool { return h.until.Load() != 0 }

// admits reports whether a request may go to the host. At the end of an
// ejection it admits one request as a probe and puts the next one off, so that
// a probe whose end is never learnt blocks nothing.
func (h *health) admits() bool {
	until := h.until.Load()
	if until == 0 {
		return true
	}
	now := time.Now()
	if now.UnixNano() < until {
		return false
	}
	if !h.until.CompareAndSwap(until, now.Add(h.span()).UnixNano()) {
		return false
	}
	h.probing.Store(true)
	return true
}

// span returns the length of an ejection.
func (h *health) span() time.Duration {
	span := firstEjection
	for range h.strikes.Load() {
		span = min(2*span, maxEjection)
	}
	return span
}

// succeeded ends an ejection.
func (h *health) succeeded() {
	h.failures.Store(0)
	h.strikes.Store(0)
	h.probing.Store(false)
	h.until.Store(0)
}

// failed notes a failure and reports whether the host should be ejected. A
// failed probe makes the ejection longer; what was in flight when it began does
// not.
func (h *health) failed() bool {
	if !h.ejected() {
		return h.failures.Add(1) >= ejectAfter
	}
	if h.probing.CompareAndSwap(true, false) {
		h.strikes.Add(1)
		h.until.Store(time.Now().Add(h.span()).UnixNano())
	}
	return false
}

// eject begins an ejection unless there is one.
func (h *health) eject() {
	h.until.CompareAndSwap(0, time.Now().Add(h.span()).UnixNano())
}

// Succeeded notes that the host gave a good answer.
func (l Lease) Succeeded() {
	l.Upstream.health.succeeded()
}

// Failed notes that the host failed, and ejects it after several failures in a
// row unless too many of its pool are ejected.
func (l Lease) Failed() {
	if l.Upstream.health.failed() && l.service.mayEject() {
		l.Upstream.health.eject()
	}
}

// mayEject reports whether one more host of the pool may be ejected.
func (s *Service) mayEject() bool {
	return (s.Ejected()+1)*maxEjectedPart <= len(s.Targets)
}

// Ejected returns the number of hosts that get no new requests for a while
// because they failed.
func (s *Service) Ejected() int {
	ejected := 0
	for _, target := range s.Targets {
		if target.health.ejected() {
			ejected++
		}
	}
	return ejected
}

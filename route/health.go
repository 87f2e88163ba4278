package route

import (
	"sync/atomic"
	"time"
)

const (
	// failureThreshold is the number of consecutive failures after which a host
	// is ejected.
	failureThreshold = 5
	// baseEjectionTime is the initial ejection time. Each failed probe doubles
	// it, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// minHostsPerEjection limits simultaneous ejections to one in this many
	// hosts of a pool, so that a fault of the service itself does not empty the
	// pool.
	minHostsPerEjection = 3
)

// health implements passive health checks (outlier detection) for a host. A host
// that fails fast frees its slots sooner than others, so without ejection it
// would attract more requests.
type health struct {
	consecutiveFailures atomic.Int32
	// ejectedUntil is the end of the ejection in Unix nanoseconds, or 0 if the
	// host is not ejected.
	ejectedUntil atomic.Int64
	// failedProbes counts failed probes since the last success.
	failedProbes atomic.Int32
	// probing is set while a probe is in flight.
	probing atomic.Bool
}

// ejected reports whether the host receives only probes.
func (h *health) ejected() bool { return h.ejectedUntil.Load() != 0 }

// allowRequest reports whether a request may be sent to the host. At the end of
// an ejection it allows one request as a probe and extends the ejection, so that
// the next probe follows even if the outcome of this one is never reported.
func (h *health) allowRequest() bool {
	ejectedUntil := h.ejectedUntil.Load()
	if ejectedUntil == 0 {
		return true
	}
	now := time.Now()
	if now.UnixNano() < ejectedUntil {
		return false
	}
	if !h.ejectedUntil.CompareAndSwap(ejectedUntil, now.Add(h.ejectionTime()).UnixNano()) {
		return false
	}
	h.probing.Store(true)
	return true
}

// ejectionTime returns the duration of an ejection, with exponential backoff.
func (h *health) ejectionTime() time.Duration {
	duration := baseEjectionTime
	for range h.failedProbes.Load() {
		duration = min(2*duration, maxEjectionTime)
	}
	return duration
}

// recordSuccess ends an ejection.
func (h *health) recordSuccess() {
	h.consecutiveFailures.Store(0)
	h.failedProbes.Store(0)
	h.probing.Store(false)
	h.ejectedUntil.Store(0)
}

// recordFailure records a failure and reports whether the host should be
// ejected. A failed probe extends the ejection. Failures of requests that were
// in flight when the ejection began do not.
func (h *health) recordFailure() bool {
	if !h.ejected() {
		return h.consecutiveFailures.Add(1) >= failureThreshold
	}
	if h.probing.CompareAndSwap(true, false) {
		h.failedProbes.Add(1)
		h.ejectedUntil.Store(time.Now().Add(h.ejectionTime()).UnixNano())
	}
	return false
}

// eject starts an ejection unless the host is already ejected.
func (h *health) eject() {
	h.ejectedUntil.CompareAndSwap(0, time.Now().Add(h.ejectionTime()).UnixNano())
}

// ReportSuccess records a successful response from the host and ends its
// ejection.
func (s Slot) ReportSuccess() {
	s.Upstream.health.recordSuccess()
}

// ReportFailure records a failure of the host. After failureThreshold
// consecutive failures the host is ejected, unless too many hosts of its pool
// already are.
func (s Slot) ReportFailure() {
	if s.Upstream.health.recordFailure() && s.service.canEject() {
		s.Upstream.health.eject()
	}
}

// canEject reports whether another host of the pool may be ejected.
func (s *Service) canEject() bool {
	return (s.Ejected()+1)*minHostsPerEjection <= len(s.Targets)
}

// Ejected returns the number of ejected hosts.
func (s *Service) Ejected() int {
	ejected := 0
	for _, target := range s.Targets {
		if target.health.ejected() {
			ejected++
		}
	}
	return ejected
}

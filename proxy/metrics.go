package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/core"
)

// requestMetrics counts requests by outcome and measures their latency. A
// metrics.Set has a single lock, so each metric is looked up there once and then
// cached in a sync.Map, whose reads need no lock.
type requestMetrics struct {
	set *metrics.Set
	// counters maps outcomeKey to *metrics.Counter.
	counters sync.Map
	// latencies maps a service's name to *metrics.Histogram.
	latencies sync.Map
}

// outcomeKey holds the label values of a request counter.
type outcomeKey struct {
	service string
	verdict core.Verdict
	cause   core.Cause
}

// count increments the counter of an outcome.
func (m *requestMetrics) count(service string, verdict core.Verdict, cause core.Cause) {
	key := outcomeKey{service: service, verdict: verdict, cause: cause}
	counter, known := m.counters.Load(key)
	if !known {
		name := fmt.Sprintf("rattanpath_requests_total{service=%q,verdict=%q,cause=%q}", service, verdict, cause)
		counter, _ = m.counters.LoadOrStore(key, m.set.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}

// observe records the latency of a request that arrived at started.
func (m *requestMetrics) observe(service string, started time.Time) {
	histogram, known := m.latencies.Load(service)
	if !known {
		name := fmt.Sprintf("rattanpath_request_seconds{service=%q}", service)
		histogram, _ = m.latencies.LoadOrStore(service, m.set.GetOrCreateHistogram(name))
	}
	histogram.(*metrics.Histogram).UpdateDuration(started)
}

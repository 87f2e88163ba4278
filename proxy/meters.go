package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/core"
)

// meters counts requests by outcome. The set of metrics has one lock, so that
// each meter is looked up there once and kept where reading takes none.
type meters struct {
	set *metrics.Set
	// counters maps an outcomeKey to a *metrics.Counter, and latencies the
	// name of a service to a *metrics.Histogram.
	counters  sync.Map
	latencies sync.Map
}

// outcomeKey names one counter.
type outcomeKey struct {
	service string
	verdict core.Verdict
	cause   core.Cause
}

// count adds a request to the counter of its outcome.
func (m *meters) count(service string, verdict core.Verdict, cause core.Cause) {
	key := outcomeKey{service: service, verdict: verdict, cause: cause}
	counter, known := m.counters.Load(key)
	if !known {
		name := fmt.Sprintf("rattanpath_requests_total{service=%q,verdict=%q,cause=%q}", service, verdict, cause)
		counter, _ = m.counters.LoadOrStore(key, m.set.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}

// observe adds the time since a request's arrival to its service's histogram.
func (m *meters) observe(service string, started time.Time) {
	histogram, known := m.latencies.Load(service)
	if !known {
		name := fmt.Sprintf("rattanpath_request_seconds{service=%q}", service)
		histogram, _ = m.latencies.LoadOrStore(service, m.set.GetOrCreateHistogram(name))
	}
	histogram.(*metrics.Histogram).UpdateDuration(started)
}

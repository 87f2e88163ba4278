package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a caller was told of a request.
type Result uint8

// The results of requests.
const (
	// Whole is a whole answer to the caller's own request.
	Whole Result = iota
	// NotRun is a refusal with the verdict NotRun.
	NotRun
	// MayHaveRun is a failure with the verdict MayHaveRun.
	MayHaveRun
	// Broken is a connection that broke before or within the answer, which
	// tells the caller that the request may have run.
	Broken
	// Wrong is an answer that looks whole and is not the request's own.
	Wrong
)

const resultCount = 5

// Longest and finest latencies that a ledger tells apart.
const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// call is the ledger's line for one request.
type call struct {
	result     Result
	idempotent bool
}

// Ledger keeps the results of requests by their ids.
type Ledger struct {
	mu      sync.Mutex
	calls   map[string]call
	counts  [resultCount]int
	causes  map[string]int
	latency *hdrhistogram.Histogram
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		calls:   make(map[string]call),
		causes:  make(map[string]int),
		latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
}

func (l *Ledger) add(id string, idempotent bool, outcome outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[id] = call{result: outcome.result, idempotent: idempotent}
	l.counts[outcome.result]++
	if outcome.result == Whole {
		_ = l.latency.RecordValue(max(1, took.Microseconds()))
	}
	if outcome.cause != "" {
		l.causes[outcome.cause]++
	}
}

// Count returns how many requests had the result.
func (l *Ledger) Count(result Result) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[result]
}

// Total returns how many requests ended.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// Causes returns how often each cause was given.
func (l *Ledger) Causes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	causes := make(map[string]int, len(l.causes))
	for cause, count := range l.causes {
		causes[cause] = count
	}
	return causes
}

// Latency returns the latency of whole answers at a percentile from 0 to 100.
func (l *Ledger) Latency(percentile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// Findings are the requests for which callers were told what is not true.
type Findings struct {
	// Doubled counts requests that are not idempotent and started twice.
	Doubled int
	// RanAfterAll counts refusals as NotRun that started.
	RanAfterAll int
	// NeverRan counts whole answers to requests that no worker started.
	NeverRan int
	// WrongAnswers counts answers that look whole and are not.
	WrongAnswers int
}

// Clean reports whether nothing was found.
func (f Findings) Clean() bool { return f == Findings{} }

// Audit compares the ledger with how often workers started each request.
func (l *Ledger) Audit(started map[string]int) Findings {
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := Findings{WrongAnswers: l.counts[Wrong]}
	for id, call := range l.calls {
		starts := started[id]
		if !call.idempotent && starts > 1 {
			findings.Doubled++
		}
		if call.result == NotRun && starts > 0 {
			findings.RanAfterAll++
		}
		if call.result == Whole && starts == 0 {
			findings.NeverRan++
		}
	}
	return findings
}

// BrokenIdempotent returns how many idempotent requests broke off at every
// try.
func (l *Ledger) BrokenIdempotent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := 0
	for _, call := range l.calls {
		if call.idempotent && call.result == Broken {
			broken++
		}
	}
	return broken
}

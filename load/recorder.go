package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result classifies the response that a caller got to a request.
type Result uint8

// The results of requests.
const (
	// Complete is a complete response that belongs to the request.
	Complete Result = iota
	// NotRun is a response with the verdict NotRun.
	NotRun
	// MayHaveRun is a response with the verdict MayHaveRun, or NotRun after an
	// earlier attempt whose connection broke.
	MayHaveRun
	// TransportError means that the caller got no complete response: no connection
	// could be opened, it broke, or the request timed out. Unless the dial failed,
	// the request may have run.
	TransportError
	// Invalid is a response that has no known verdict, or whose body is not the
	// one that belongs to the request.
	Invalid
)

const resultCount = 5

// Range and precision of the latency histogram.
const (
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// requestRecord is the recorded result of one request.
type requestRecord struct {
	result     Result
	idempotent bool
}

// Recorder records the results of requests by request ID, and the latencies of
// complete responses. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	requests map[string]requestRecord
	counts   [resultCount]int
	causes   map[string]int
	latency  *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		requests: make(map[string]requestRecord),
		causes:   make(map[string]int),
		latency:  hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
	}
}

func (r *Recorder) record(id string, idempotent bool, outcome outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = requestRecord{result: outcome.result, idempotent: idempotent}
	r.counts[outcome.result]++
	if outcome.result == Complete {
		_ = r.latency.RecordValue(max(1, latency.Microseconds()))
	}
	if outcome.cause != "" {
		r.causes[outcome.cause]++
	}
}

// Count returns the number of requests with the given result.
func (r *Recorder) Count(result Result) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[result]
}

// Total returns the number of recorded requests.
func (r *Recorder) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// Causes returns the number of requests per cause of refusal or failure.
func (r *Recorder) Causes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	causes := make(map[string]int, len(r.causes))
	for cause, count := range r.causes {
		causes[cause] = count
	}
	return causes
}

// Latency returns a percentile, from 0 to 100, of the latencies of complete
// responses.
func (r *Recorder) Latency(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// Findings counts requests whose responses contradict what the workers ran.
type Findings struct {
	// Doubled counts non-idempotent requests that workers started more than once.
	Doubled int
	// RanAfterAll counts requests with the result NotRun that a worker started.
	RanAfterAll int
	// NeverRan counts complete responses to requests that no worker started.
	NeverRan int
	// WrongAnswers counts responses with the result Invalid.
	WrongAnswers int
}

// Clean reports whether there are no findings.
func (f Findings) Clean() bool { return f == Findings{} }

// Audit compares the recorded results with the number of times that workers
// started each request, by request ID.
func (r *Recorder) Audit(executionsByID map[string]int) Findings {
	r.mu.Lock()
	defer r.mu.Unlock()
	findings := Findings{WrongAnswers: r.counts[Invalid]}
	for id, request := range r.requests {
		executions := executionsByID[id]
		if !request.idempotent && executions > 1 {
			findings.Doubled++
		}
		if request.result == NotRun && executions > 0 {
			findings.RanAfterAll++
		}
		if request.result == Complete && executions == 0 {
			findings.NeverRan++
		}
	}
	return findings
}

// FailedIdempotent returns the number of idempotent requests that ended with a
// transport error after all retries.
func (r *Recorder) FailedIdempotent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := 0
	for _, request := range r.requests {
		if request.idempotent && request.result == TransportError {
			failed++
		}
	}
	return failed
}

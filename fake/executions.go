package fake

import (
	"maps"
	"sync"
)

// RequestIDHeader names a request in the accounts of workers and callers.
const RequestIDHeader = "Request-Id"

// ExecutionCounter counts, for each request id, how often workers started it.
type ExecutionCounter struct {
	mu     sync.Mutex
	starts map[string]int
	// overshoot is the largest number of requests beyond its slots that any
	// worker held at once.
	overshoot int
}

// NewExecutionCounter returns an empty account.
func NewExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{starts: make(map[string]int)}
}

func (a *ExecutionCounter) recordStart(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[id]++
}

func (a *ExecutionCounter) recordOvershoot(beyond int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overshoot = max(a.overshoot, beyond)
}

// Starts returns how often each request was started.
func (a *ExecutionCounter) Starts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.starts)
}

// Overshoot returns the largest number of requests beyond its slots that any
// worker held at once.
func (a *ExecutionCounter) Overshoot() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overshoot
}

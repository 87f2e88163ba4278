package fake

import (
	"maps"
	"sync"
)

// RequestIDHeader is the HTTP header that carries the ID of a request.
const RequestIDHeader = "Request-Id"

// ExecutionCounter counts how often workers started each request, by request ID.
type ExecutionCounter struct {
	mu     sync.Mutex
	starts map[string]int
	// overshoot is the largest number by which the requests in flight at any
	// worker exceeded its slots.
	overshoot int
}

// NewExecutionCounter returns a counter without requests.
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

// Starts returns the number of starts by request ID.
func (a *ExecutionCounter) Starts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.starts)
}

// Overshoot returns the largest number by which the requests in flight at any
// worker exceeded its slots.
func (a *ExecutionCounter) Overshoot() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overshoot
}

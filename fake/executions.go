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

func (c *ExecutionCounter) recordStart(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[id]++
}

func (c *ExecutionCounter) recordOvershoot(excess int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overshoot = max(c.overshoot, excess)
}

// Starts returns the number of starts by request ID.
func (c *ExecutionCounter) Starts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.starts)
}

// Overshoot returns the largest number by which the requests in flight at any
// worker exceeded its slots.
func (c *ExecutionCounter) Overshoot() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overshoot
}

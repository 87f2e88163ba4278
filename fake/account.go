package fake

import (
	"maps"
	"sync"
)

// RequestIDHeader names a request in the accounts of workers and callers.
const RequestIDHeader = "Request-Id"

// Account counts, for each request id, how often workers started it.
type Account struct {
	mu      sync.Mutex
	started map[string]int
	// overshoot is the largest number of requests beyond its slots that any
	// worker held at once.
	overshoot int
}

// NewAccount returns an empty account.
func NewAccount() *Account {
	return &Account{started: make(map[string]int)}
}

func (a *Account) start(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started[id]++
}

func (a *Account) noteOvershoot(beyond int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overshoot = max(a.overshoot, beyond)
}

// Started returns how often each request was started.
func (a *Account) Started() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.started)
}

// Overshoot returns the largest number of requests beyond its slots that any
// worker held at once.
func (a *Account) Overshoot() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overshoot
}

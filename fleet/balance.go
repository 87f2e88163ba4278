package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/views"
)

const (
	// balancerLag is the time after which the balancer sends nothing to a node
	// that is no longer ready.
	balancerLag = 200 * time.Millisecond
	// healthPause is the time between two health checks of a new node.
	healthPause = 20 * time.Millisecond
)

// healthCheck is what the balancer does for a new node.
type healthCheck struct {
	fleet  *Fleet
	member *member
}

// run waits until the node takes requests and then sends it some.
func (h *healthCheck) run() {
	for h.fleet.running(h.member) {
		if h.healthy() {
			h.fleet.balance(h.member)
			return
		}
		time.Sleep(healthPause)
	}
}

func (h *healthCheck) healthy() bool {
	response, err := http.Get("http://" + h.member.host.AdminAddress + views.HealthPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *Fleet) running(m *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[m.host.Name] == m
}

// balance adds a node to those that the balancer sends requests to, unless it
// was stopped meanwhile.
func (f *Fleet) balance(m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[m.host.Name] == m {
		f.balanced[m.host.Name] = m.host.Address
	}
}

// Balanced reports whether the balancer sends requests to a node.
func (f *Fleet) Balanced(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balanced[name] != ""
}

// AwaitBalanced waits until the balancer sends requests to so many nodes.
func (f *Fleet) AwaitBalanced(ctx context.Context, nodes int) error {
	for len(f.Addresses()) < nodes {
		if err := core.Sleep(ctx, healthPause); err != nil {
			return errors.Wrapf(err, "%d nodes of %d take requests", len(f.Addresses()), nodes)
		}
	}
	return nil
}

func (f *Fleet) unbalance(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.balanced[name] == address {
		delete(f.balanced, name)
	}
}

// Addresses returns where the balancer sends requests.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := make([]string, 0, len(f.balanced))
	for _, address := range f.balanced {
		addresses = append(addresses, address)
	}
	return addresses
}

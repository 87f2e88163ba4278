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
	// balancerDelay is the time that the load balancer takes to remove a node that
	// is no longer ready.
	balancerDelay = 200 * time.Millisecond
	// healthCheckInterval is the time between health checks of a new node.
	healthCheckInterval = 20 * time.Millisecond
)

// healthCheck is the load balancer's health check of a new node.
type healthCheck struct {
	fleet *Fleet
	node  *entryNode
}

// run adds the node to the rotation once it is healthy. It returns early if the
// node is stopped.
func (h *healthCheck) run() {
	for h.fleet.isRunning(h.node) {
		if h.isHealthy() {
			h.fleet.addToRotation(h.node)
			return
		}
		time.Sleep(healthCheckInterval)
	}
}

func (h *healthCheck) isHealthy() bool {
	response, err := http.Get("http://" + h.node.host.AdminAddress + views.HealthPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *Fleet) isRunning(n *entryNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[n.host.Name] == n
}

// addToRotation adds a node to the rotation unless it was stopped meanwhile.
func (f *Fleet) addToRotation(n *entryNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[n.host.Name] == n {
		f.rotation[n.host.Name] = n.host.Address
	}
}

// InRotation reports whether the load balancer sends requests to a node.
func (f *Fleet) InRotation(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rotation[name] != ""
}

// AwaitInRotation waits until the given number of nodes are in rotation.
func (f *Fleet) AwaitInRotation(ctx context.Context, nodes int) error {
	for len(f.Addresses()) < nodes {
		if err := core.Sleep(ctx, healthCheckInterval); err != nil {
			return errors.Wrapf(err, "%d of %d nodes are in rotation", len(f.Addresses()), nodes)
		}
	}
	return nil
}

// removeFromRotation removes a node, but not a new node of the same name that has
// replaced it.
func (f *Fleet) removeFromRotation(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rotation[name] == address {
		delete(f.rotation, name)
	}
}

// Addresses returns the addresses of the nodes in rotation.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := make([]string, 0, len(f.rotation))
	for _, address := range f.rotation {
		addresses = append(addresses, address)
	}
	return addresses
}

package guard

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Gates are the gates of a process. Each has a budget of its own, so that none can take
// what another needs.
type Gates struct {
	Callers, Peers, Readiness, Admin *Gate
}

// NewGates returns the gates for limits.
func NewGates(limits Limits, set *metrics.Set, logger logr.Logger) *Gates {
	budget := func(bytes, share int64) *Budget {
		return NewBudget(bytes, min(bytes, share), int64(limits.UnknownShare*float64(bytes)))
	}
	callers := budget(limits.CallerBytes, limits.ConnectionBytes)
	// One legal job always has room, whoever submits it.
	callers.unknownLimit = max(callers.unknownLimit, min(limits.CallerBytes, legalJobBytes))
	service := func(name string) *Gate {
		return NewGate(name, limits, limits.ServiceConnections, budget(limits.ServiceBytes, limits.ServiceBytes), set, logger)
	}
	return &Gates{
		Callers:   NewGate("callers", limits, limits.CallerConnections, callers, set, logger),
		Peers:     NewGate("peers", limits, limits.PeerConnections, budget(limits.PeerBytes, max(limits.PeerBytes/2, int64(limits.MessageBytes))), set, logger),
		Readiness: service("readiness"),
		Admin:     service("admin"),
	}
}

// checkInterval is the time between two checks of the times by which clients must have sent
// or read more.
const checkInterval = 250 * time.Millisecond

// Run disconnects clients that are too slow until ctx ends.
func (g *Gates) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, gate := range g.all() {
			gate.checkTimes()
		}
	}
}

func (g *Gates) all() []*Gate { return []*Gate{g.Callers, g.Peers, g.Readiness, g.Admin} }

// Status returns the state of all gates.
func (g *Gates) Status() []Status {
	var all []Status
	for _, gate := range g.all() {
		all = append(all, gate.Status())
	}
	return all
}

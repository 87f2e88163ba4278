package route

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/limit"
)

// Table is what a node needs to serve requests. It is never changed once it
// can be seen.
type Table struct {
	// Revision is the configuration that the table was built from.
	Revision int64
	Services map[string]*Service
}

// Service is a service as one entry node serves it.
type Service struct {
	Name   string
	Config config.Service
	// Targets are the hosts that may get new requests.
	Targets []Target
	// Routes are sorted by descending length of their paths.
	Routes []Route

	router *Router
	gate   *gate
	// bounds limit every request of the service, and batchBounds besides those
	// of Batch routes.
	bounds      []bound
	batchBounds []bound
	// neighbours are the gates of the services that share the pool or the team,
	// the own one included; a slot given back may serve any of them.
	neighbours []*gate
}

// bound is a number of slots that this node may use together with what it
// counts.
type bound struct {
	slots *limit.Slots
	share int64
}

// takeAll takes a slot of each bound, or none.
func takeAll(bounds []bound) bool {
	for i, b := range bounds {
		if !b.slots.TryTake(b.share) {
			releaseAll(bounds[:i])
			return false
		}
	}
	return true
}

func releaseAll(bounds []bound) {
	for _, b := range bounds {
		b.slots.Release()
	}
}

// boundsOf returns what limits requests of a class.
func (s *Service) boundsOf(class config.Class) []bound {
	if class == config.Batch {
		return s.batchBounds
	}
	return s.bounds
}

// gate holds what outlives the tables: who runs, and who waits by class, so
// that short work never waits behind long work.
type gate struct {
	slots       limit.Slots
	interactive limit.Queue
	batch       limit.Queue
}

// queue returns the queue of a class.
func (g *gate) queue(class config.Class) *limit.Queue {
	if class == config.Batch {
		return &g.batch
	}
	return &g.interactive
}

// wake lets the first of each class try for a slot.
func (g *gate) wake() {
	g.interactive.Wake()
	g.batch.Wake()
}

// Route is one route of a service.
type Route struct {
	Name string
	config.Route
}

// Match returns the route of a path below the service, or false.
func (s *Service) Match(path string) (Route, bool) {
	for _, route := range s.Routes {
		if strings.HasPrefix(path, route.Path) {
			return route, true
		}
	}
	return Route{}, false
}

func sortRoutes(routes map[string]config.Route) []Route {
	sorted := make([]Route, 0, len(routes))
	for name, route := range routes {
		sorted = append(sorted, Route{Name: name, Route: route})
	}
	slices.SortFunc(sorted, func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// Lease is one slot at a host, held for a request. Release gives it back.
type Lease struct {
	Upstream *Upstream
	service  *Service
	class    config.Class
}

// Release gives the slot back and lets those who wait for it try.
func (l Lease) Release() {
	l.Upstream.Slots.Release()
	releaseAll(l.service.boundsOf(l.class))
	for _, gate := range l.service.newest().neighbours {
		gate.wake()
	}
}

// Admit waits for a slot at a host other than exclude, for a request of a
// class. Its error is a core.Failure with the verdict NotRun.
func (s *Service) Admit(ctx context.Context, class config.Class, exclude *Upstream) (Lease, error) {
	if len(s.Targets) == 0 {
		return Lease{}, core.Refuse(core.CauseNoHost, retryAfter)
	}
	if len(s.Targets) == 1 {
		exclude = nil
	}
	if s.gate.queue(class).Len() == 0 {
		if lease, ok := s.newest().take(class, exclude); ok {
			return lease, nil
		}
	}
	return s.admitFromQueue(ctx, class, exclude)
}

// admitFromQueue waits for a slot behind those who came before.
func (s *Service) admitFromQueue(ctx context.Context, class config.Class, exclude *Upstream) (Lease, error) {
	var lease Lease
	try := func() bool {
		var ok bool
		lease, ok = s.newest().take(class, exclude)
		return ok
	}
	queue := s.Config.Queue
	err := s.gate.queue(class).Wait(ctx, queue.Limit, timeOf(queue.Wait), try)
	if err != nil {
		return Lease{}, refusal(err)
	}
	return lease, nil
}

// newest returns the service in the newest table, so that a request that has
// waited goes by what holds now. A service that is gone has no hosts.
func (s *Service) newest() *Service {
	if service := s.router.Table().Services[s.Name]; service != nil {
		return service
	}
	return &Service{Name: s.Name, router: s.router, gate: s.gate, neighbours: s.neighbours}
}

// take takes a slot of every bound and one at a host, or none of them.
func (s *Service) take(class config.Class, exclude *Upstream) (Lease, bool) {
	bounds := s.boundsOf(class)
	if !takeAll(bounds) {
		return Lease{}, false
	}
	upstream := s.router.chooser.Choose(s.Targets, exclude)
	if upstream == nil {
		releaseAll(bounds)
		return Lease{}, false
	}
	return Lease{Upstream: upstream, service: s, class: class}, true
}

// Running returns the requests of the service that this node runs.
func (s *Service) Running() int64 { return s.gate.slots.Used() }

// Waiting returns the requests of the service that wait at this node.
func (s *Service) Waiting() int64 { return s.gate.interactive.Len() + s.gate.batch.Len() }

// refusal turns an error of waiting into what the caller is told.
func refusal(err error) *core.Failure {
	switch {
	case errors.Is(err, limit.ErrFull):
		return core.Refuse(core.CauseQueueFull, retryAfter)
	case errors.Is(err, limit.ErrTimeout):
		return core.Refuse(core.CauseQueueTimeout, retryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return core.Refuse(core.CauseDeadline, retryAfter)
	default:
		return core.Refuse(core.CauseCancelled, 0)
	}
}

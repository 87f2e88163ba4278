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

// Table is the routing table of an entry node. It is immutable once published.
type Table struct {
	// Revision is that of the configuration that the table was built from.
	Revision int64
	Services map[string]*Service
}

// Service is the part of the routing table for one service.
type Service struct {
	Name   string
	Config config.Service
	// Targets are the hosts that may receive new requests.
	Targets []Target
	// Routes are sorted by descending length of the path, so that the longest
	// prefix matches first.
	Routes []Route

	router    *Router
	admission *admission
	// limits apply to Interactive requests. batchLimits apply to Batch requests
	// and include limits.
	limits      []slotLimit
	batchLimits []slotLimit
	// contending are the admissions of the services that share the pool or the
	// team, including this one. A released slot may serve any of them.
	contending []*admission
}

// slotLimit is a limit on slots in use, such as a quota of a service or a team.
type slotLimit struct {
	slots *limit.Slots
	// share is the number of slots that this node may use.
	share int64
}

// acquireAll acquires a slot under every limit, or none.
func acquireAll(limits []slotLimit) bool {
	for i, l := range limits {
		if !l.slots.TryAcquire(l.share) {
			releaseAll(limits[:i])
			return false
		}
	}
	return true
}

func releaseAll(limits []slotLimit) {
	for _, l := range limits {
		l.slots.Release()
	}
}

// limitsFor returns the limits that apply to requests of a class.
func (s *Service) limitsFor(class config.Class) []slotLimit {
	if class == config.Batch {
		return s.batchLimits
	}
	return s.limits
}

// admission counts the running requests of a service and queues the waiting
// ones. It is shared by successive tables. Each class has its own queue, so that
// short Interactive requests never wait behind long Batch requests.
type admission struct {
	slots       limit.Slots
	interactive limit.Queue
	batch       limit.Queue
}

func (a *admission) queue(class config.Class) *limit.Queue {
	if class == config.Batch {
		return &a.batch
	}
	return &a.interactive
}

// wake wakes the first waiter of each class.
func (a *admission) wake() {
	a.interactive.Wake()
	a.batch.Wake()
}

// Route is one route of a service.
type Route struct {
	Name string
	config.Route
}

// Match returns the route with the longest prefix of path, which is relative to
// the service, or false if there is none.
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

// Slot is a slot at a host, held by one request until Release.
type Slot struct {
	Upstream *Upstream
	service  *Service
	class    config.Class
}

// Release returns the slot and wakes the requests that may use it.
func (s Slot) Release() {
	s.Upstream.Slots.Release()
	releaseAll(s.service.limitsFor(s.class))
	for _, admission := range s.service.current().contending {
		admission.wake()
	}
}

// Admit acquires a slot for a request of the given class, waiting in the queue
// if necessary. The slot is at a host other than exclude, unless the service has
// only one host. The error is a *core.RequestError with the verdict NotRun.
func (s *Service) Admit(ctx context.Context, class config.Class, exclude *Upstream) (Slot, error) {
	if len(s.Targets) == 0 {
		return Slot{}, core.Unavailable(core.CauseNoHost, retryAfter)
	}
	if len(s.Targets) == 1 {
		exclude = nil
	}
	if s.admission.queue(class).Len() == 0 {
		if slot, ok := s.current().tryAcquire(class, exclude); ok {
			return slot, nil
		}
	}
	return s.waitForSlot(ctx, class, exclude)
}

// waitForSlot waits in the queue of the class for a slot.
func (s *Service) waitForSlot(ctx context.Context, class config.Class, exclude *Upstream) (Slot, error) {
	var slot Slot
	try := func() bool {
		var ok bool
		slot, ok = s.current().tryAcquire(class, exclude)
		return ok
	}
	queue := s.Config.Queue
	err := s.admission.queue(class).Wait(ctx, queue.Limit, toDuration(queue.Wait), try)
	if err != nil {
		return Slot{}, toRequestError(err)
	}
	return slot, nil
}

// current returns the service in the current table, since the table may have
// been replaced while a request waited. A service that was removed has no hosts.
func (s *Service) current() *Service {
	if service := s.router.Table().Services[s.Name]; service != nil {
		return service
	}
	return &Service{Name: s.Name, router: s.router, admission: s.admission, contending: s.contending}
}

// tryAcquire acquires a slot under every limit and at a host, or none of them.
func (s *Service) tryAcquire(class config.Class, exclude *Upstream) (Slot, bool) {
	limits := s.limitsFor(class)
	if !acquireAll(limits) {
		return Slot{}, false
	}
	upstream := s.router.chooser.Choose(s.Targets, exclude)
	if upstream == nil {
		releaseAll(limits)
		return Slot{}, false
	}
	return Slot{Upstream: upstream, service: s, class: class}, true
}

// Running returns the number of requests of the service in flight at this node.
func (s *Service) Running() int64 { return s.admission.slots.Used() }

// Waiting returns the number of requests of the service queued at this node.
func (s *Service) Waiting() int64 { return s.admission.interactive.Len() + s.admission.batch.Len() }

// toRequestError converts an error of limit.Queue.Wait to the one reported to
// the caller.
func toRequestError(err error) *core.RequestError {
	switch {
	case errors.Is(err, limit.ErrFull):
		return core.Unavailable(core.CauseQueueFull, retryAfter)
	case errors.Is(err, limit.ErrTimeout):
		return core.Unavailable(core.CauseQueueTimeout, retryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return core.Unavailable(core.CauseDeadline, retryAfter)
	default:
		return core.Unavailable(core.CauseCancelled, 0)
	}
}

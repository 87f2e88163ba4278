package intake

import (
	"slices"
	"sync"
	"time"

	"rattanpath/core"
	"rattanpath/queue"
	"rattanpath/sched"
)

// removedTime is for how long after its removal from the configuration a service may still run jobs:
// until its owners have read that configuration, and the leases of their hosts have expired.
const removedTime = 15 * time.Second

// serviceHistory records the services that each queue has used. When a queue moves
// to another service, its existing jobs stay with the cell that accepted them.
type serviceHistory struct {
	mu     sync.Mutex
	config *queue.Config
	// services holds the services of each queue by its key, in order of first use, and movedIn
	// the version since which it is known to use the current one.
	services map[string][]string
	movedIn  map[string]int64
	// removedAt holds when services were found to be missing from the configuration.
	removedAt map[string]time.Time
	// settled holds the services whose owners have listed the queues that they hold jobs
	// of, and unsettled the others that may hold jobs of a queue of another service.
	settled   map[string]bool
	unsettled []string
	changed   core.Signal
}

// LearnConfig records which services the queues of a configuration use, which must not
// depend on whether a request arrives while it is active. complete is false if this node may
// not have read all versions before it.
func (h *Handler) LearnConfig(config *queue.Config, complete bool) {
	h.history.update(config, complete)
}

// update records the services of a configuration, which may be older than others.
func (h *serviceHistory) update(config *queue.Config, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == config {
		return
	}
	if h.config != nil && config.Version > h.config.Version && !complete {
		// A version that this node has not read may have used other services.
		h.settled = nil
	}
	if h.config == nil || config.Version >= h.config.Version {
		h.recordMoves(config, complete)
		h.config = config
		h.recordRemoved(time.Now())
	}
	for _, q := range config.Queues {
		h.addService(q.Key(), q.Policy.Service)
	}
	h.updateUnsettled()
}

// recordMoves records in which version queues were assigned to their services, at the latest, from a
// configuration that is newer than the last one. h.mu must be held.
func (h *serviceHistory) recordMoves(config *queue.Config, complete bool) {
	if h.movedIn == nil {
		h.movedIn = make(map[string]int64)
	}
	for _, q := range config.Queues {
		var before *queue.Queue
		if h.config != nil && complete {
			before = h.config.Queue(q.Key())
		}
		if before == nil || before.Policy.Service != q.Policy.Service {
			h.movedIn[q.Key()] = config.Version
		}
	}
}

// recordRemoved records which services the newest configuration lacks. h.mu must be held.
func (h *serviceHistory) recordRemoved(now time.Time) {
	removedAt := make(map[string]time.Time)
	for _, services := range h.services {
		for _, service := range services {
			if _, exists := h.config.Service(service); exists {
				continue
			}
			removedAt[service] = now
			if before, known := h.removedAt[service]; known {
				removedAt[service] = before
			}
		}
	}
	h.removedAt = removedAt
}

// isGone reports whether a service was removed so long ago that it runs no job any more. It has no
// owner to ask. h.mu must be held.
func (h *serviceHistory) isGone(service string) bool {
	at, removed := h.removedAt[service]
	return removed && time.Since(at) > removedTime
}

// addService records that a queue has used a service. h.mu must be held.
func (h *serviceHistory) addService(key, service string) {
	if h.services == nil {
		h.services = make(map[string][]string)
	}
	if services := h.services[key]; !slices.Contains(services, service) {
		h.services[key] = append(slices.Clone(services), service)
	}
}

// addList records which queues the owner of a service holds jobs of, or takes jobs of from older nodes,
// and reports whether the list is final: an owner of an older configuration may still accept jobs of
// other queues.
func (h *serviceHistory) addList(service string, list sched.QueueList) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range slices.Concat(list.Queues, list.Open) {
		h.addService(key, service)
	}
	if list.ConfigVersion < h.config.Version {
		return false
	}
	if h.settled == nil {
		h.settled = make(map[string]bool)
	}
	h.settled[service] = true
	h.updateUnsettled()
	return true
}

// updateUnsettled determines the services that are to be asked for their queues. A service
// that all queues use can't hold a job of a queue of another one. h.mu must be held.
func (h *serviceHistory) updateUnsettled() {
	h.unsettled = nil
	for _, service := range h.config.Services {
		isOther := func(q *queue.Queue) bool { return q.Policy.Service != service.Name }
		if !h.settled[service.Name] && slices.ContainsFunc(h.config.Queues, isOther) {
			h.unsettled = append(h.unsettled, service.Name)
		}
	}
	if len(h.unsettled) > 0 {
		h.changed.Notify()
	}
}

// unsettledServices returns the services that have not listed their queues yet.
func (h *serviceHistory) unsettledServices() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.unsettled)
}

// holders is which services other than a queue's current one may hold jobs of it, at one moment.
type holders struct {
	// previous holds those that the queue has used, except those that are gone, and unsettled the
	// others that have not listed their queues yet.
	previous  []string
	unsettled []string
	// movedIn is the version of the configuration in which the queue was assigned to its newest
	// service, at the latest.
	movedIn int64
}

// all returns all services.
func (h *holders) all() []string { return slices.Concat(h.previous, h.unsettled) }

// include reports whether a service is one of them.
func (h *holders) include(service string) bool {
	return slices.Contains(h.previous, service) || slices.Contains(h.unsettled, service)
}

// holders returns the services that may hold jobs of a queue beside a current one, which is that of
// the caller's configuration. A service that lists its queues passes from unsettled to previous,
// or to neither, and the newest version may change with any call, so all is read at once.
func (h *serviceHistory) holders(key, current string) holders {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := holders{movedIn: h.movedIn[key]}
	for _, service := range h.services[key] {
		if service != current && !h.isGone(service) {
			known.previous = append(known.previous, service)
		}
	}
	for _, service := range h.unsettled {
		if service != current && !slices.Contains(known.previous, service) {
			known.unsettled = append(known.unsettled, service)
		}
	}
	return known
}

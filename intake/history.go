package intake

import (
	"slices"
	"sync"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/tasks"
)

// serviceHistory records the services that each queue has used. When a queue moves
// to another service, its existing jobs stay with the cell that accepted them.
type serviceHistory struct {
	mu     sync.Mutex
	config *queue.Config
	// services holds the services of each queue by its key, in order of first use.
	services map[string][]string
}

// LearnConfig records which services the queues of a configuration use, which must not
// depend on whether a request arrives while it is active.
func (h *Handler) LearnConfig(config *queue.Config) { h.history.update(config) }

// update records the services of a configuration, which may be older than others.
func (h *serviceHistory) update(config *queue.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == config {
		return
	}
	if h.config == nil || config.Version >= h.config.Version {
		h.config = config
	}
	if h.services == nil {
		h.services = make(map[string][]string)
	}
	for _, q := range config.Queues {
		services := h.services[q.Key()]
		if !slices.Contains(services, q.Policy.Service) {
			h.services[q.Key()] = append(slices.Clone(services), q.Policy.Service)
		}
	}
}

// previous returns the services that a queue used before its current one.
func (h *serviceHistory) previous(key string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	services := h.services[key]
	if len(services) < 2 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(services), func(service string) bool {
		return slices.ContainsFunc(h.config.Queues, func(q *queue.Queue) bool {
			return q.Key() == key && q.Policy.Service == service
		})
	})
}

// otherServices returns all services except the queue's current one and those on
// standby. A node that has just started does not know which of them the queue used
// before.
func (x *exchange) otherServices() []string {
	var others []string
	for _, service := range x.config.Services {
		if service.Name != x.queue.Policy.Service && !service.Standby {
			others = append(others, service.Name)
		}
	}
	return others
}

// findJob looks for the job at the given services and returns the one that has it.
// If none has, the outcome is UnknownJob, or another failure if some service could
// not be queried.
func (x *exchange) findJob(services []string) (string, owner.Response) {
	last := owner.Response{Outcome: owner.UnknownJob}
	for _, service := range services {
		switch response := x.callService(service, owner.MethodStatus, tasks.Plan{}); response.Outcome {
		case owner.Done:
			return service, response
		case owner.UnknownJob:
		default:
			last = response
		}
	}
	return "", last
}

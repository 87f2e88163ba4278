package intake

import (
	"slices"
	"sync"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/tasks"
)

// moved remembers which services queues had before: their jobs stay with the
// cell that took them in.
type moved struct {
	mu       sync.Mutex
	table    *queue.Config
	services map[string][]string
}

// see takes a configuration in.
func (m *moved) see(table *queue.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == table || m.table != nil && table.Version < m.table.Version {
		return
	}
	m.table = table
	if m.services == nil {
		m.services = make(map[string][]string)
	}
	for _, q := range table.Queues {
		known := m.services[q.Key()]
		if !slices.Contains(known, q.Policy.Service) {
			m.services[q.Key()] = append(slices.Clone(known), q.Policy.Service)
		}
	}
}

// former returns the services that a queue had before its present one.
func (m *moved) former(key string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.services[key]
	if len(known) < 2 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(known), func(service string) bool {
		return slices.ContainsFunc(m.table.Queues, func(q *queue.Queue) bool {
			return q.Key() == key && q.Policy.Service == service
		})
	})
}

// otherServices returns all services but the queue's own. A node that has just
// started doesn't know which of them the queue had before.
func (x *exchange) otherServices() []string {
	var others []string
	for _, service := range x.table.Services {
		if service.Name != x.queue.Policy.Service && !service.Standby {
			others = append(others, service.Name)
		}
	}
	return others
}

// find looks for the job at other services and returns the one that knows it. If
// none does, the answer is Unknown, or why that can't be said.
func (x *exchange) find(services []string) (string, owner.Answer) {
	last := owner.Answer{Outcome: owner.Unknown}
	for _, service := range services {
		switch answer := x.callService(service, owner.MethodStatus, tasks.Plan{}); answer.Outcome {
		case owner.Done:
			return service, answer
		case owner.Unknown:
		default:
			last = answer
		}
	}
	return "", last
}

package queue

import (
	"slices"
	"strings"
	"time"

	"rattanpath/tasks"
)

// Queue is a queue of jobs that callers reach under a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Timeout is how long a request of the queue may take.
	Timeout time.Duration
	Policy  tasks.Policy
}

// Key names the queue whatever its configuration says.
func (q *Queue) Key() string { return q.Host + q.Prefix }

// Service is a pool of hosts.
type Service struct {
	Name string
	// Standby means that the hosts of the pool are off.
	Standby bool
	// EnforcesCapacity means that the hosts refuse what doesn't fit.
	EnforcesCapacity bool
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It never changes.
type Config struct {
	Version  int64
	Queues   []*Queue
	Services []Service
	Limits   Limits

	byHost map[string][]*Queue
}

// NewConfig returns a table; services come out in order of their names.
func NewConfig(version int64, queues []*Queue, services []Service, limits Limits) *Config {
	t := &Config{Version: version, Queues: queues, Services: services, Limits: limits, byHost: make(map[string][]*Queue)}
	slices.SortFunc(t.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	for _, q := range queues {
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the queue with the longest prefix that a path begins with, or
// nil.
func (t *Config) Find(host, path string) *Queue {
	for _, q := range t.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Service returns a service by name.
func (t *Config) Service(name string) (Service, bool) {
	for _, service := range t.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

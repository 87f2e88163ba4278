package queue

import (
	"slices"
	"strings"
	"time"

	"rattanpath/tasks"
)

// Queue is a queue of jobs that callers address by a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Timeout is the maximum duration of a request to the queue.
	Timeout time.Duration
	// Public means that callers need no key.
	Public bool
	Policy tasks.Policy
}

// Key identifies the queue across versions of the configuration.
func (q *Queue) Key() string { return q.Host + q.Prefix }

// Service is a service whose jobs run on a pool of hosts.
type Service struct {
	Name string
	// Standby means that the hosts of the pool are off.
	Standby bool
	// EnforcesCapacity means that the hosts reject runs that exceed their
	// capacity.
	EnforcesCapacity bool
}

// Limits are the limits on callers' requests, with sizes in bytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version  int64
	Queues   []*Queue
	Services []Service
	Limits   Limits
	// RequiresKeys means that callers of queues that aren't public need the key of one of
	// Organisations.
	RequiresKeys  bool
	Organisations []Organisation

	byHost map[string][]*Queue
	// queues holds the queues by key.
	queues map[string]*Queue
	byName map[string]*Organisation
	byKey  map[KeyHash]*Organisation
	// capsSince and activeSince hold the versions of CapsSince and ActiveSince that are older than
	// this one, by organisation and service.
	capsSince, activeSince map[string]int64
}

// NewConfig returns a configuration whose services are sorted by name.
func NewConfig(version int64, queues []*Queue, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Queues: queues, Services: services, Limits: limits, byHost: make(map[string][]*Queue), queues: make(map[string]*Queue, len(queues))}
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	for _, q := range queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		if key := q.Key(); c.queues[key] == nil {
			c.queues[key] = q
		}
	}
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Find returns the queue of a host with the longest prefix that matches a path,
// or nil.
func (c *Config) Find(host, path string) *Queue {
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Queue returns the queue with a key, or nil.
func (c *Config) Queue(key string) *Queue { return c.queues[key] }

// Service returns the service with a name and whether it exists.
func (c *Config) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

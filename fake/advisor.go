package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rattanpath/core"
	"rattanpath/tasks"
)

// Advisor is a fake of the service that decides which hosts may run a step.
type Advisor struct {
	// Allows reports whether a host may run tasks, whatever their step.
	Allows func(host string) bool
	// Latency is the time that a query takes.
	Latency time.Duration
	// TicketTTL is how long a ticket is valid.
	TicketTTL time.Duration

	mu        sync.Mutex
	expiresAt map[string]time.Time
	queries   int
}

// Advise implements sched.Advisor. It returns a ticket for each allowed host.
func (a *Advisor) Advise(ctx context.Context, step tasks.ID, hosts []string) (map[string]string, error) {
	a.mu.Lock()
	latency := a.Latency
	a.mu.Unlock()
	if err := core.Sleep(ctx, latency); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queries++
	if a.expiresAt == nil {
		a.expiresAt = make(map[string]time.Time)
	}
	tickets := make(map[string]string)
	for _, host := range hosts {
		if a.Allows(host) {
			tickets[host] = fmt.Sprintf("%s/%d/%d/%s/%d", step.Job, step.Round, step.Step, host, a.queries)
			a.expiresAt[tickets[host]] = time.Now().Add(a.TicketTTL)
		}
	}
	return tickets, nil
}

// SetLatency sets the time that a query takes.
func (a *Advisor) SetLatency(latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Latency = latency
}

// Queries returns the number of queries answered so far.
func (a *Advisor) Queries() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries
}

// isValid reports whether a ticket was issued for the task's step on the host and
// hasn't expired.
func (a *Advisor) isValid(ticket string, task tasks.ID, host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var query int
	prefix := fmt.Sprintf("%s/%d/%d/%s/", task.Job, task.Round, task.Step, host)
	_, err := fmt.Sscanf(ticket, prefix+"%d", &query)
	return err == nil && time.Now().Before(a.expiresAt[ticket])
}

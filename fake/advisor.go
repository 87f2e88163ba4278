package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rattanpath/core"
	"rattanpath/tasks"
)

// Advisor is a stand-in for the service that knows which hosts may run a step.
type Advisor struct {
	// Allows says whether a host may run any step.
	Allows func(host string) bool
	// Latency is the time of an answer, and Valid how long a ticket holds.
	Latency   time.Duration
	TicketTTL time.Duration

	mu        sync.Mutex
	expiresAt map[string]time.Time
	queries   int
}

// Advise implements cell.Advisor.
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

// SetLatency sets the time of an answer.
func (a *Advisor) SetLatency(latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Latency = latency
}

// Queries returns how many questions were answered.
func (a *Advisor) Queries() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries
}

// isValid reports whether a ticket is good for a task on a host.
func (a *Advisor) isValid(ticket string, task tasks.ID, host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var query int
	prefix := fmt.Sprintf("%s/%d/%d/%s/", task.Job, task.Round, task.Step, host)
	_, err := fmt.Sscanf(ticket, prefix+"%d", &query)
	return err == nil && time.Now().Before(a.expiresAt[ticket])
}

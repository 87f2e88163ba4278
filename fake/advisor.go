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
	// Takes is the time of an answer, and Valid how long a ticket holds.
	Takes time.Duration
	Valid time.Duration

	mu    sync.Mutex
	until map[string]time.Time
	asked int
}

// Advise implements cell.Advisor.
func (a *Advisor) Advise(ctx context.Context, step tasks.ID, hosts []string) (map[string]string, error) {
	a.mu.Lock()
	takes := a.Takes
	a.mu.Unlock()
	if err := core.Sleep(ctx, takes); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	if a.until == nil {
		a.until = make(map[string]time.Time)
	}
	tickets := make(map[string]string)
	for _, host := range hosts {
		if a.Allows(host) {
			tickets[host] = fmt.Sprintf("%s/%d/%d/%s/%d", step.Job, step.Round, step.Step, host, a.asked)
			a.until[tickets[host]] = time.Now().Add(a.Valid)
		}
	}
	return tickets, nil
}

// Hurry sets the time of an answer.
func (a *Advisor) Hurry(takes time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Takes = takes
}

// Asked returns how many questions were answered.
func (a *Advisor) Asked() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked
}

// holds reports whether a ticket is good for a task on a host.
func (a *Advisor) holds(ticket string, name tasks.ID, host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var number int
	prefix := fmt.Sprintf("%s/%d/%d/%s/", name.Job, name.Round, name.Step, host)
	_, err := fmt.Sscanf(ticket, prefix+"%d", &number)
	return err == nil && time.Now().Before(a.until[ticket])
}

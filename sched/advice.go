package sched

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanpath/advice"
	"rattanpath/place"
	"rattanpath/tasks"
)

// Advisor is an external service that decides which hosts may run a step.
type Advisor interface {
	// Advise returns tickets by host ID for those of the hosts that may run the
	// step. It returns ErrAdvisorBusy if too many calls are in flight.
	Advise(ctx context.Context, step tasks.ID, hosts []string) (map[string]string, error)
}

// ErrAdvisorBusy means that the advisor accepts no more calls at present.
var ErrAdvisorBusy = errors.New("too many advisor calls are in flight")

const (
	// maxAdvisorCalls limits the calls of a cell in flight: the advisor handles
	// one at a time.
	maxAdvisorCalls = 8
	// adviceTimeoutMargin is added to the advisor's expected response time.
	adviceTimeoutMargin = 2 * time.Second
	// adviceRetryDelay is the time between a failed call and the next one.
	adviceRetryDelay = 300 * time.Millisecond
)

// stepKey identifies a step of a round.
type stepKey struct {
	round int
	step  int
}

// stepAdvice caches the advisor's decisions for a step.
type stepAdvice struct {
	cache *advice.Cache
	// pending is set while a call is in flight. retryAfter is the earliest time
	// for the next call after a failed one.
	pending    bool
	retryAfter time.Time
}

func (e *jobEntry) adviceOf(key stepKey) *stepAdvice {
	a := e.advice[key]
	if a == nil {
		if e.advice == nil {
			e.advice = make(map[stepKey]*stepAdvice)
		}
		a = &stepAdvice{cache: advice.NewCache()}
		e.advice[key] = a
	}
	return a
}

// allowedHosts returns the hosts with a valid ticket for a step, or nil if the
// step needs none.
func (c *Cell) allowedHosts(e *jobEntry, key stepKey, now time.Time) map[string]bool {
	if e.job.Policy.Advice == nil {
		return nil
	}
	allowed := make(map[string]bool)
	a := e.advice[key]
	if a == nil {
		return allowed
	}
	for id, h := range c.hosts {
		if _, valid := a.cache.Ticket(h.ticketHost(), now); valid {
			allowed[id] = true
		}
	}
	return allowed
}

// ticketHost returns the host and incarnation that a ticket is issued for.
func (h *host) ticketHost() advice.Host {
	return advice.Host{ID: h.id, Incarnation: h.currentIncarnation()}
}

// ticket returns the ticket for starting a task on a host, or "" if there is
// none.
func (c *Cell) ticket(e *jobEntry, taskID tasks.ID, h *host, now time.Time) string {
	if e.job.Policy.Advice == nil {
		return ""
	}
	ticket, _ := e.adviceOf(stepKey{taskID.Round, taskID.Step}).cache.Ticket(h.ticketHost(), now)
	return ticket
}

// requestAdvice queries the advisor for more tickets if the valid ones don't
// suffice for the waiting tasks of a step.
func (c *Cell) requestAdvice(e *jobEntry, round *tasks.Round, step int, hosts []*place.Host, now time.Time) {
	key := stepKey{round.Number, step}
	a := e.adviceOf(key)
	if a.pending || now.Before(a.retryAfter) || c.advisorCalls >= maxAdvisorCalls || c.options.Advisor == nil {
		return
	}
	queried := a.cache.HostsToQuery(c.queryCandidates(c.requirements(e, round, step, now), hosts), round.Waiting(step), now)
	if len(queried) == 0 {
		return
	}
	a.pending = true
	c.advisorCalls++
	stepID := tasks.ID{Job: e.job.Key.ID, Round: round.Number, Step: step}
	c.spawn(func(ctx context.Context) { c.callAdvisor(ctx, e, a, stepID, queried) })
}

// queryCandidates returns the hosts on which a task could run now if the advisor
// allows it, ordered by placement cost.
func (c *Cell) queryCandidates(reqs place.Requirements, hosts []*place.Host) []advice.Host {
	reqs.AllowedHosts = nil
	var feasible []*place.Host
	for _, h := range hosts {
		if place.Feasible(reqs, h) {
			feasible = append(feasible, h)
		}
	}
	slices.SortStableFunc(feasible, func(a, b *place.Host) int {
		return cmp.Compare(place.Cost(reqs, a), place.Cost(reqs, b))
	})
	var candidates []advice.Host
	for _, h := range feasible {
		candidates = append(candidates, c.hosts[h.ID].ticketHost())
	}
	return candidates
}

// callAdvisor queries the advisor about hosts and caches its decisions.
func (c *Cell) callAdvisor(ctx context.Context, e *jobEntry, a *stepAdvice, stepID tasks.ID, queried []advice.Host) {
	policy := e.job.Policy.Advice
	var ids []string
	for _, h := range queried {
		ids = append(ids, h.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, policy.Decision+time.Duration(len(ids))*policy.PerHost+adviceTimeoutMargin)
	defer cancel()
	sent := time.Now()
	tickets, err := c.options.Advisor.Advise(ctx, stepID, ids)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advisorCalls--
	a.pending = false
	if err != nil {
		a.retryAfter = time.Now().Add(adviceRetryDelay)
		c.logger.Info("advisor call failed", "job", stepID.Job, "step", stepID.Step, "hosts", len(ids), "err", err.Error())
		return
	}
	c.options.Metrics.AdviceSeconds.UpdateDuration(sent)
	a.cache.Update(queried, tickets, sent.Add(policy.Valid))
	c.logger.Info("advisor answered", "job", stepID.Job, "round", stepID.Round, "step", stepID.Step, "hosts", len(ids), "allowed", len(tickets), "took", time.Since(sent).Round(time.Millisecond))
	wake(c.scheduleWake)
}

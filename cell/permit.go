package cell

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanpath/permit"
	"rattanpath/place"
	"rattanpath/tasks"
)

// Advisor says which hosts may run a step.
type Advisor interface {
	// Advise returns the tickets, by ID, of those of the hosts that may run the
	// step of a task. The error is ErrAdvisorBusy if it takes no more questions.
	Advise(ctx context.Context, step tasks.ID, hosts []string) (map[string]string, error)
}

// ErrAdvisorBusy means that too many questions wait at the advisor.
var ErrAdvisorBusy = errors.New("too many questions wait at the advisor")

const (
	// maxQuestions bounds the questions that a cell has under way: the advisor
	// answers one at a time.
	maxQuestions = 8
	// adviceSlack is the time of a question beside the advisor's own.
	adviceSlack = 2 * time.Second
	// adviceRetry is the time after a question that was not answered.
	adviceRetry = 300 * time.Millisecond
)

// stepKey names a step of a round.
type stepKey struct {
	round int
	step  int
}

// advice is what the advisor has said of a step.
type advice struct {
	book *permit.Cache
	// asking means that a question is under way, and askAfter when the next may be.
	asking   bool
	askAfter time.Time
}

func (e *entry) adviceOf(key stepKey) *advice {
	a := e.advice[key]
	if a == nil {
		if e.advice == nil {
			e.advice = make(map[stepKey]*advice)
		}
		a = &advice{book: permit.NewCache()}
		e.advice[key] = a
	}
	return a
}

// permitted returns the hosts that may run a step, or nil if all may.
func (c *Cell) permitted(e *entry, key stepKey, now time.Time) map[string]bool {
	if e.job.Policy.Advice == nil {
		return nil
	}
	allowed := make(map[string]bool)
	book := e.adviceOf(key).book
	for id, h := range c.hosts {
		if _, holds := book.Ticket(h.permit(), now); holds {
			allowed[id] = true
		}
	}
	return allowed
}

// permit returns the host as the advisor's tickets name it.
func (h *host) permit() permit.Host { return permit.Host{ID: h.id, Incarnation: h.life()} }

// ticket returns the ticket with which a task is started on a host.
func (c *Cell) ticket(e *entry, name tasks.ID, h *host, now time.Time) string {
	if e.job.Policy.Advice == nil {
		return ""
	}
	text, _ := e.adviceOf(stepKey{name.Round, name.Step}).book.Ticket(h.permit(), now)
	return text
}

// seekAdvice asks the advisor about hosts for the tasks of a step that wait, if
// the tickets at hand aren't enough.
func (c *Cell) seekAdvice(e *entry, round *tasks.Round, step int, hosts []*place.Host, now time.Time) {
	key := stepKey{round.Number, step}
	a := e.adviceOf(key)
	if a.asking || now.Before(a.askAfter) || c.questions >= maxQuestions || c.options.Advisor == nil {
		return
	}
	asked := a.book.HostsToQuery(c.askable(c.need(e, round, step, now), hosts), round.Waiting(step), now)
	if len(asked) == 0 {
		return
	}
	a.asking = true
	c.questions++
	name := tasks.ID{Job: e.job.Key.ID, Round: round.Number, Step: step}
	c.goRun(func(ctx context.Context) { c.askAdvisor(ctx, e, a, name, asked) })
}

// askable returns the hosts on which a task could run now, the best first.
func (c *Cell) askable(need place.Requirements, hosts []*place.Host) []permit.Host {
	need.AllowedHosts = nil
	var fit []*place.Host
	for _, h := range hosts {
		if place.Feasible(need, h) {
			fit = append(fit, h)
		}
	}
	slices.SortStableFunc(fit, func(a, b *place.Host) int {
		return cmp.Compare(place.Cost(need, a), place.Cost(need, b))
	})
	var askable []permit.Host
	for _, h := range fit {
		askable = append(askable, c.hosts[h.ID].permit())
	}
	return askable
}

// askAdvisor asks the advisor about hosts and notes the answer.
func (c *Cell) askAdvisor(ctx context.Context, e *entry, a *advice, name tasks.ID, asked []permit.Host) {
	policy := e.job.Policy.Advice
	var ids []string
	for _, h := range asked {
		ids = append(ids, h.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, policy.Decision+time.Duration(len(ids))*policy.PerHost+adviceSlack)
	defer cancel()
	sent := time.Now()
	tickets, err := c.options.Advisor.Advise(ctx, name, ids)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.questions--
	a.asking = false
	if err != nil {
		a.askAfter = time.Now().Add(adviceRetry)
		c.logger.Info("the advisor did not answer", "job", name.Job, "step", name.Step, "hosts", len(ids), "err", err.Error())
		return
	}
	c.options.Meters.Advice.UpdateDuration(sent)
	a.book.Update(asked, tickets, sent.Add(policy.Valid))
	c.logger.Info("the advisor answered", "job", name.Job, "round", name.Round, "step", name.Step, "hosts", len(ids), "allowed", len(tickets), "took", time.Since(sent).Round(time.Millisecond))
	kick(c.placeKick)
}

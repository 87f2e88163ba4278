package intake

import (
	"sync"
	"time"

	"rattanpath/owner"
	"rattanpath/tasks"
)

// overloadedServices remembers the services whose owners have just refused a job because
// of overload. Further jobs are refused here until then: forwarding their bodies would
// only add to the load of the owner's link.
type overloadedServices struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// record remembers that the owner of a service is overloaded, for as long as callers
// are asked to wait.
func (o *overloadedServices) record(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until == nil {
		o.until = make(map[string]time.Time)
	}
	o.until[service] = time.Now().Add(retryAfter)
}

// contains reports whether the owner of a service is overloaded.
func (o *overloadedServices) contains(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Now().Before(o.until[service])
}

// submitPlan submits a job to its owner, or refuses it if the owner is overloaded. A
// job that was accepted before is not refused, even if its response was lost.
func (x *exchange) submitPlan(plan tasks.Plan) owner.Response {
	service := x.queue.Policy.Service
	if x.overloaded.contains(service) {
		response := x.callOwner(owner.MethodStatus, tasks.Plan{})
		if response.Outcome == owner.UnknownJob {
			response.Outcome = owner.Overloaded
		}
		return response
	}
	response := x.callOwner(owner.MethodSubmit, plan)
	if response.Outcome == owner.Overloaded {
		x.overloaded.record(service)
	}
	return response
}

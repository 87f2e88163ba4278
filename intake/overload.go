package intake

import (
	"sync"
	"time"

	"rattanpath/owner"
	"rattanpath/tasks"
)

// overloadedQueues remembers the queues whose owners have just refused a job because of
// overload. Further jobs of that size are refused here until callers return: forwarding
// their bodies would only add to the load of the owner's link. The owner may still
// accept smaller ones.
type overloadedQueues struct {
	mu sync.Mutex
	// refusals holds the last refusal by overloadKey.
	refusals map[string]refusal
}

// refusal means that jobs of at least a size are refused until a time.
type refusal struct {
	size  int
	until time.Time
	// wait is how long callers are asked to wait, 0 for the usual time.
	wait time.Duration
}

// record remembers that an owner has refused a job with an overload key and a size, for as long
// as callers are usually asked to wait, and the wait that the owner asks for.
func (o *overloadedQueues) record(key string, size int, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refusals == nil {
		o.refusals = make(map[string]refusal)
	}
	o.refusals[key] = refusal{size: size, until: time.Now().Add(retryAfter), wait: wait}
}

// refuses reports whether the owner would refuse a job with an overload key and a size, and the
// wait that it asked for.
func (o *overloadedQueues) refuses(key string, size int) (wait time.Duration, refuses bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.refusals[key]
	return last.wait, size >= last.size && time.Now().Before(last.until)
}

// commandOverhead is the approximate size of a start command without its spec, in bytes.
const commandOverhead = 500

// startSize returns the approximate size of a job's start commands, in bytes.
func startSize(plan tasks.Plan) int { return countTasks(plan) * (commandOverhead + len(plan.Spec)) }

// countTasks returns the number of tasks of one round of a job.
func countTasks(plan tasks.Plan) int {
	count := 0
	for i := range plan.Steps {
		count += plan.Steps[i].Count
	}
	return count
}

// overloadKey identifies the queue and the organisation for which refusals are remembered: an
// owner refuses organisations by their share, so that others of the queue may be accepted.
func (x *exchange) overloadKey() string { return x.queue.Key() + " " + x.organisation }

// submitPlan submits a job to its owner, or refuses it if the owner is overloaded. A
// job that was accepted before is not refused, even if its response was lost.
func (x *exchange) submitPlan(plan tasks.Plan) owner.Response {
	key, size := x.overloadKey(), startSize(plan)
	if wait, refuses := x.overloaded.refuses(key, size); refuses {
		response := x.callOwner(owner.MethodStatus, tasks.Plan{})
		if response.Outcome == owner.UnknownJob {
			response.Outcome, response.RetryAfter = owner.Overloaded, wait
		}
		return response
	}
	response := x.callOwner(owner.MethodSubmit, plan)
	if response.Outcome == owner.Overloaded {
		x.overloaded.record(key, size, response.RetryAfter)
	}
	return response
}

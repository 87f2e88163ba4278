package intake

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/tasks"
	"rattanpath/views"
)

// maxServicesAsked limits the owners that are asked for one explanation.
const maxServicesAsked = 16

// Previewer asks the owner of a service what it would do with a request.
type Previewer interface {
	Preview(ctx context.Context, request owner.Request) (owner.Response, error)
}

// Explain returns what this node and the owners would do with a request now. Nothing is done,
// stored, logged or counted.
func (h *Handler) Explain(ctx context.Context, owners Previewer, request views.ExplainRequest) views.Explanation {
	x := &explainer{owners: owners, request: request}
	x.exchange = &exchange{Handler: h, config: h.config.Config(), keyHash: request.KeyHash}
	x.explain(ctx)
	return x.view
}

// explainer holds the state of one explanation.
type explainer struct {
	*exchange
	owners  Previewer
	request views.ExplainRequest
	view    views.Explanation
}

// respond records the response that the caller would get.
func (x *explainer) respond(status int, reason string) { x.view.Status, x.view.Reason = status, reason }

// explain follows the steps of Handler.serve.
func (x *explainer) explain(ctx context.Context) {
	if x.config == nil {
		x.respond(http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	x.view.Version = x.config.Version
	target, err := url.ParseRequestURI(x.request.Path)
	if err != nil || !strings.HasPrefix(x.request.Path, "/") {
		x.respond(http.StatusBadRequest, "the path must begin with / and be encoded as in a URL")
		return
	}
	if x.queue = findQueue(x.config, x.request.Host, target.Path); x.queue == nil {
		x.respond(http.StatusNotFound, noQueue)
		return
	}
	x.view.Queue, x.view.Service, x.view.Priority = x.queue.Name, x.queue.Policy.Service, x.queue.Policy.Priority
	if !x.explainKey() {
		return
	}
	x.id = strings.TrimPrefix(target.Path, x.queue.Prefix)
	requested, status, reason := operationOf(x.request.Method, x.id)
	if requested == "" {
		x.respond(status, reason)
		return
	}
	x.view.Operation, x.view.JobID = string(requested), x.id
	x.explainOperation(ctx, requested)
}

// explainKey reports whether the caller's key admits it to the queue.
func (x *explainer) explainKey() bool {
	organisation, refused := identify(x.config, x.queue, x.keyHash)
	x.organisation, x.view.Organisation = organisation, organisation
	x.view.Key = describeKey(x.config, x.keyHash, organisation, refused)
	if refused != "" {
		x.respond(http.StatusUnauthorized, keyRefusal(refused))
		return false
	}
	return true
}

// describeKey returns the result of identify as a text.
func describeKey(config *queue.Config, keyHash []byte, organisation, refused string) string {
	switch {
	case !config.RequiresKeys:
		return "not needed: the configuration has no organisations"
	case organisation != "":
		return "valid"
	case refused != "":
		return refused
	case len(keyHash) == 0:
		return "none, and the queue is public"
	default:
		return "unknown, and the queue is public"
	}
}

func (x *explainer) explainOperation(ctx context.Context, requested operation) {
	switch requested {
	case submitOperation:
		x.explainSubmit(ctx)
	case pendingOperation:
		x.view.Asked = x.jobServices(x.holders())
		x.respond(http.StatusOK, "the sum of what these services hold")
	default:
		x.explainQuery(ctx, requested)
	}
}

// explainQuery follows the steps of exchange.getStatus and exchange.cancel.
func (x *explainer) explainQuery(ctx context.Context, requested operation) {
	found, ok := x.findPreview(ctx, []string{x.queue.Policy.Service})
	undecided := x.view.Status == http.StatusServiceUnavailable || x.view.Status == http.StatusGatewayTimeout
	if found || !ok && !(undecided && requested == cancelOperation) {
		return
	}
	current := x.view
	if found, others := x.findPreview(ctx, x.otherServices(x.holders())); found || !others {
		return
	}
	if !ok {
		x.respond(current.Status, current.Reason)
		x.view.RetryAfter, x.view.Placement = current.RetryAfter, current.Placement
		return
	}
	x.respond(failure(owner.UnknownJob, x.request.Method))
}

// explainSubmit follows the steps of exchange.submit.
func (x *explainer) explainSubmit(ctx context.Context) {
	limit := bodyLimit(x.config)
	if int64(len(x.request.Body)) > limit {
		x.view.Body = bodyTooLarge(limit)
		x.respond(http.StatusRequestEntityTooLarge, x.view.Body)
		return
	}
	_, err := x.codec.JobSize(x.request.Body)
	var plan tasks.Plan
	if err == nil {
		plan, err = x.codec.DecodeJob(x.request.Body)
	}
	if err != nil {
		x.view.Body = err.Error()
		x.respond(http.StatusBadRequest, x.view.Body)
		return
	}
	x.view.Body = describePlan(plan)
	for _, services := range x.earlierServices() {
		if found, ok := x.findPreview(ctx, services); found || !ok {
			return
		}
	}
	response, ok := x.preview(ctx, x.queue.Policy.Service, plan)
	if !ok {
		return
	}
	wait, refuses := x.overloaded.refuses(x.overloadKey(), startSize(plan))
	switch {
	case refuses && isUnknownJob(response):
		x.view.RetryAfter = max(retryAfter, wait)
		x.respond(failure(owner.Overloaded, x.request.Method))
		x.view.Reason += "; this node refuses such jobs for a moment since the owner has refused one"
	case response.Outcome == owner.Done:
		x.respond(http.StatusOK, describeSubmitted(response.Preview))
	default:
		x.respondTo(response)
	}
}

// isUnknownJob reports whether the owner would tell submitPlan that it has no such job. Jobs that
// exist are not refused because of an earlier overload.
func isUnknownJob(response owner.Response) bool {
	switch response.Outcome {
	case owner.Done, owner.Overloaded, owner.IDConflict, owner.Reassigned:
		return response.Preview != nil && response.Preview.Job == ""
	default:
		return false
	}
}

// earlierServices returns the groups of services that findEarlier asks one after the other.
func (x *explainer) earlierServices() [][]string {
	known := x.holders()
	groups := [][]string{known.previous}
	for _, service := range known.unsettled {
		groups = append(groups, []string{service})
	}
	return groups
}

// findPreview looks for the job at services, as findJob does, and reports whether one has it. ok
// is false if none has and some owner could not answer. The response is recorded in both cases.
func (x *explainer) findPreview(ctx context.Context, services []string) (found, ok bool) {
	ok = true
	for _, service := range services {
		response, answered := x.preview(ctx, service, tasks.Plan{})
		preCancelled := response.Preview != nil && response.Preview.PreCancelled
		switch {
		case !answered:
			ok = false
		case response.Outcome == owner.Done, preCancelled && x.request.Method == http.MethodPost:
			x.respond(http.StatusOK, describeSubmitted(response.Preview))
			x.view.RetryAfter = 0
			return true, true
		case response.Outcome == owner.UnknownJob:
			x.view.Placement = nil
		default:
			x.respondTo(response)
			ok = false
		}
	}
	return false, ok
}

// preview asks the owner of a service. It returns false, and records the response, if the owner
// could not be asked.
func (x *explainer) preview(ctx context.Context, service string, plan tasks.Plan) (owner.Response, bool) {
	if len(x.view.Asked) >= maxServicesAsked {
		x.respond(http.StatusServiceUnavailable, fmt.Sprintf("unknown: more than %d services would have to be asked", maxServicesAsked))
		return owner.Response{}, false
	}
	x.view.Asked = append(x.view.Asked, service)
	response, err := x.owners.Preview(ctx, x.ownerRequest(service, plan))
	if err != nil {
		x.respond(http.StatusServiceUnavailable, fmt.Sprintf("unknown: the owner of service %s could not be asked: %v", service, err))
		return owner.Response{}, false
	}
	x.view.Placement = response.Preview
	return response, true
}

// respondTo records the response for an outcome other than Done.
func (x *explainer) respondTo(response owner.Response) {
	x.respond(failure(response.Outcome, x.request.Method))
	if p := response.Preview; p != nil && p.Refused != "" {
		x.view.Reason += ": " + p.Refused
	}
	if x.view.Status == http.StatusServiceUnavailable {
		x.view.RetryAfter = retryAfter
		if response.Preview != nil {
			x.view.RetryAfter = max(retryAfter, response.Preview.RetryAfter)
		}
	}
}

// describePlan describes a valid job.
func describePlan(plan tasks.Plan) string {
	return fmt.Sprintf("a valid job: steps %d, tasks %d, rounds %d", len(plan.Steps), countTasks(plan), max(1, plan.Repeats))
}

// describeSubmitted says what a positive response means.
func describeSubmitted(p *views.Placement) string {
	switch {
	case p == nil || p.Job == "":
		return "the job would be accepted"
	case p.PreCancelled:
		return "the job was cancelled before it was submitted: nothing would run"
	default:
		return "a job of that ID exists"
	}
}

package intake

import (
	"slices"

	"rattanpath/owner"
	"rattanpath/tasks"
)

// holders returns the services that may hold jobs of the exchange's queue. One decision must be made
// from one such value: services list their queues at any time.
func (x *exchange) holders() holders {
	return x.history.holders(x.queue.Key(), x.queue.Policy.Service)
}

// otherServices returns all services except the queue's current one, and except those on
// standby that can't hold jobs of the queue.
func (x *exchange) otherServices(known holders) []string {
	var others []string
	for _, service := range x.config.Services {
		if service.Name != x.queue.Policy.Service && (!service.Standby || known.include(service.Name)) {
			others = append(others, service.Name)
		}
	}
	return others
}

// jobServices returns the services of the configuration that may hold jobs of the queue,
// its current one first. Those that were removed run nothing and have no owner to ask.
func (x *exchange) jobServices(known holders) []string {
	services := []string{x.queue.Policy.Service}
	for _, service := range known.all() {
		if _, exists := x.config.Service(service); exists {
			services = append(services, service)
		}
	}
	return services
}

// servicesWithoutJobs returns the services that findEarlier doesn't ask since they are not known to
// hold jobs of the queue, except those on standby.
func (x *exchange) servicesWithoutJobs(known holders) []string {
	return slices.DeleteFunc(x.otherServices(known), known.include)
}

// search is the result of looking for a job at several services.
type search struct {
	// service is the one that has the job, empty if none is known to have it.
	service string
	// preCancelled is whether the job was cancelled at one of the services before it was submitted.
	preCancelled bool
	// response is that of the service. If there is none, its outcome is UnknownJob, or another
	// failure if some service could not be queried.
	response owner.Response
}

// isComplete reports whether the search needn't go on for a job that is about to be submitted.
func (s *search) isComplete() bool {
	return s.service != "" || s.preCancelled || s.response.Outcome != owner.UnknownJob
}

// merge adds the result of looking at further services, unless the job was found before.
func (s *search) merge(further search) {
	s.preCancelled = s.preCancelled || further.preCancelled
	if s.service == "" && (further.service != "" || s.response.Outcome == owner.UnknownJob) {
		s.service, s.response = further.service, further.response
	}
}

// findEarlier looks for a job that is about to be submitted, or cancelled in advance, at the services
// that may have accepted it before, and makes them take no more jobs of the queue from nodes that
// don't know yet that it has moved. Of those that have not listed their queues yet, the first that
// doesn't answer is enough to refuse the job.
func (x *exchange) findEarlier() search {
	known := x.holders()
	found := x.findJob(known.previous, known.movedIn)
	for _, other := range known.unsettled {
		if found.isComplete() {
			break
		}
		found.merge(x.findJob([]string{other}, known.movedIn))
	}
	return found
}

// findElsewhere looks for a job that is about to be cancelled at all services but the queue's current
// one. Services that may have accepted it take no more jobs of the queue, as with findEarlier.
func (x *exchange) findElsewhere() search {
	known := x.holders()
	found := x.findJob(known.all(), known.movedIn)
	if found.service == "" {
		found.merge(x.findJob(x.servicesWithoutJobs(known), 0))
	}
	return found
}

// findJob looks for the job at the given services, until one has it. For movedIn see owner.Request.
func (x *exchange) findJob(services []string, movedIn int64) search {
	found := search{response: owner.Response{Outcome: owner.UnknownJob}}
	for _, service := range services {
		request := x.ownerRequest(service, tasks.Plan{})
		request.MovedIn = movedIn
		response := x.call(owner.MethodStatus, request)
		switch {
		case response.Outcome == owner.Done:
			found.service, found.response = service, response
			return found
		case response.Outcome == owner.UnknownJob:
			found.preCancelled = found.preCancelled || response.Status.PreCancelled
		default:
			found.response = response
		}
	}
	return found
}

package intake

import (
	"slices"

	"rattanpath/owner"
	"rattanpath/tasks"
)

// otherServices returns all services except the queue's current one, and except those on
// standby that are not known to hold jobs of the queue.
func (x *exchange) otherServices() []string {
	var others []string
	previous := x.history.previous(x.queue.Key())
	for _, service := range x.config.Services {
		if service.Name != x.queue.Policy.Service && (!service.Standby || slices.Contains(previous, service.Name)) {
			others = append(others, service.Name)
		}
	}
	return others
}

// jobServices returns the services of the configuration that may hold jobs of the queue,
// its current one first. Those that were removed run nothing and have no owner to ask.
func (x *exchange) jobServices() []string {
	current := x.queue.Policy.Service
	services := []string{current}
	for _, service := range append(x.history.previous(x.queue.Key()), x.history.unsettledServices(current)...) {
		if _, exists := x.config.Service(service); exists && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// servicesWithoutJobs returns the services that findEarlier doesn't ask since they are not known to
// hold jobs of the queue, except those on standby.
func (x *exchange) servicesWithoutJobs() []string {
	asked := x.jobServices()
	return slices.DeleteFunc(x.otherServices(), func(service string) bool { return slices.Contains(asked, service) })
}

// findEarlier looks for a job that is about to be submitted, or cancelled in advance, at the services
// that may have accepted it before, and makes them take no more jobs of the queue from nodes that
// don't know yet that it has moved. Of those that have not listed their queues yet, the first that
// doesn't answer is enough to refuse the job.
func (x *exchange) findEarlier() (string, owner.Response) {
	movedIn := x.history.lastMove(x.queue.Key())
	service, response := x.findJob(x.history.previous(x.queue.Key()), movedIn)
	for _, other := range x.history.unsettledServices(x.queue.Policy.Service) {
		if service != "" || response.Outcome != owner.UnknownJob {
			break
		}
		service, response = x.findJob([]string{other}, movedIn)
	}
	return service, response
}

// findJob looks for the job at the given services and returns the one that has it, or
// where it was cancelled before it was submitted, with outcome UnknownJob. If none has, the
// outcome is UnknownJob, or another failure if some service could not be queried. For movedIn see
// owner.Request.
func (x *exchange) findJob(services []string, movedIn int64) (string, owner.Response) {
	last := owner.Response{Outcome: owner.UnknownJob}
	for _, service := range services {
		request := x.ownerRequest(service, tasks.Plan{})
		request.MovedIn = movedIn
		response := x.call(owner.MethodStatus, request)
		switch {
		case response.Outcome == owner.Done, response.Status.PreCancelled:
			return service, response
		case response.Outcome == owner.UnknownJob:
		default:
			last = response
		}
	}
	return "", last
}

package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/sched"
)

// Service serves calls from other nodes over net/rpc.
type Service struct {
	supervisor *Supervisor
}

// NewService returns the RPC service of a node's supervisor.
func NewService(supervisor *Supervisor) *Service { return &Service{supervisor: supervisor} }

// minTimeout is the shortest timeout sent with a request.
const minTimeout = time.Millisecond

// withCell calls the cell of the requested service. The outcome is NotOwner if
// this node does not run it.
func (s *Service) withCell(request *Request, response *Response, call func(ctx context.Context, c *sched.Cell) error) error {
	c := s.supervisor.Cell(request.Service)
	if c == nil {
		response.Outcome = NotOwner
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	defer cancel()
	response.Outcome = outcomeFor(call(ctx, c))
	return nil
}

// withCaller calls withCell on behalf of the caller of a request. The outcome is
// Unauthorised if this node's configuration doesn't accept its key.
func (s *Service) withCaller(request *Request, response *Response, call func(ctx context.Context, c *sched.Cell, caller sched.Caller) error) error {
	caller, accepted := s.caller(request)
	if !accepted {
		response.Outcome = Unauthorised
		return nil
	}
	return s.withCell(request, response, func(ctx context.Context, c *sched.Cell) error { return call(ctx, c, caller) })
}

// caller returns the caller of a request, and whether it may use the queue. Its key is
// checked again if this node has a newer configuration than the one that has forwarded
// the request, so that a withdrawn key is refused as soon as either node knows of it.
func (s *Service) caller(request *Request) (caller sched.Caller, accepted bool) {
	caller.ConfigVersion = request.ConfigVersion
	config := s.supervisor.config.Config()
	switch {
	case request.Operator:
		return caller, true
	case config == nil || config.Version <= request.ConfigVersion:
		caller.Restricted, caller.Organisation = request.KeysRequired, request.Policy.Organisation
		return caller, true
	case !config.RequiresKeys:
		return caller, true
	}
	caller.Restricted = true
	if organisation := config.KeyHolderByHash(request.KeyHash); organisation != nil {
		caller.Organisation = organisation.Name
		return caller, true
	}
	q := config.Queue(request.Key.Queue)
	return caller, q != nil && q.Public
}

// Submit submits a job. A plan that can't be run is an error: it may come from a node
// of another version.
func (s *Service) Submit(request *Request, response *Response) error {
	if err := request.Plan.CheckSteps(); err != nil {
		return err
	}
	return s.withCaller(request, response, func(ctx context.Context, c *sched.Cell, caller sched.Caller) error {
		policy := request.Policy
		policy.Organisation = caller.Organisation
		err := c.Submit(ctx, caller, request.Key, request.Plan, policy)
		var overload *sched.OverloadError
		if errors.As(err, &overload) {
			response.RetryAfter = overload.RetryAfter
		}
		return err
	})
}

// Status returns the status of a job.
func (s *Service) Status(request *Request, response *Response) error {
	return s.withCaller(request, response, func(ctx context.Context, c *sched.Cell, caller sched.Caller) (err error) {
		if request.MovedIn > 0 {
			if err := c.RecordMove(ctx, request.Key.Queue, request.MovedIn); err != nil {
				return err
			}
		}
		response.Status, err = c.Status(ctx, caller, request.Key)
		return err
	})
}

// Cancel cancels a job.
func (s *Service) Cancel(request *Request, response *Response) error {
	return s.withCaller(request, response, func(ctx context.Context, c *sched.Cell, caller sched.Caller) error {
		if request.MustExist {
			return c.CancelExisting(ctx, caller, request.Key)
		}
		return c.Cancel(ctx, caller, request.Key)
	})
}

// Pending counts the jobs of a queue that have not started.
func (s *Service) Pending(request *Request, response *Response) error {
	return s.withCaller(request, response, func(_ context.Context, c *sched.Cell, _ sched.Caller) (err error) {
		response.Pending, err = c.Pending(request.Key.Queue)
		return err
	})
}

// Queues returns the queues that the cell of a service holds jobs of.
func (s *Service) Queues(request *Request, response *Response) error {
	return s.withCell(request, response, func(ctx context.Context, c *sched.Cell) (err error) {
		response.Queues, err = c.Queues(ctx)
		return err
	})
}

// Report returns the status of a service's pool.
func (s *Service) Report(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) (err error) {
		response.Report, err = c.Report()
		return err
	})
}

// Cordon stops the placement of new runs on hosts.
func (s *Service) Cordon(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) (err error) {
		response.Hosts, err = c.Cordon(request.Hosts, request.Length, request.Vacate)
		return err
	})
}

// Retire records that the machines of hosts have left the pool.
func (s *Service) Retire(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) error {
		return c.Retire(request.retired())
	})
}

// Allot replaces what the machine controller's leader lends to a cell.
func (s *Service) Allot(request *Request, response *Response) error {
	if request.Allotment == nil {
		return errors.New("the call has no allotment")
	}
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) error {
		return c.Allot(*request.Allotment)
	})
}

// Jobs lists the jobs of a service.
func (s *Service) Jobs(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) (err error) {
		response.Jobs, err = c.Jobs()
		return err
	})
}

// Explain returns the details of a job.
func (s *Service) Explain(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) (err error) {
		response.Detail, err = c.Explain(request.Key.ID)
		return err
	})
}

// Pool returns the cell's view of the service's hosts.
func (s *Service) Pool(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) (err error) {
		response.Pool, err = c.Pool()
		return err
	})
}

// Organisations returns the cell's view of organisations.
func (s *Service) Organisations(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *sched.Cell) error {
		view, err := c.Organisations()
		response.Organisations = &view
		return err
	})
}

// Preview returns what the cell would do with a job, or with a query for one if the plan has no
// steps, without doing it.
func (s *Service) Preview(request *Request, response *Response) error {
	if len(request.Plan.Steps) > 0 {
		if err := request.Plan.CheckSteps(); err != nil {
			return err
		}
	}
	return s.withCaller(request, response, func(_ context.Context, c *sched.Cell, caller sched.Caller) (err error) {
		policy := request.Policy
		policy.Organisation = caller.Organisation
		response.Preview, err = c.Preview(caller, request.Key, request.Plan, policy)
		return err
	})
}

// Await waits for up to awaitTime until this node runs the cell of the requested
// service. The outcome is NotOwner if it doesn't.
func (s *Service) Await(request *Request, response *Response) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(request.Timeout, awaitTime))
	defer cancel()
	if !s.supervisor.awaitCell(ctx, request.Service) {
		response.Outcome = NotOwner
	}
	return nil
}

// Hurry makes this node renew its membership soon, because another one has
// released partitions.
func (s *Service) Hurry(_ *Request, _ *Response) error {
	s.supervisor.RenewNow()
	return nil
}

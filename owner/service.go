package owner

import (
	"context"
	"time"

	"rattanpath/cell"
)

// Service answers other nodes over net/rpc.
type Service struct {
	owner *Owner
}

// NewService returns the service of a node's owner.
func NewService(owner *Owner) *Service { return &Service{owner: owner} }

// find returns the cell that a request is about, and the time that it has.
func (s *Service) find(request *Request) (*cell.Cell, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	return s.owner.Cell(request.Service), ctx, cancel
}

// Submit takes a job in; net/rpc gives it its shape.
func (s *Service) Submit(request *Request, answer *Answer) error {
	c, ctx, cancel := s.find(request)
	defer cancel()
	if c == nil {
		answer.Outcome = NotOwner
		return nil
	}
	answer.Outcome = outcomeOf(c.Submit(ctx, request.Key, request.Plan, request.Policy))
	return nil
}

// Status says how far a job is.
func (s *Service) Status(request *Request, answer *Answer) error {
	c, ctx, cancel := s.find(request)
	defer cancel()
	if c == nil {
		answer.Outcome = NotOwner
		return nil
	}
	status, err := c.Status(ctx, request.Key)
	answer.Outcome, answer.Status = outcomeOf(err), status
	return nil
}

// Cancel ends a job.
func (s *Service) Cancel(request *Request, answer *Answer) error {
	c, ctx, cancel := s.find(request)
	defer cancel()
	if c == nil {
		answer.Outcome = NotOwner
		return nil
	}
	answer.Outcome = outcomeOf(c.Cancel(ctx, request.Key))
	return nil
}

// Pending counts the jobs of a queue that have not begun.
func (s *Service) Pending(request *Request, answer *Answer) error {
	c, _, cancel := s.find(request)
	defer cancel()
	if c == nil {
		answer.Outcome = NotOwner
		return nil
	}
	count, err := c.Pending(request.Key.Queue)
	answer.Outcome, answer.Pending = outcomeOf(err), count
	return nil
}

// Report says how the pool of a service stands.
func (s *Service) Report(request *Request, answer *Answer) error {
	c, _, cancel := s.find(request)
	defer cancel()
	if c == nil {
		answer.Outcome = NotOwner
		return nil
	}
	report, err := c.Report()
	answer.Outcome, answer.Report = outcomeOf(err), report
	return nil
}

// Cordon keeps new runs off hosts.
func (s *Service) Cordon(request *Request, answer *Answer) error {
	c, _, cancel := s.find(request)
	defer cancel()
	if c == nil {
		answer.Outcome = NotOwner
		return nil
	}
	hosts, err := c.Cordon(request.Hosts, request.Length, request.Vacate)
	answer.Outcome, answer.Hosts = outcomeOf(err), hosts
	return nil
}

// Retire notes that the machines of hosts are out of the pool.
func (s *Service) Retire(request *Request, answer *Answer) error {
	c, _, cancel := s.find(request)
	defer cancel()
	if c == nil {
		answer.Outcome = NotOwner
		return nil
	}
	answer.Outcome = outcomeOf(c.Retire(request.Hosts))
	return nil
}

// Hurry tells this node that another one has given partitions up.
func (s *Service) Hurry(_ *Request, _ *Answer) error {
	s.owner.Hurry()
	return nil
}

// minTimeout keeps the time of a call positive.
const minTimeout = time.Millisecond

package owner

import (
	"context"
	"time"

	"rattanpath/cell"
)

// Service answers other nodes over net/rpc, which gives its methods their shape.
type Service struct {
	supervisor *Supervisor
}

// NewService returns the service of a node's owner.
func NewService(supervisor *Supervisor) *Service { return &Service{supervisor: supervisor} }

// minTimeout keeps the time of a call positive.
const minTimeout = time.Millisecond

// withCell makes a call of the cell that a request is about, if this node has it.
func (s *Service) withCell(request *Request, response *Response, call func(ctx context.Context, c *cell.Cell) error) error {
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

// Submit takes a job in.
func (s *Service) Submit(request *Request, response *Response) error {
	return s.withCell(request, response, func(ctx context.Context, c *cell.Cell) error {
		return c.Submit(ctx, request.Key, request.Plan, request.Policy)
	})
}

// Status says how far a job is.
func (s *Service) Status(request *Request, response *Response) error {
	return s.withCell(request, response, func(ctx context.Context, c *cell.Cell) (err error) {
		response.Status, err = c.Status(ctx, request.Key)
		return err
	})
}

// Cancel ends a job.
func (s *Service) Cancel(request *Request, response *Response) error {
	return s.withCell(request, response, func(ctx context.Context, c *cell.Cell) error {
		return c.Cancel(ctx, request.Key)
	})
}

// Pending counts the jobs of a queue that have not begun.
func (s *Service) Pending(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *cell.Cell) (err error) {
		response.Pending, err = c.Pending(request.Key.Queue)
		return err
	})
}

// Report says how the pool of a service stands.
func (s *Service) Report(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *cell.Cell) (err error) {
		response.Report, err = c.Report()
		return err
	})
}

// Cordon keeps new runs off hosts.
func (s *Service) Cordon(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *cell.Cell) (err error) {
		response.Hosts, err = c.Cordon(request.Hosts, request.Length, request.Vacate)
		return err
	})
}

// Retire notes that the machines of hosts are out of the pool.
func (s *Service) Retire(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *cell.Cell) error {
		return c.Retire(request.Hosts)
	})
}

// Jobs lists the jobs of a service.
func (s *Service) Jobs(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *cell.Cell) (err error) {
		response.Jobs, err = c.Jobs()
		return err
	})
}

// Explain says all that is known of a job.
func (s *Service) Explain(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *cell.Cell) (err error) {
		response.Detail, err = c.Explain(request.Key.ID)
		return err
	})
}

// Pool says what is believed of the hosts of a service.
func (s *Service) Pool(request *Request, response *Response) error {
	return s.withCell(request, response, func(_ context.Context, c *cell.Cell) (err error) {
		response.Pool, err = c.Pool()
		return err
	})
}

// Hurry tells this node that another one has given partitions up.
func (s *Service) Hurry(_ *Request, _ *Response) error {
	s.supervisor.RenewNow()
	return nil
}

package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/link"
	"rattanpath/pool"
)

// RPCName is the net/rpc service name of relays.
const RPCName = "Relay"

// Request is one command to a host: exactly one of the pointers is set.
type Request struct {
	Host      pool.Host
	Start     *lease.StartCommand
	Stop      *lease.StopCommand
	Pace      *lease.PaceCommand
	Heartbeat *lease.Heartbeat
	// Deadline is the reading of the executing node's clock after which the command isn't sent any
	// more, 0 if the sender doesn't know that clock.
	Deadline time.Duration
}

// maxWait limits the time for which a host may delay its reply to a heartbeat of another node.
const maxWait = 2 * time.Second

// wait returns how long the host may delay its reply.
func (r *Request) wait() time.Duration {
	if r.Heartbeat == nil {
		return 0
	}
	return min(max(0, r.Heartbeat.Wait), maxWait)
}

// HeldBytes returns approximately how much memory the request takes.
func (r *Request) HeldBytes() int64 {
	held := int64(unsafe.Sizeof(*r) + unsafe.Sizeof(lease.StartCommand{}))
	for _, label := range r.Host.Labels {
		held += int64(unsafe.Sizeof(label)) + int64(len(label))
	}
	if r.Start != nil {
		held += int64(len(r.Start.Spec) + len(r.Start.Checkpoint) + len(r.Start.Ticket))
	}
	return held
}

// Response is the host's reply to a request, or why there is none.
type Response struct {
	Reply lease.HeartbeatReply
	// Err is empty if the host has replied. NotSent means that the command was not sent, and
	// TimedOut that the host took too long.
	Err      string
	NotSent  bool
	TimedOut bool
	// Clock is the reading of the executing node's clock at the end.
	Clock time.Duration
}

// noReplyError means that nothing shows whether the host got the command, as a timeout of a direct
// call does.
type noReplyError struct{ text string }

// Error returns the cause.
func (e noReplyError) Error() string { return e.text }

// Timeout distinguishes the error from that of a connection that the host has broken.
func (e noReplyError) Timeout() bool { return true }

// result returns the reply, or the error that a direct call would have returned.
func (r *Response) result() (lease.HeartbeatReply, error) {
	switch {
	case r.Err == "":
		return r.Reply, nil
	case r.NotSent:
		return lease.HeartbeatReply{}, errors.WithMessage(lease.ErrNotSent, r.Err)
	case r.TimedOut:
		return lease.HeartbeatReply{}, noReplyError{r.Err}
	default:
		return lease.HeartbeatReply{}, errors.New(r.Err)
	}
}

// sendError returns the error of a request that got no response, which is lease.ErrNotSent if the
// node can't have received it, and otherwise a timeout.
func sendError(err error) error {
	var connect *link.ConnectError
	if errors.As(err, &connect) {
		return errors.WithMessage(lease.ErrNotSent, err.Error())
	}
	return noReplyError{err.Error()}
}

// isTimeout reports whether a call failed because its reply took too long.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

const (
	// tickInterval is the time between two checks whether this node has been suspended.
	tickInterval = 100 * time.Millisecond
	// suspendedAfter is by how much a check may be late, and refusalTime how long requests are
	// refused after that: they may have waited at this node for as long as it was suspended.
	suspendedAfter = 400 * time.Millisecond
	refusalTime    = time.Second
)

// Service executes the requests of other nodes.
type Service struct {
	direct lease.HostClient
	clock  core.Clock

	// busy reports whether this node has too many calls of its own, nil if it never has. calls is
	// the number of calls of sessions in progress.
	busy  func() bool
	calls atomic.Int64

	mu           sync.Mutex
	checkedAt    time.Duration
	refusedUntil time.Duration
	sessions     map[uint64]*session
}

// NewService returns a service that calls hosts directly. It refuses requests unless Run runs.
func NewService(direct lease.HostClient, clock core.Clock) *Service {
	return &Service{direct: direct, clock: clock, sessions: make(map[uint64]*session)}
}

// RefuseWhile makes the service refuse the batches of other nodes while busy returns true. It must be
// called before the first one.
func (s *Service) RefuseWhile(busy func() bool) { s.busy = busy }

// isBusy reports whether batches are refused.
func (s *Service) isBusy() bool { return s.busy != nil && s.busy() }

// Run checks whether this node has been suspended, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.checkedAt = s.clock()
	s.mu.Unlock()
	for core.Sleep(ctx, tickInterval) == nil {
		s.check(true)
	}
}

// check reports whether requests are executed. If it is made by Run, the next one must follow
// in time.
func (s *Service) check(byRun bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if now-s.checkedAt > tickInterval+suspendedAfter {
		s.refusedUntil = now + refusalTime
	}
	if byRun {
		s.checkedAt = now
	}
	return now >= s.refusedUntil
}

// Send executes a request. Its signature is the one that net/rpc requires.
func (s *Service) Send(request *Request, response *Response) error {
	if s.respond(request, response) {
		response.Clock = s.clock()
	}
	return nil
}

// respond executes a request, unless it is refused. It reports whether this node was not suspended.
func (s *Service) respond(request *Request, response *Response) bool {
	if !s.check(false) {
		response.Err, response.NotSent = "the node was suspended or is overloaded", true
		return false
	}
	if s.isLate(request) {
		response.Err, response.NotSent = "the request came too late", true
		return true
	}
	reply, err := s.execute(context.Background(), request)
	response.Reply = reply
	if err != nil {
		response.Err, response.NotSent, response.TimedOut = err.Error(), errors.Is(err, lease.ErrNotSent), isTimeout(err)
	}
	return true
}

// isLate reports whether a request has been on its way for too long. A host may have restarted
// meanwhile: on a direct connection the command would have been lost with its last incarnation, and a
// new one would start a run that counts as over.
func (s *Service) isLate(request *Request) bool {
	if request.Deadline == 0 {
		return request.Start != nil
	}
	return s.clock() > request.Deadline
}

// execute sends the command of a request to its host.
func (s *Service) execute(ctx context.Context, request *Request) (lease.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.wait()+lease.ReplyTimeout)
	defer cancel()
	var reply lease.HeartbeatReply
	var err error
	host := &request.Host
	switch {
	case request.Start != nil:
		reply.Reply, err = s.direct.Start(ctx, host, *request.Start)
	case request.Stop != nil:
		reply.Reply, err = s.direct.Stop(ctx, host, *request.Stop)
	case request.Pace != nil:
		reply.Reply, err = s.direct.Pace(ctx, host, *request.Pace)
	case request.Heartbeat != nil:
		reply, err = s.direct.Heartbeat(ctx, host, *request.Heartbeat)
	default:
		err = errors.WithMessage(lease.ErrNotSent, "the request has no command")
	}
	return reply, err
}

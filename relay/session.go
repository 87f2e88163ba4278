package relay

import (
	"sync"
	"time"
)

const (
	// sessionRetention is how long a session is kept whose node sends nothing.
	sessionRetention = 5 * time.Second
	// maxSessions and maxCalls limit what other nodes can make this one hold.
	maxSessions = 64
	maxCalls    = 4096
)

// session holds the results of one node's calls until that node collects them.
type session struct {
	service *Service
	// usedAt is the local time of the last message. Service.mu guards it.
	usedAt time.Duration

	mu      sync.Mutex
	results []Result
	wake    chan struct{}
}

// Exchange begins the calls of a batch, and returns the results that its sender has not collected
// yet. Its signature is the one that net/rpc requires.
func (s *Service) Exchange(batch *Batch, results *Results) error {
	session := s.session(batch)
	if session == nil {
		results.Unknown = true
		return nil
	}
	results.Busy = s.isBusy()
	for i := range batch.Calls {
		session.begin(&batch.Calls[i], batch.Deadline, results.Busy)
	}
	results.Results = session.collect(batch.wait())
	results.Clock = s.clock()
	return nil
}

// session returns the session of a batch, or nil if it isn't known and can't begin.
func (s *Service) session(batch *Batch) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for id, old := range s.sessions {
		if now-old.usedAt > sessionRetention {
			delete(s.sessions, id)
		}
	}
	known := s.sessions[batch.Session]
	if known == nil && batch.First && len(s.sessions) < maxSessions {
		known = &session{service: s, wake: make(chan struct{}, 1)}
		s.sessions[batch.Session] = known
	}
	if known != nil {
		known.usedAt = now
	}
	return known
}

// begin begins a call, unless this node has too many.
func (s *session) begin(call *Call, deadline time.Duration, busy bool) {
	if busy || !s.service.reserveCall() {
		s.add(Result{call.Number, Response{Err: "the node has too much work of its own", NotSent: true}})
		return
	}
	call.Request.Deadline = deadline
	go (&sessionCall{session: s, call: call}).run()
}

// reserveCall counts a call in progress, and returns false if there are as many as there may be.
func (s *Service) reserveCall() bool {
	if s.calls.Add(1) <= maxCalls {
		return true
	}
	s.calls.Add(-1)
	return false
}

// sessionCall is a call in progress.
type sessionCall struct {
	session *session
	call    *Call
}

// run makes the call.
func (c *sessionCall) run() {
	service := c.session.service
	defer service.calls.Add(-1)
	result := Result{Number: c.call.Number}
	service.respond(&c.call.Request, &result.Response)
	c.session.add(result)
}

// add adds a result for the node to collect.
func (s *session) add(result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, result)
	signal(s.wake)
}

// collect removes and returns results. If there are none, it waits for the first.
func (s *session) collect(wait time.Duration) []Result {
	if results := s.take(); len(results) > 0 || wait == 0 {
		return results
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		select {
		case <-s.wake:
			if results := s.take(); len(results) > 0 {
				return results
			}
		case <-timeout.C:
			return s.take()
		}
	}
}

// take removes and returns up to maxResults results.
func (s *session) take() []Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.results), maxResults)
	taken := s.results[:count:count]
	if s.results = s.results[count:]; len(s.results) == 0 {
		s.results = nil
	} else {
		signal(s.wake)
	}
	return taken
}

// signal wakes the receiver of a channel of capacity 1.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

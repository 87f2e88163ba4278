package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/cell"
	"rattanpath/core"
	"rattanpath/link"
	"rattanpath/store"
	"rattanpath/tasks"
	"rattanpath/views"
)

const (
	// attemptTime bounds one call of an owner.
	attemptTime = 700 * time.Millisecond
	// retryPause is the time between two calls, in which another node may take
	// over.
	retryPause = 30 * time.Millisecond
)

// Method is a call that owners answer.
type Method string

// The calls that owners answer.
const (
	MethodSubmit  Method = "Submit"
	MethodStatus  Method = "Status"
	MethodCancel  Method = "Cancel"
	MethodPending Method = "Pending"
	MethodReport  Method = "Report"
	MethodCordon  Method = "Cordon"
	MethodRetire  Method = "Retire"
	MethodHurry   Method = "Hurry"
	MethodJobs    Method = "Jobs"
	MethodExplain Method = "Explain"
	MethodPool    Method = "Pool"
)

// Finder finds the owners of cells and calls them.
type Finder struct {
	group      Group
	tables     Tables
	local      *Service
	self       string
	partitions int
	dial       link.Dial
	logger     logr.Logger

	mu       sync.Mutex
	holders  map[int]string
	clients  map[string]*link.Client
	wantRead chan struct{}
}

// NewFinder returns a finder for a node that answers at the address self.
func NewFinder(group Group, tables Tables, local *Service, self string, partitions int, dial link.Dial, logger logr.Logger) *Finder {
	return &Finder{
		group:      group,
		tables:     tables,
		local:      local,
		self:       self,
		partitions: partitions,
		dial:       dial,
		logger:     logger.WithName("finder"),
		holders:    make(map[int]string),
		clients:    make(map[string]*link.Client),
		wantRead:   make(chan struct{}, 1),
	}
}

// Run looks up who holds what, at times and when a call has failed.
func (f *Finder) Run(ctx context.Context) {
	for {
		holdings, err := f.group.Holdings(ctx, groupName)
		if err == nil {
			f.note(holdings)
		} else if ctx.Err() == nil {
			f.logger.Info("the owners of cells could not be read", "err", err.Error())
		}
		if core.Sleep(ctx, holdingsPause) != nil {
			return
		}
		select {
		case <-f.wantRead:
		case <-time.After(holdingsEvery):
		case <-ctx.Done():
			return
		}
	}
}

func (f *Finder) note(holdings []store.Holding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders = make(map[int]string, len(holdings))
	for _, holding := range holdings {
		f.holders[holding.Partition] = memberAddress(holding.Member)
	}
}

// holder returns the address of the owner of a service, or nothing.
func (f *Finder) holder(service string) string {
	table := f.tables.Config()
	if table == nil {
		return ""
	}
	partition, ok := Partition(table, service, f.partitions)
	if !ok {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holders[partition]
}

func (f *Finder) client(address string) *link.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients[address] == nil {
		f.clients[address] = link.NewClient(address, f.dial)
	}
	return f.clients[address]
}

// Call asks the owner of a service, and again whoever has become it, until ctx
// ends. Every call may be repeated.
func (f *Finder) Call(ctx context.Context, method Method, request Request) Answer {
	sent := false
	last := Answer{Outcome: NotOwner}
	for {
		answer, wasSent, err := f.attempt(ctx, method, request)
		sent = sent || wasSent
		if err == nil {
			switch answer.Outcome {
			case NotOwner:
			case Uncertain:
				sent = true
			case Away:
				if !sent {
					return answer
				}
			default:
				return answer
			}
			last = answer
		}
		select {
		case f.wantRead <- struct{}{}:
		default:
		}
		if core.Sleep(ctx, retryPause) != nil {
			break
		}
	}
	if sent {
		return Answer{Outcome: Uncertain}
	}
	return last
}

// attempt asks once and reports whether the request may have arrived.
func (f *Finder) attempt(ctx context.Context, method Method, request Request) (Answer, bool, error) {
	var answer Answer
	address := f.holder(request.Service)
	if address == "" {
		return answer, false, errors.New("the service has no owner")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	request.Timeout = max(time.Until(deadline), minTimeout)
	if address == f.self {
		err := f.callLocal(method, &request, &answer)
		return answer, false, err
	}
	err := f.client(address).Call(ctx, RPCName+"."+string(method), &request, &answer)
	var connect *link.ConnectError
	return answer, err != nil && !errors.As(err, &connect), err
}

// callLocal makes a call of this node's own service.
func (f *Finder) callLocal(method Method, request *Request, answer *Answer) error {
	calls := map[Method]func(*Request, *Answer) error{
		MethodSubmit:  f.local.Submit,
		MethodStatus:  f.local.Status,
		MethodCancel:  f.local.Cancel,
		MethodPending: f.local.Pending,
		MethodReport:  f.local.Report,
		MethodCordon:  f.local.Cordon,
		MethodRetire:  f.local.Retire,
		MethodJobs:    f.local.Jobs,
		MethodExplain: f.local.Explain,
		MethodPool:    f.local.Pool,
	}
	call := calls[method]
	if call == nil {
		return errors.Errorf("owners don't answer %s", method)
	}
	return call(request, answer)
}

// Report asks how the pool of a service stands.
func (f *Finder) Report(ctx context.Context, service string) (cell.Report, error) {
	answer, _, err := f.attempt(ctx, MethodReport, Request{Service: service})
	return answer.Report, outcomeError(answer, err)
}

// Cordon asks to keep new runs off hosts for a time, and with vacate to move
// away what runs there. It returns how the hosts stand.
func (f *Finder) Cordon(ctx context.Context, service string, hosts []string, length time.Duration, vacate bool) ([]cell.HostReport, error) {
	answer, _, err := f.attempt(ctx, MethodCordon, Request{Service: service, Hosts: hosts, Length: length, Vacate: vacate})
	return answer.Hosts, outcomeError(answer, err)
}

// Retire tells the owner that the machines of hosts are out of the pool.
func (f *Finder) Retire(ctx context.Context, service string, hosts []string) error {
	answer, _, err := f.attempt(ctx, MethodRetire, Request{Service: service, Hosts: hosts})
	return outcomeError(answer, err)
}

// Jobs lists the jobs of a service. Like Pool, Explain and Cancel it asks until
// an owner answers or ctx ends.
func (f *Finder) Jobs(ctx context.Context, service string) ([]views.Job, error) {
	answer := f.Call(ctx, MethodJobs, Request{Service: service})
	return answer.Jobs, outcomeError(answer, nil)
}

// Pool says what is believed of the hosts of a service.
func (f *Finder) Pool(ctx context.Context, service string) (views.Pool, error) {
	answer := f.Call(ctx, MethodPool, Request{Service: service})
	return answer.Pool, outcomeError(answer, nil)
}

// Explain says all that the owner of a service knows of a job. The error is
// cell.ErrUnknownJob if it knows none of that ID.
func (f *Finder) Explain(ctx context.Context, service, id string) (views.JobDetail, error) {
	answer := f.Call(ctx, MethodExplain, Request{Service: service, Key: tasks.Key{ID: id}})
	if answer.Outcome == Unknown {
		return views.JobDetail{}, cell.ErrUnknownJob
	}
	return answer.Detail, outcomeError(answer, nil)
}

// Cancel ends a job of a service on an operator's wish.
func (f *Finder) Cancel(ctx context.Context, service string, key tasks.Key) error {
	answer := f.Call(ctx, MethodCancel, Request{Service: service, Key: key})
	return outcomeError(answer, nil)
}

// TellOthers makes all other nodes look for partitions that this one gave up. It
// doesn't wait for them.
func (f *Finder) TellOthers() {
	f.mu.Lock()
	others := make(map[string]bool)
	for _, address := range f.holders {
		if address != f.self {
			others[address] = true
		}
	}
	f.mu.Unlock()
	for address := range others {
		go (&hint{finder: f, address: address}).run()
	}
}

// hint is a call that tells another node to hurry.
type hint struct {
	finder  *Finder
	address string
}

// run makes the call once; without an answer the other node finds out by itself.
func (h *hint) run() {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTime)
	defer cancel()
	if err := h.finder.client(h.address).Call(ctx, RPCName+"."+string(MethodHurry), &Request{}, &Answer{}); err != nil {
		h.finder.logger.Info("another node was not told to hurry", "address", h.address, "err", err.Error())
	}
}

func outcomeError(answer Answer, err error) error {
	if err == nil && answer.Outcome != Done {
		return errors.Errorf("the owner answered: %s", answer.Outcome)
	}
	return err
}

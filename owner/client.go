package owner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/link"
	"rattanpath/sched"
	"rattanpath/store"
	"rattanpath/tasks"
	"rattanpath/views"
)

const (
	// attemptTimeout limits one attempt of a call.
	attemptTimeout = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff between two attempts, during
	// which another node may take over the cell. Each attempt sends the whole request.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 120 * time.Millisecond
)

// Method is the name of an RPC method of owners.
type Method string

// The RPC methods of owners.
const (
	MethodSubmit  Method = "Submit"
	MethodStatus  Method = "Status"
	MethodCancel  Method = "Cancel"
	MethodPending Method = "Pending"
	MethodReport  Method = "Report"
	MethodCordon  Method = "Cordon"
	MethodRetire  Method = "Retire"
	MethodAllot   Method = "Allot"
	MethodHurry   Method = "Hurry"
	MethodJobs    Method = "Jobs"
	MethodExplain Method = "Explain"
	MethodPool    Method = "Pool"
	MethodAwait   Method = "Await"
	MethodQueues  Method = "Queues"

	// MethodOrganisations returns a view for operators.
	MethodOrganisations Method = "Organisations"
	// MethodPreview explains what the owner would do with a request.
	MethodPreview Method = "Preview"
)

// Client calls the owners of services, on this node or on another.
type Client struct {
	group      Group
	config     ConfigSource
	local      *Service
	self       string
	partitions int
	dial       link.Dial
	logger     logr.Logger

	mu sync.Mutex
	// owners holds the addresses of owners by partition.
	owners map[int]string
	// links holds the connections to other nodes by address.
	links map[string]*link.Client
	// probes holds the running probes, and windows the limits on submissions, by
	// service.
	probes  map[string]*probe
	windows map[string]*window
	refresh chan struct{}
}

// NewClient returns a client for the node whose RPC address is self. Calls to
// that address go to local directly.
func NewClient(group Group, config ConfigSource, local *Service, self string, partitions int, dial link.Dial, logger logr.Logger) *Client {
	return &Client{
		group:      group,
		config:     config,
		local:      local,
		self:       self,
		partitions: partitions,
		dial:       dial,
		logger:     logger.WithName("finder"),
		owners:     make(map[int]string),
		links:      make(map[string]*link.Client),
		probes:     make(map[string]*probe),
		windows:    make(map[string]*window),
		refresh:    make(chan struct{}, 1),
	}
}

// Run keeps the owners of partitions up to date until ctx ends. It reads them
// periodically and after a failed call.
func (c *Client) Run(ctx context.Context) {
	for {
		owners, err := c.group.PartitionOwners(ctx, groupName)
		if err == nil {
			c.setOwners(owners)
		} else if ctx.Err() == nil {
			c.logger.Info("failed to read partition owners", "err", err.Error())
		}
		if core.Sleep(ctx, minOwnersRefreshInterval) != nil {
			return
		}
		select {
		case <-c.refresh:
		case <-time.After(ownersRefreshInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) setOwners(owners []store.PartitionOwner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners = make(map[int]string, len(owners))
	for _, o := range owners {
		c.owners[o.Partition] = memberAddress(o.Member)
	}
}

// ownerAddress returns the RPC address of a service's owner, or "" if it is
// unknown.
func (c *Client) ownerAddress(service string) string {
	config := c.config.Config()
	if config == nil {
		return ""
	}
	partition, ok := ServicePartition(config, service, c.partitions)
	if !ok {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[partition]
}

func (c *Client) link(address string) *link.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == nil {
		c.links[address] = link.NewClient(address, c.dial)
	}
	return c.links[address]
}

// requestRefresh requests a read of the partition owners before the next periodic one.
func (c *Client) requestRefresh() {
	select {
	case c.refresh <- struct{}{}:
	default:
	}
}

// Call calls the owner of a service and retries, at a new owner if there is one,
// until it has a definite outcome or ctx ends. After a failure it waits until an owner
// is ready. All methods are idempotent. The outcome is Uncertain if ctx ended after a
// request that may have been executed.
func (c *Client) Call(ctx context.Context, method Method, request Request) Response {
	maybeExecuted := false
	last := Response{Outcome: NotOwner}
	delay := minRetryDelay
	for c.waitForProbe(ctx, request.Service) == nil {
		response, maybeSent, err := c.attemptInWindow(ctx, method, request)
		maybeExecuted = maybeExecuted || maybeSent
		if err == nil {
			switch response.Outcome {
			case NotOwner:
			case Uncertain:
				maybeExecuted = true
			case StoreUnavailable, Overloaded, Reassigned, TooLarge:
				if !maybeExecuted {
					return response
				}
			case Unauthorised:
				// An earlier attempt may have preceded the withdrawal of the key.
				if maybeExecuted {
					response.Outcome = Uncertain
				}
				return response
			default:
				return response
			}
			last = response
		}
		if err != nil || response.Outcome == NotOwner {
			c.startProbe(request.Service)
		}
		c.requestRefresh()
		if core.Sleep(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	if maybeExecuted {
		return Response{Outcome: Uncertain}
	}
	return last
}

// attemptInWindow calls the owner once, a submission when the window allows it.
func (c *Client) attemptInWindow(ctx context.Context, method Method, request Request) (Response, bool, error) {
	if method != MethodSubmit {
		return c.attempt(ctx, method, request)
	}
	w := c.window(request.Service)
	if err := w.acquire(ctx); err != nil {
		return Response{}, false, err
	}
	sent := time.Now()
	response, maybeSent, err := c.attempt(ctx, method, request)
	w.release(sent, err == nil)
	return response, maybeSent, err
}

// window returns the limit on submissions to the owner of a service.
func (c *Client) window(service string) *window {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows[service] == nil {
		c.windows[service] = newWindow()
	}
	return c.windows[service]
}

// attempt calls the owner once. It also reports whether a request that failed may
// have been received.
func (c *Client) attempt(ctx context.Context, method Method, request Request) (Response, bool, error) {
	var response Response
	address := c.ownerAddress(request.Service)
	if address == "" {
		return response, false, errors.New("no owner is known for the service")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	request.Timeout = max(time.Until(deadline), minTimeout)
	if address == c.self {
		err := c.callLocal(method, &request, &response)
		return response, false, err
	}
	if err := c.link(address).Call(ctx, RPCName+"."+string(method), &request, &response); err != nil {
		// A late reply may still be decoded into the response.
		var connect *link.ConnectError
		return Response{}, !errors.As(err, &connect), err
	}
	return response, false, nil
}

// callLocal calls a method of the node's own service.
func (c *Client) callLocal(method Method, request *Request, response *Response) error {
	calls := map[Method]func(*Request, *Response) error{
		MethodSubmit:  c.local.Submit,
		MethodStatus:  c.local.Status,
		MethodCancel:  c.local.Cancel,
		MethodPending: c.local.Pending,
		MethodReport:  c.local.Report,
		MethodCordon:  c.local.Cordon,
		MethodRetire:  c.local.Retire,
		MethodAllot:   c.local.Allot,
		MethodJobs:    c.local.Jobs,
		MethodExplain: c.local.Explain,
		MethodPool:    c.local.Pool,
		MethodAwait:   c.local.Await,
		MethodQueues:  c.local.Queues,

		MethodOrganisations: c.local.Organisations,
		MethodPreview:       c.local.Preview,
	}
	call := calls[method]
	if call == nil {
		return errors.Errorf("unsupported method %s", method)
	}
	return call(request, response)
}

// Queues returns the queues that a service holds jobs of. It doesn't retry.
func (c *Client) Queues(ctx context.Context, service string) (sched.QueueList, error) {
	response, _, err := c.attempt(ctx, MethodQueues, Request{Service: service})
	return response.Queues, outcomeError(response, err)
}

// Report returns the status of a service's pool.
func (c *Client) Report(ctx context.Context, service string) (sched.Report, error) {
	response, _, err := c.attempt(ctx, MethodReport, Request{Service: service})
	return response.Report, outcomeError(response, err)
}

// Cordon stops the placement of new runs on hosts for the given duration and, if
// evict is set, evicts their runs. It returns the status of the hosts.
func (c *Client) Cordon(ctx context.Context, service string, hosts []string, duration time.Duration, evict bool) ([]sched.HostReport, error) {
	response, _, err := c.attempt(ctx, MethodCordon, Request{Service: service, Hosts: hosts, Length: duration, Vacate: evict})
	return response.Hosts, outcomeError(response, err)
}

// Retire informs the owner that the machines of hosts have left the pool.
func (c *Client) Retire(ctx context.Context, service string, hosts []sched.RetiredHost) error {
	request := Request{Service: service, Retired: hosts}
	for _, retired := range hosts {
		request.Hosts = append(request.Hosts, retired.ID)
	}
	response, _, err := c.attempt(ctx, MethodRetire, request)
	return outcomeError(response, err)
}

// Allot replaces what the machine controller's leader lends to the cell of a service.
func (c *Client) Allot(ctx context.Context, service string, allotment sched.Allotment) error {
	response, _, err := c.attempt(ctx, MethodAllot, Request{Service: service, Allotment: &allotment})
	return outcomeError(response, err)
}

// Jobs lists the jobs of a service. Like Pool, Explain and Cancel, it retries
// until an owner responds or ctx ends.
func (c *Client) Jobs(ctx context.Context, service string) ([]views.Job, error) {
	response := c.Call(ctx, MethodJobs, Request{Service: service})
	return response.Jobs, outcomeError(response, nil)
}

// Pool returns the owner's view of a service's hosts.
func (c *Client) Pool(ctx context.Context, service string) (views.Pool, error) {
	response := c.Call(ctx, MethodPool, Request{Service: service})
	return response.Pool, outcomeError(response, nil)
}

// Organisations returns the owner's view of the organisations in a service. Unlike Pool it asks
// once, so that one owner that is lost doesn't hold up the view of the others.
func (c *Client) Organisations(ctx context.Context, service string) (views.CellOrganisations, error) {
	response, _, err := c.attempt(ctx, MethodOrganisations, Request{Service: service})
	if err := outcomeError(response, err); err != nil {
		return views.CellOrganisations{}, err
	}
	if response.Organisations == nil {
		return views.CellOrganisations{}, errors.New("the owner's version knows no organisations")
	}
	return *response.Organisations, nil
}

// Preview asks the owner of a service once what it would do with a request. The error is that of
// the call; the outcome is the request's.
func (c *Client) Preview(ctx context.Context, request Request) (Response, error) {
	response, _, err := c.attempt(ctx, MethodPreview, request)
	switch {
	case err != nil && strings.Contains(err.Error(), "can't find method"):
		// Package net/rpc has no error value for an unknown method.
		return Response{}, errors.New("the owner's version can't explain requests")
	case err == nil && response.Outcome == NotOwner:
		return Response{}, outcomeError(response, nil)
	}
	return response, err
}

// Explain returns the details of a job. The error is sched.ErrUnknownJob if the
// service has no job of that ID.
func (c *Client) Explain(ctx context.Context, service, id string) (views.JobDetail, error) {
	response := c.Call(ctx, MethodExplain, Request{Service: service, Key: tasks.Key{ID: id}})
	if response.Outcome == UnknownJob {
		return views.JobDetail{}, sched.ErrUnknownJob
	}
	return response.Detail, outcomeError(response, nil)
}

// Cancel cancels a job of a service for an operator.
func (c *Client) Cancel(ctx context.Context, service string, key tasks.Key) error {
	response := c.Call(ctx, MethodCancel, Request{Service: service, Key: key, Operator: true})
	return outcomeError(response, nil)
}

// Others returns the addresses of the other nodes that own partitions, in ascending order.
func (c *Client) Others() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := make(map[string]bool)
	for _, address := range c.owners {
		if address != c.self && address != "" {
			others[address] = true
		}
	}
	return slices.Sorted(maps.Keys(others))
}

// NotifyPeers notifies all other owners that this node has released partitions, so
// that they renew their membership. It does not wait for them.
func (c *Client) NotifyPeers() {
	for _, address := range c.Others() {
		go (&releaseNotice{client: c, address: address}).run()
	}
}

// releaseNotice notifies another node of released partitions.
type releaseNotice struct {
	client  *Client
	address string
}

// run makes the call once. If it fails, the other node gets the partitions at its
// next periodic renewal.
func (n *releaseNotice) run() {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	if err := n.client.link(n.address).Call(ctx, RPCName+"."+string(MethodHurry), &Request{}, &Response{}); err != nil {
		n.client.logger.Info("failed to notify a node of released partitions", "address", n.address, "err", err.Error())
	}
}

// outcomeError returns err, or an error for an outcome other than Done.
func outcomeError(response Response, err error) error {
	if err == nil && response.Outcome != Done {
		return errors.Errorf("the owner answered: %s", response.Outcome)
	}
	return err
}

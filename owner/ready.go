package owner

import (
	"context"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
)

const (
	// awaitTime is how long an owner delays its response while it claims the cell. It
	// is shorter than attemptTimeout.
	awaitTime = 400 * time.Millisecond
	// probeTimeout limits a probe. Callers that still wait start another one.
	probeTimeout = 5 * time.Second
)

// probe waits until the owner of a service runs the cell. Requests wait for it instead
// of being sent repeatedly: they hold whole jobs, which would fill the link over which
// the owner reads its records.
type probe struct {
	client  *Client
	service string
	done    chan struct{}
}

// run asks the owner, or a new one, until it runs the cell.
func (p *probe) run() {
	defer p.end()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	delay := minRetryDelay
	for !p.client.ownerReady(ctx, p.service) {
		p.client.requestRefresh()
		if core.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// end releases the requests that wait for the probe.
func (p *probe) end() {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	delete(p.client.probes, p.service)
	close(p.done)
}

// startProbe starts a probe of a service's owner unless one is running.
func (c *Client) startProbe(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.probes[service] == nil {
		p := &probe{client: c, service: service, done: make(chan struct{})}
		c.probes[service] = p
		go p.run()
	}
}

// waitForProbe waits for a running probe of a service's owner, if there is one, and
// returns the context's error if the context ends first.
func (c *Client) waitForProbe(ctx context.Context, service string) error {
	c.mu.Lock()
	p := c.probes[service]
	c.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ownerReady asks the owner of a service once whether it runs the cell.
func (c *Client) ownerReady(ctx context.Context, service string) bool {
	response, _, err := c.attempt(ctx, MethodAwait, Request{Service: service})
	// An owner of an older version doesn't know the method.
	var unsupported rpc.ServerError
	return err == nil && response.Outcome == Done || errors.As(err, &unsupported)
}

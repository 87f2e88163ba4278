package query

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/views"
)

// maxReasonBytes bounds what is read of the text of a refusal.
const maxReasonBytes = 4 << 10

// Client asks nodes.
type Client struct {
	http *http.Client
}

// New returns a client that gives up on a node after the timeout.
func New(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout}}
}

// Status returns what the entry node at an admin address is doing.
func (c *Client) Status(ctx context.Context, address string) (views.Status, error) {
	var status views.Status
	return status, c.get(ctx, address, views.StatusPath, &status)
}

// Node returns what the managing node at an admin address believes.
func (c *Client) Node(ctx context.Context, address string) (views.Node, error) {
	var node views.Node
	return node, c.get(ctx, address, views.NodePath, &node)
}

// Jobs returns the jobs of a service, or of all with an empty name.
func (c *Client) Jobs(ctx context.Context, address, service string) ([]views.Job, error) {
	var jobs []views.Job
	return jobs, c.get(ctx, address, views.JobsPath+ofService(service), &jobs)
}

// Pools returns the hosts of a service, or of all with an empty name.
func (c *Client) Pools(ctx context.Context, address, service string) ([]views.Pool, error) {
	var pools []views.Pool
	return pools, c.get(ctx, address, views.PoolsPath+ofService(service), &pools)
}

// Explain returns all that is known of a job.
func (c *Client) Explain(ctx context.Context, address, id string) (views.JobDetail, error) {
	var detail views.JobDetail
	return detail, c.get(ctx, address, views.JobPath+url.PathEscape(id), &detail)
}

// Cancel ends a job and returns what it was.
func (c *Client) Cancel(ctx context.Context, address, id string) (views.Job, error) {
	var job views.Job
	return job, c.call(ctx, http.MethodDelete, address, views.JobPath+url.PathEscape(id), &job)
}

func ofService(service string) string {
	if service == "" {
		return ""
	}
	return "?" + url.Values{"service": {service}}.Encode()
}

func (c *Client) get(ctx context.Context, address, path string, value any) error {
	return c.call(ctx, http.MethodGet, address, path, value)
}

func (c *Client) call(ctx context.Context, method, address, path string, value any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "asking a node")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "asking a node")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		reason, err := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		if err != nil {
			return errors.Wrap(err, "reading a node's refusal")
		}
		return errors.Errorf("the node at %s answered %s: %s", address, response.Status, strings.TrimSpace(string(reason)))
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "reading a node's answer")
}

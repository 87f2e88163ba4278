package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/views"
)

// maxReasonBytes is the maximum length of the error text read from a response.
const maxReasonBytes = 4 << 10

// maxResponseBytes is the maximum length of a response. The largest lists the tasks of a job.
const maxResponseBytes = 64 << 20

// StatusError is a response of a node other than 200.
type StatusError struct {
	Code int
	text string
}

// Error implements error.
func (e *StatusError) Error() string { return e.text }

// Client calls the admin API of nodes.
type Client struct {
	http *http.Client
}

// New returns a client with the given timeout for each request.
func New(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout}}
}

// Status returns the status of the entry node at an admin address.
func (c *Client) Status(ctx context.Context, address string) (views.Status, error) {
	var status views.Status
	return status, c.get(ctx, address, views.StatusPath, &status)
}

// Node returns the status of the management node at an admin address.
func (c *Client) Node(ctx context.Context, address string) (views.Node, error) {
	var node views.Node
	return node, c.get(ctx, address, views.NodePath, &node)
}

// Jobs returns the jobs of a service, or of all services if the name is empty.
func (c *Client) Jobs(ctx context.Context, address, service string) ([]views.Job, error) {
	var jobs []views.Job
	return jobs, c.get(ctx, address, views.JobsPath+serviceQuery(service), &jobs)
}

// Pools returns the hosts of a service, or of all services if the name is empty.
func (c *Client) Pools(ctx context.Context, address, service string) ([]views.Pool, error) {
	var pools []views.Pool
	return pools, c.get(ctx, address, views.PoolsPath+serviceQuery(service), &pools)
}

// Organisations returns the organisations in a service, or in all services if the name is empty.
func (c *Client) Organisations(ctx context.Context, address, service string) ([]views.CellOrganisations, error) {
	var cells []views.CellOrganisations
	return cells, c.get(ctx, address, views.OrganisationsPath+serviceQuery(service), &cells)
}

// Explain returns the detailed status of a job.
func (c *Client) Explain(ctx context.Context, address, id string) (views.JobDetail, error) {
	var detail views.JobDetail
	return detail, c.get(ctx, address, views.JobPath+url.PathEscape(id), &detail)
}

// Cancel cancels a job and returns its status from before the cancellation.
func (c *Client) Cancel(ctx context.Context, address, id string) (views.Job, error) {
	var job views.Job
	return job, c.call(ctx, http.MethodDelete, address, views.JobPath+url.PathEscape(id), &job)
}

func serviceQuery(service string) string {
	if service == "" {
		return ""
	}
	return "?" + url.Values{"service": {service}}.Encode()
}

func (c *Client) get(ctx context.Context, address, path string, value any) error {
	return c.call(ctx, http.MethodGet, address, path, value)
}

func (c *Client) call(ctx context.Context, method, address, path string, value any) error {
	return c.send(ctx, method, address, path, http.NoBody, value)
}

func (c *Client) send(ctx context.Context, method, address, path string, body io.Reader, value any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return errors.Wrap(err, "calling a node")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "calling a node")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		reason, err := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		if err != nil {
			return errors.Wrap(err, "reading a node's error response")
		}
		return &StatusError{Code: response.StatusCode, text: fmt.Sprintf("node %s responded %s: %s", address, response.Status, strings.TrimSpace(string(reason)))}
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value), "decoding a node's response")
}

package query

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanpath/views"
)

// Client asks entry nodes.
type Client struct {
	http *http.Client
}

// New returns a client that gives up on a node after the timeout.
func New(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout}}
}

// Status returns what the node at an admin address is doing.
func (c *Client) Status(ctx context.Context, address string) (views.Status, error) {
	var status views.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+views.StatusPath, nil)
	if err != nil {
		return status, errors.Wrap(err, "asking a node")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return status, errors.Wrap(err, "asking a node")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, errors.Errorf("the node at %s answered %s", address, response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, errors.Wrap(err, "reading a node's answer")
}

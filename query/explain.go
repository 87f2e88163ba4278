package query

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"rattanpath/views"
)

// ExplainRequest returns what a management node would do with a caller's request.
func (c *Client) ExplainRequest(ctx context.Context, address string, request views.ExplainRequest) (views.Explanation, error) {
	var explanation views.Explanation
	body, err := json.Marshal(request)
	if err != nil {
		return explanation, errors.Wrap(err, "encoding a request to explain")
	}
	err = c.send(ctx, http.MethodPost, address, views.ExplainPath, bytes.NewReader(body), &explanation)
	var status *StatusError
	if errors.As(err, &status) && status.Code == http.StatusNotFound {
		return explanation, errors.Errorf("node %s can't explain requests: it is of an older version, or no management node", address)
	}
	return explanation, err
}

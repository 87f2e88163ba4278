package intake

import (
	"net/http"

	"github.com/pkg/errors"

	"rattanpath/guard"
	"rattanpath/tasks"
)

// readJob reads and decodes the body of a submission. It returns false after it has
// answered the request itself: nothing was forwarded.
func (x *exchange) readJob() (tasks.Plan, bool) {
	limit := bodyLimit(x.config)
	body, err := guard.ReadBody(x.r, limit, x.codec.Timeout(x.r.Header))
	if err != nil {
		x.writeBodyError(err, limit)
		return tasks.Plan{}, false
	}
	size, err := x.codec.JobSize(body)
	if err != nil {
		x.writeError(http.StatusBadRequest, err.Error())
		return tasks.Plan{}, false
	}
	if err := guard.Charge(x.r, size); err != nil {
		x.writeBodyError(err, limit)
		return tasks.Plan{}, false
	}
	plan, err := x.codec.DecodeJob(body)
	if err != nil {
		x.writeError(http.StatusBadRequest, err.Error())
	}
	return plan, err == nil
}

func (x *exchange) writeBodyError(err error, limit int64) {
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		x.writeError(http.StatusRequestEntityTooLarge, bodyTooLarge(limit))
	case errors.Is(err, guard.ErrSpent), errors.Is(err, guard.ErrShare), errors.Is(err, guard.ErrEvicted):
		x.writeError(http.StatusServiceUnavailable, "nothing was done: "+err.Error())
	case errors.Is(err, guard.ErrSlow):
		x.writeError(http.StatusRequestTimeout, err.Error())
	default:
		x.writeError(http.StatusBadRequest, "the body could not be read")
	}
}

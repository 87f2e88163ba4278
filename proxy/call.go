package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/route"
)

const (
	// wholeBytes is the largest answer that is read whole before a byte of it
	// goes to the caller.
	wholeBytes = 64 << 10
	// copyBytes is the buffer with which larger answers are passed on.
	copyBytes = 32 << 10
	// slack is how long after a request's deadline the caller's connection may
	// still be read or written.
	slack = 2 * time.Second
)

// call is one caller's request on its way.
type call struct {
	handler *Handler
	service *route.Service
	route   route.Route
	writer  http.ResponseWriter
	request *http.Request
	body    *callerBody
	// path and rawPath are what the upstream gets.
	path    string
	rawPath string
	// answered says that the answer to the caller has begun.
	answered bool
}

// run serves the request and returns nil after a whole answer, else a
// core.Failure.
func (c *call) run() error {
	timeout, err := c.timeout()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), timeout)
	defer cancel()
	c.boundConnection(timeout)
	var last *route.Upstream
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		last, err = c.attempt(ctx, last)
		if err == nil {
			return nil
		}
		failure := asFailure(err)
		mayHaveRun = mayHaveRun || failure.Verdict != core.NotRun
		if attempt >= c.service.Config.Attempts || !c.retryable(ctx, failure) {
			return overall(failure, mayHaveRun)
		}
	}
}

// overall returns the failure of the last attempt with the verdict on all of
// them.
func overall(last *core.Failure, mayHaveRun bool) *core.Failure {
	if !mayHaveRun || last.Verdict != core.NotRun {
		return last
	}
	failure := *last
	failure.Verdict = core.MayHaveRun
	failure.Status = http.StatusBadGateway
	failure.RetryAfter = 0
	return &failure
}

// timeout returns the time that the request has: the service's deadline, or
// less if the caller says so.
func (c *call) timeout() (time.Duration, error) {
	timeout := time.Duration(c.service.Config.Deadline)
	text := c.request.Header.Get(core.TimeoutHeader)
	if text == "" {
		return timeout, nil
	}
	asked, err := time.ParseDuration(text)
	if err != nil || asked <= 0 {
		return 0, &core.Failure{
			Verdict: core.NotRun,
			Cause:   core.CauseBadRequest,
			Status:  http.StatusBadRequest,
			Err:     errors.Errorf("%s: %q is not a duration such as 1.5s", core.TimeoutHeader, text),
		}
	}
	return min(timeout, asked), nil
}

// boundConnection keeps a caller that sends or reads too slowly from holding
// the request beyond its time.
func (c *call) boundConnection(timeout time.Duration) {
	controller := http.NewResponseController(c.writer)
	end := time.Now().Add(timeout + slack)
	_ = controller.SetReadDeadline(end)
	_ = controller.SetWriteDeadline(end)
}

// attempt sends the request to one host other than exclude and passes the
// answer on. It returns the host that was tried.
func (c *call) attempt(ctx context.Context, exclude *route.Upstream) (*route.Upstream, error) {
	lease, err := c.service.Admit(ctx, c.route.Class, exclude)
	if err != nil {
		return exclude, err
	}
	defer lease.Release()
	sendCtx, cancel := c.sendContext(ctx)
	defer cancel()
	response, err := c.send(sendCtx, lease.Upstream)
	if err != nil {
		c.judge(lease, 0, err)
		return lease.Upstream, err
	}
	defer func() { _ = response.Body.Close() }()
	err = c.answer(sendCtx, response)
	c.judge(lease, response.StatusCode, err)
	if err == nil && c.request.ContentLength != 0 {
		c.body.drain()
	}
	return lease.Upstream, err
}

// judge tells the host's health how an attempt ended. What a caller brought
// about, by leaving, by its body or by a deadline of its own, says nothing of
// the host.
func (c *call) judge(lease route.Slot, status int, err error) {
	if err == nil {
		if status >= http.StatusInternalServerError {
			lease.ReportFailure()
		} else {
			lease.ReportSuccess()
		}
		return
	}
	switch asFailure(err).Cause {
	case core.CauseConnect, core.CauseUpstreamFailed, core.CauseTruncated, core.CauseUnboundedAnswer:
		lease.ReportFailure()
	case core.CauseDeadline:
		if c.request.Header.Get(core.TimeoutHeader) == "" {
			lease.ReportFailure()
		}
	}
}

// sendContext returns the context of a request once it is sent. A request that
// is not idempotent is left to finish when its caller goes away, so that its
// verdict can be known.
func (c *call) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.route.Idempotent {
		return ctx, func() {}
	}
	deadline, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// retryable reports whether a failed request may be sent again: nothing was
// answered, the body is still unread, time is left, and it either did not run
// or may run twice.
func (c *call) retryable(ctx context.Context, failure *core.Failure) bool {
	if c.answered || ctx.Err() != nil || !c.body.stop() {
		return false
	}
	c.body = &callerBody{reader: c.body.reader}
	switch failure.Cause {
	case core.CauseConnect:
		return true
	case core.CauseUpstreamFailed, core.CauseTruncated:
		return c.route.Idempotent
	default:
		return false
	}
}

// answer passes an upstream's answer on to the caller.
func (c *call) answer(ctx context.Context, response *http.Response) error {
	if c.request.Method == http.MethodHead {
		c.begin(response)
		return nil
	}
	if c.mustHold(response) {
		return c.answerWhole(ctx, response)
	}
	return c.answerStream(ctx, response)
}

// mustHold reports whether the answer is read whole before the caller gets any
// of it: if it is small, or if the caller could not tell that it broke off.
func (c *call) mustHold(response *http.Response) bool {
	if response.ContentLength < 0 {
		return !c.request.ProtoAtLeast(1, 1)
	}
	return response.ContentLength <= wholeBytes
}

func (c *call) answerWhole(ctx context.Context, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes+1))
	if err != nil {
		return truncated(ctx, err)
	}
	if len(body) > wholeBytes {
		return truncated(ctx, errors.New("the answer is too large for a caller of HTTP/1.0"))
	}
	if response.ContentLength < 0 {
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.begin(response)
	if _, err := c.writer.Write(body); err != nil {
		return callerGone(err)
	}
	return nil
}

func (c *call) answerStream(ctx context.Context, response *http.Response) error {
	c.begin(response)
	controller := http.NewResponseController(c.writer)
	buffer := make([]byte, copyBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			if _, err := c.writer.Write(buffer[:n]); err != nil {
				return callerGone(err)
			}
			if err := controller.Flush(); err != nil {
				return callerGone(err)
			}
		}
		switch {
		case readErr == io.EOF:
			copyTrailer(c.writer.Header(), response.Trailer)
			return nil
		case readErr != nil:
			return truncated(ctx, readErr)
		}
	}
}

// begin sends the header of the answer.
func (c *call) begin(response *http.Response) {
	header := c.writer.Header()
	copyHeader(header, response.Header)
	header.Set(core.VerdictHeader, core.Ran.String())
	header.Set(core.NodeHeader, c.handler.node)
	c.answered = true
	if c.request.ContentLength != 0 && !c.body.ended.Load() {
		// The upstream answers before it has taken the whole body.
		_ = http.NewResponseController(c.writer).EnableFullDuplex()
	}
	c.writer.WriteHeader(response.StatusCode)
}

// truncated says that the upstream's answer broke off.
func truncated(ctx context.Context, err error) *core.Failure {
	failure := &core.Failure{
		Verdict: core.MayHaveRun,
		Cause:   core.CauseTruncated,
		Status:  http.StatusBadGateway,
		Err:     err,
	}
	blameContext(ctx, failure)
	return failure
}

// callerGone says that the caller did not take the answer.
func callerGone(err error) *core.Failure {
	return &core.Failure{Verdict: core.MayHaveRun, Cause: core.CauseCancelled, Status: http.StatusBadGateway, Err: err}
}

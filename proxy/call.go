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
	// maxBufferedResponseBytes is the largest response body that is read
	// completely before any of it is sent to the caller.
	maxBufferedResponseBytes = 64 << 10
	// streamBufferBytes is the size of the copy buffer for larger responses.
	streamBufferBytes = 32 << 10
	// connDeadlineSlack is the time after a request's deadline during which the
	// caller's connection may still be read or written.
	connDeadlineSlack = 2 * time.Second
)

// call is the state of one caller's request across attempts.
type call struct {
	handler *Handler
	service *route.Service
	route   route.Route
	writer  http.ResponseWriter
	request *http.Request
	body    *callerBody
	// path and rawPath are the URL path sent to the upstream.
	path    string
	rawPath string
	// responseStarted is set once the response header is sent to the caller.
	responseStarted bool
}

// run serves the request. It returns nil after a complete response, otherwise a
// *core.RequestError.
func (c *call) run() error {
	timeout, err := c.timeout()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), timeout)
	defer cancel()
	c.setConnDeadlines(timeout)
	var lastUpstream *route.Upstream
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		lastUpstream, err = c.attempt(ctx, lastUpstream)
		if err == nil {
			return nil
		}
		requestErr := asRequestError(err)
		mayHaveRun = mayHaveRun || requestErr.Verdict != core.NotRun
		if attempt >= c.service.Config.Attempts || !c.prepareRetry(ctx, requestErr) {
			return overallError(requestErr, mayHaveRun)
		}
	}
}

// overallError returns the error of the last attempt, with a verdict that
// covers all attempts.
func overallError(last *core.RequestError, mayHaveRun bool) *core.RequestError {
	if !mayHaveRun || last.Verdict != core.NotRun {
		return last
	}
	requestErr := *last
	requestErr.Verdict = core.MayHaveRun
	requestErr.Status = http.StatusBadGateway
	requestErr.RetryAfter = 0
	return &requestErr
}

// timeout returns the time limit of the request: the service's deadline or, if
// shorter, the timeout requested by the caller.
func (c *call) timeout() (time.Duration, error) {
	timeout := time.Duration(c.service.Config.Deadline)
	value := c.request.Header.Get(core.TimeoutHeader)
	if value == "" {
		return timeout, nil
	}
	requested, err := time.ParseDuration(value)
	if err != nil || requested <= 0 {
		return 0, &core.RequestError{
			Verdict: core.NotRun,
			Cause:   core.CauseBadRequest,
			Status:  http.StatusBadRequest,
			Err:     errors.Errorf("%s: %q is not a positive duration such as 1.5s", core.TimeoutHeader, value),
		}
	}
	return min(timeout, requested), nil
}

// setConnDeadlines sets deadlines on the caller's connection, so that a caller
// that sends or reads too slowly cannot hold the request beyond its timeout.
func (c *call) setConnDeadlines(timeout time.Duration) {
	controller := http.NewResponseController(c.writer)
	deadline := time.Now().Add(timeout + connDeadlineSlack)
	_ = controller.SetReadDeadline(deadline)
	_ = controller.SetWriteDeadline(deadline)
}

// attempt sends the request to one host other than exclude and forwards the
// response. It returns the host that was tried.
func (c *call) attempt(ctx context.Context, exclude *route.Upstream) (*route.Upstream, error) {
	slot, err := c.service.Admit(ctx, c.route.Class, exclude)
	if err != nil {
		return exclude, err
	}
	defer slot.Release()
	sendCtx, cancel := c.sendContext(ctx)
	defer cancel()
	response, err := c.send(sendCtx, slot.Upstream)
	if err != nil {
		c.reportOutcome(slot, 0, err)
		return slot.Upstream, err
	}
	defer func() { _ = response.Body.Close() }()
	err = c.forwardResponse(sendCtx, response)
	c.reportOutcome(slot, response.StatusCode, err)
	if err == nil && c.request.ContentLength != 0 {
		c.body.drain()
	}
	return slot.Upstream, err
}

// reportOutcome reports the outcome of an attempt to the host's health check.
// Failures caused by the caller are not counted: a disconnect, a request body that
// is too large or incomplete, or the expiry of a timeout that the caller requested.
func (c *call) reportOutcome(slot route.Slot, status int, err error) {
	if err == nil {
		if status >= http.StatusInternalServerError {
			slot.ReportFailure()
		} else {
			slot.ReportSuccess()
		}
		return
	}
	switch asRequestError(err).Cause {
	case core.CauseConnect, core.CauseUpstreamFailed, core.CauseTruncated, core.CauseUnboundedAnswer:
		slot.ReportFailure()
	case core.CauseDeadline:
		if c.request.Header.Get(core.TimeoutHeader) == "" {
			slot.ReportFailure()
		}
	}
}

// sendContext returns the context for sending the request. A request that is not
// idempotent continues after its caller disconnects, so that its verdict can be
// determined.
func (c *call) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.route.Idempotent {
		return ctx, func() {}
	}
	deadline, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// prepareRetry reports whether a failed request may be sent again, and prepares
// its body for that. A retry requires that no response was started, that the
// body is unread, that time is left, and that the request either was not sent or
// is idempotent.
func (c *call) prepareRetry(ctx context.Context, requestErr *core.RequestError) bool {
	if c.responseStarted || ctx.Err() != nil || !c.body.stopReads() {
		return false
	}
	c.body = &callerBody{reader: c.body.reader}
	switch requestErr.Cause {
	case core.CauseConnect:
		return true
	case core.CauseUpstreamFailed, core.CauseTruncated:
		return c.route.Idempotent
	default:
		return false
	}
}

// forwardResponse forwards an upstream's response to the caller.
func (c *call) forwardResponse(ctx context.Context, response *http.Response) error {
	if c.request.Method == http.MethodHead {
		c.writeHeader(response)
		return nil
	}
	if c.mustBuffer(response) {
		return c.forwardBuffered(ctx, response)
	}
	return c.forwardStream(ctx, response)
}

// mustBuffer reports whether the response body must be read completely before
// any of it is sent: if it is small, or if it has no length and the caller uses
// HTTP/1.0 and so could not detect truncation.
func (c *call) mustBuffer(response *http.Response) bool {
	if response.ContentLength < 0 {
		return !c.request.ProtoAtLeast(1, 1)
	}
	return response.ContentLength <= maxBufferedResponseBytes
}

func (c *call) forwardBuffered(ctx context.Context, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
	if err != nil {
		return newTruncatedError(ctx, err)
	}
	if len(body) > maxBufferedResponseBytes {
		return newTruncatedError(ctx, errors.New("response without Content-Length is too large to buffer for an HTTP/1.0 caller"))
	}
	if response.ContentLength < 0 {
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.writeHeader(response)
	if _, err := c.writer.Write(body); err != nil {
		return newCallerWriteError(err)
	}
	return nil
}

func (c *call) forwardStream(ctx context.Context, response *http.Response) error {
	c.writeHeader(response)
	controller := http.NewResponseController(c.writer)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			if _, err := c.writer.Write(buffer[:n]); err != nil {
				return newCallerWriteError(err)
			}
			if err := controller.Flush(); err != nil {
				return newCallerWriteError(err)
			}
		}
		switch {
		case readErr == io.EOF:
			copyTrailer(c.writer.Header(), response.Trailer)
			return nil
		case readErr != nil:
			return newTruncatedError(ctx, readErr)
		}
	}
}

// writeHeader sends the response header to the caller.
func (c *call) writeHeader(response *http.Response) {
	header := c.writer.Header()
	copyHeader(header, response.Header)
	header.Set(core.VerdictHeader, core.Ran.String())
	header.Set(core.NodeHeader, c.handler.node)
	c.responseStarted = true
	if c.request.ContentLength != 0 && !c.body.reachedEOF.Load() {
		// The upstream responded before reading the whole request body.
		_ = http.NewResponseController(c.writer).EnableFullDuplex()
	}
	c.writer.WriteHeader(response.StatusCode)
}

// newTruncatedError returns the error for an upstream response that ended
// early.
func newTruncatedError(ctx context.Context, err error) *core.RequestError {
	requestErr := &core.RequestError{
		Verdict: core.MayHaveRun,
		Cause:   core.CauseTruncated,
		Status:  http.StatusBadGateway,
		Err:     err,
	}
	setContextCause(ctx, requestErr)
	return requestErr
}

// newCallerWriteError returns the error for a response that could not be
// written to the caller.
func newCallerWriteError(err error) *core.RequestError {
	return &core.RequestError{Verdict: core.MayHaveRun, Cause: core.CauseCancelled, Status: http.StatusBadGateway, Err: err}
}

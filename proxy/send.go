package proxy

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/route"
)

const (
	dialTimeout            = time.Second
	idleConnTimeout        = 30 * time.Second
	maxIdleConnsPerHost    = 4
	maxResponseHeaderBytes = 64 << 10
)

// newTransport returns the HTTP transport for upstream hosts. It uses no
// compression, no proxy from the environment and no HTTP/2.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(raw), nil
		},
		DisableCompression:     true,
		ReadBufferSize:         readBufferBytes,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// errUnsolicited is reported if a response arrives before its request was sent.
var errUnsolicited = errors.New("unsolicited response: the host responded before the request was sent")

// upstreamRequest returns the request to send to an upstream host.
func (c *call) upstreamRequest(ctx context.Context, upstream *route.Upstream) *http.Request {
	r := c.request
	deadline, _ := ctx.Deadline()
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: upstream.Address, Path: c.path, RawPath: c.rawPath, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        upstreamHeader(r, time.Until(deadline)),
		Body:          c.body,
		ContentLength: r.ContentLength,
		Trailer:       r.Trailer,
	}
	if r.ContentLength == 0 && c.route.Idempotent {
		out.Body = http.NoBody
	}
	return out.WithContext(ctx)
}

// send sends the request once and returns the response with its body unread. The
// error is a *core.RequestError.
func (c *call) send(ctx context.Context, upstream *route.Upstream) (*http.Response, error) {
	var tracker sendTracker
	response, err := c.handler.transport.RoundTrip(c.upstreamRequest(tracker.withTrace(ctx), upstream))
	if err != nil {
		requestErr := newSendError(ctx, err, tracker.closeIfUnsent())
		if requestErr.Cause == core.CauseUpstreamFailed && c.body.readFailed.Load() {
			requestErr.Cause = core.CauseCancelled
		}
		return nil, requestErr
	}
	if !tracker.closeIfUnsent() {
		_ = response.Body.Close()
		return nil, newSendError(ctx, errUnsolicited, false)
	}
	if !hasDelimitedBody(c.request.Method, response) {
		_ = response.Body.Close()
		return nil, &core.RequestError{
			Verdict: core.MayHaveRun,
			Cause:   core.CauseUnboundedAnswer,
			Status:  http.StatusBadGateway,
			Err:     errors.New("response has neither Content-Length nor chunked encoding, so truncation cannot be detected"),
		}
	}
	return response, nil
}

// newSendError classifies an error of sending a request by whether any byte of
// the request may have been sent.
func newSendError(ctx context.Context, err error, sent bool) *core.RequestError {
	requestErr := &core.RequestError{Verdict: core.NotRun, Cause: core.CauseConnect, Status: http.StatusBadGateway, Err: err}
	if sent {
		requestErr.Verdict = core.MayHaveRun
		requestErr.Cause = core.CauseUpstreamFailed
	}
	switch {
	case ctx.Err() != nil:
		setContextCause(ctx, requestErr)
	case errors.As(err, new(*http.MaxBytesError)):
		requestErr.Cause = core.CauseBodyTooLarge
		requestErr.Status = http.StatusRequestEntityTooLarge
	case !sent:
		requestErr.Status = http.StatusServiceUnavailable
		requestErr.RetryAfter = time.Second
	}
	return requestErr
}

// setContextCause sets the cause of an error to Deadline or Cancelled if its
// context has ended.
func setContextCause(ctx context.Context, requestErr *core.RequestError) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		requestErr.Cause = core.CauseDeadline
		requestErr.Status = http.StatusGatewayTimeout
	case ctx.Err() != nil:
		requestErr.Cause = core.CauseCancelled
	}
}

// hasDelimitedBody reports whether the end of a response body can be distinguished
// from a broken connection.
func hasDelimitedBody(method string, response *http.Response) bool {
	if method == http.MethodHead || response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0
}

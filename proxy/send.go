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
		failure := sendFailure(ctx, err, tracker.closeIfUnsent())
		if failure.Cause == core.CauseUpstreamFailed && c.body.readFailed.Load() {
			failure.Cause = core.CauseCancelled
		}
		return nil, failure
	}
	if !tracker.closeIfUnsent() {
		_ = response.Body.Close()
		return nil, sendFailure(ctx, errUnsolicited, false)
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

// sendFailure classifies an error of sending a request by whether any byte of
// the request may have been sent.
func sendFailure(ctx context.Context, err error, sent bool) *core.RequestError {
	failure := &core.RequestError{Verdict: core.NotRun, Cause: core.CauseConnect, Status: http.StatusBadGateway, Err: err}
	if sent {
		failure.Verdict = core.MayHaveRun
		failure.Cause = core.CauseUpstreamFailed
	}
	switch {
	case ctx.Err() != nil:
		setContextCause(ctx, failure)
	case errors.As(err, new(*http.MaxBytesError)):
		failure.Cause = core.CauseBodyTooLarge
		failure.Status = http.StatusRequestEntityTooLarge
	case !sent:
		failure.Status = http.StatusServiceUnavailable
		failure.RetryAfter = time.Second
	}
	return failure
}

// setContextCause sets the cause of a failure to Deadline or Cancelled if its
// context has ended.
func setContextCause(ctx context.Context, failure *core.RequestError) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Cause = core.CauseDeadline
		failure.Status = http.StatusGatewayTimeout
	case ctx.Err() != nil:
		failure.Cause = core.CauseCancelled
	}
}

// hasDelimitedBody reports whether the end of a response body can be told from a
// broken connection.
func hasDelimitedBody(method string, response *http.Response) bool {
	if method == http.MethodHead || response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0
}

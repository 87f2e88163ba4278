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
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerHost  = 4
	maxAnswerHeader = 64 << 10
)

// newTransport returns the transport to upstream hosts. It does nothing on its
// own: no compression, no proxy of the environment, no HTTP/2.
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
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// errUnsolicited says that an answer was there before its request.
var errUnsolicited = errors.New("the host answered before it was asked")

// outgoing returns the request that goes to an upstream host.
func (c *call) outgoing(ctx context.Context, upstream *route.Upstream) *http.Request {
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

// send sends the request once and returns the answer, whose body is not read
// yet. Its error is a core.Failure.
func (c *call) send(ctx context.Context, upstream *route.Upstream) (*http.Response, error) {
	var track exchange
	response, err := c.handler.transport.RoundTrip(c.outgoing(track.withTrace(ctx), upstream))
	if err != nil {
		failure := sendFailure(ctx, err, track.seal())
		if failure.Cause == core.CauseUpstreamFailed && c.body.failed.Load() {
			failure.Cause = core.CauseCancelled
		}
		return nil, failure
	}
	if !track.seal() {
		_ = response.Body.Close()
		return nil, sendFailure(ctx, errUnsolicited, false)
	}
	if !bounded(c.request.Method, response) {
		_ = response.Body.Close()
		return nil, &core.Failure{
			Verdict: core.MayHaveRun,
			Cause:   core.CauseUnboundedAnswer,
			Status:  http.StatusBadGateway,
			Err:     errors.New("the answer has neither a length nor chunks, so that its end can't be known"),
		}
	}
	return response, nil
}

// sendFailure judges an error of sending by whether any byte went out.
func sendFailure(ctx context.Context, err error, sent bool) *core.Failure {
	failure := &core.Failure{Verdict: core.NotRun, Cause: core.CauseConnect, Status: http.StatusBadGateway, Err: err}
	if sent {
		failure.Verdict = core.MayHaveRun
		failure.Cause = core.CauseUpstreamFailed
	}
	switch {
	case ctx.Err() != nil:
		blameContext(ctx, failure)
	case errors.As(err, new(*http.MaxBytesError)):
		failure.Cause = core.CauseBodyTooLarge
		failure.Status = http.StatusRequestEntityTooLarge
	case !sent:
		failure.Status = http.StatusServiceUnavailable
		failure.RetryAfter = time.Second
	}
	return failure
}

// blameContext gives a failure the cause for which its context ended, if it
// did: the deadline, or a caller that went away.
func blameContext(ctx context.Context, failure *core.Failure) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Cause = core.CauseDeadline
		failure.Status = http.StatusGatewayTimeout
	case ctx.Err() != nil:
		failure.Cause = core.CauseCancelled
	}
}

// bounded reports whether the end of an answer can be told from a connection
// that broke.
func bounded(method string, response *http.Response) bool {
	if method == http.MethodHead || response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0
}

package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/fake"
)

// RequestSpec describes a kind of request that callers send.
type RequestSpec struct {
	Service string
	Path    string
	// Idempotent requests use GET and are retried if the connection breaks; others
	// use POST.
	Idempotent bool
	// Work is the time that the worker takes to process the request.
	Work time.Duration
	// Size and Body are the sizes of the response and request bodies in bytes.
	Size int
	Body int
}

// Targets provides the addresses of the entry nodes to send requests to, like
// the back-end list of a load balancer.
type Targets interface {
	Addresses() []string
}

// StaticTargets is a fixed list of addresses.
type StaticTargets []string

// Addresses implements Targets.
func (t StaticTargets) Addresses() []string { return t }

// Caller generates load: each of its goroutines sends one request after another.
type Caller struct {
	Targets  Targets
	Requests []RequestSpec
	Recorder *Recorder
	// Pause is the mean time between a response and the next request of the same
	// goroutine. If it is 0, the next request is sent immediately.
	Pause  time.Duration
	Client *http.Client
}

// NewClient returns an HTTP client whose requests fail after the timeout; 0 is no
// timeout. It never resends a POST that may have reached a server.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true},
	}
}

// Run sends requests from the given number of goroutines until ctx is done. It
// returns after the last request of each has completed.
func (c *Caller) Run(ctx context.Context, callers int) {
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { c.loop(ctx) })
	}
	wg.Wait()
}

// loop sends requests until ctx is done. It doesn't cancel a request in flight.
func (c *Caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.Send(c.Requests[rand.IntN(len(c.Requests))])
		if c.Pause == 0 {
			continue
		}
		_ = core.Sleep(ctx, rand.N(2*c.Pause))
	}
}

// outcome is the result of a request and the cause of a refusal or failure.
type outcome struct {
	result Result
	cause  string
}

// Retry limits of one request. Any request is retried after a failed dial,
// because nothing was sent; only idempotent ones are retried after the connection
// broke.
const (
	maxDialFailures = 10
	maxDisconnects  = 3
	retryDelay      = 100 * time.Millisecond
)

// Send sends one request to a random target, with retries, and records its
// outcome.
func (c *Caller) Send(spec RequestSpec) Result {
	id := uuid.NewString()
	started := time.Now()
	outcome := c.sendWithRetries(id, spec)
	c.Recorder.record(id, spec.Idempotent, outcome, time.Since(started))
	return outcome.result
}

func (c *Caller) sendWithRetries(id string, spec RequestSpec) outcome {
	var last outcome
	dialFailures, disconnects := 0, 0
	for dialFailures < maxDialFailures && disconnects < maxDisconnects {
		addresses := c.Targets.Addresses()
		last = c.sendOnce(id, addresses[rand.IntN(len(addresses))], spec)
		switch {
		case last.cause == causeDial:
			dialFailures++
		case last.result == TransportError && spec.Idempotent:
			disconnects++
		case last.result == NotRun && disconnects > 0:
			// An earlier attempt may have run; the verdict is only about the last one.
			return outcome{result: MayHaveRun, cause: last.cause}
		default:
			return last
		}
		time.Sleep(retryDelay)
	}
	return last
}

// causeDial is the recorded cause if no connection could be opened.
const causeDial = "Dial"

// causeOfError returns the recorded cause of an error. If an attempt was sent, its connection broke, and
// a dial that failed was that of a repeated one.
func causeOfError(err error, sent bool) string {
	var opErr *net.OpError
	if !sent && errors.As(err, &opErr) && opErr.Op == "dial" {
		return causeDial
	}
	return "Connection"
}

func (c *Caller) sendOnce(id, address string, spec RequestSpec) outcome {
	// The client may repeat an idempotent request by itself.
	var sent atomic.Int32
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Add(1) }}
	request := newRequest(id, address, spec)
	response, err := c.Client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return outcome{result: TransportError, cause: causeOfError(err, sent.Load() > 0)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{result: TransportError, cause: "Answer"}
	}
	cause := response.Header.Get(core.CauseHeader)
	switch response.Header.Get(core.VerdictHeader) {
	case core.NotRun.String():
		if sent.Load() > 1 {
			// The verdict is only about the last attempt.
			return outcome{result: MayHaveRun, cause: cause}
		}
		return outcome{result: NotRun, cause: cause}
	case core.MayHaveRun.String():
		return outcome{result: MayHaveRun, cause: cause}
	case core.Ran.String():
		return outcome{result: checkResponse(response.StatusCode, string(body), fake.ResponseBody(id, spec.Size))}
	default:
		return outcome{result: Invalid, cause: "NoVerdict"}
	}
}

// checkResponse compares a response body with the one expected for the request.
// An error response of the upstream counts as complete.
func checkResponse(status int, got, want string) Result {
	if status == http.StatusOK && got != want {
		return Invalid
	}
	return Complete
}

func newRequest(id, address string, spec RequestSpec) *http.Request {
	query := url.Values{}
	query.Set(fake.WorkParam, spec.Work.String())
	query.Set(fake.SizeParam, strconv.Itoa(spec.Size))
	method := http.MethodPost
	if spec.Idempotent {
		method = http.MethodGet
	}
	target := "http://" + address + "/" + spec.Service + spec.Path + "?" + query.Encode()
	r, err := http.NewRequest(method, target, strings.NewReader(strings.Repeat("b", spec.Body)))
	if err != nil {
		panic(err)
	}
	r.Header.Set(fake.RequestIDHeader, id)
	return r
}

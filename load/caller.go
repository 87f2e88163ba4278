package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/fake"
)

// Shape is a kind of request.
type Shape struct {
	Service string
	Path    string
	// Idempotent requests are sent with GET and others with POST.
	Idempotent bool
	// Work is how long the worker runs the request.
	Work time.Duration
	// Size is the number of bytes of the answer and Body of the request.
	Size int
	Body int
}

// Targets gives the addresses of the entry nodes that take requests, as a
// balancer would know them.
type Targets interface {
	Addresses() []string
}

// Fixed is a list of targets that does not change.
type Fixed []string

// Addresses implements Targets.
func (f Fixed) Addresses() []string { return f }

// Caller sends requests one after another until it is stopped.
type Caller struct {
	Targets Targets
	Shapes  []Shape
	Ledger  *Ledger
	// Pause is the mean time between an answer and the next request.
	Pause  time.Duration
	Client *http.Client
}

// NewClient returns an HTTP client that gives up after the timeout and sends
// no request twice.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true},
	}
}

// Run lets so many callers send requests until ctx ends, and returns when each
// has the answer to its last one.
func (c *Caller) Run(ctx context.Context, callers int) {
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { c.loop(ctx) })
	}
	wg.Wait()
}

// loop sends requests until ctx ends. A request that has begun is not given
// up.
func (c *Caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.Send(c.Shapes[rand.IntN(len(c.Shapes))])
		if c.Pause == 0 {
			continue
		}
		_ = core.Sleep(ctx, rand.N(2*c.Pause))
	}
}

// outcome is what one request came to.
type outcome struct {
	result Result
	cause  string
}

// Tries of one request: a connection that can't be made is no try of the
// request, and an idempotent one whose connection broke is sent again.
const (
	maxConnects = 10
	maxBreaks   = 3
	breakPause  = 100 * time.Millisecond
)

// Send sends one request to a target chosen at random and enters what came of
// it.
func (c *Caller) Send(shape Shape) Result {
	id := uuid.NewString()
	started := time.Now()
	outcome := c.sendAgain(id, shape)
	c.Ledger.add(id, shape.Idempotent, outcome, time.Since(started))
	return outcome.result
}

func (c *Caller) sendAgain(id string, shape Shape) outcome {
	var last outcome
	connects, breaks := 0, 0
	for connects < maxConnects && breaks < maxBreaks {
		addresses := c.Targets.Addresses()
		last = c.exchange(id, addresses[rand.IntN(len(addresses))], shape)
		switch {
		case last.cause == causeDial:
			connects++
		case last.result == Broken && shape.Idempotent:
			breaks++
		case last.result == NotRun && breaks > 0:
			// Only the last copy is known not to have run.
			return outcome{result: MayHaveRun, cause: last.cause}
		default:
			return last
		}
		time.Sleep(breakPause)
	}
	return last
}

// causeDial says that no connection could be made.
const causeDial = "Dial"

func brokenCause(err error) string {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return causeDial
	}
	return "Connection"
}

func (c *Caller) exchange(id, address string, shape Shape) outcome {
	response, err := c.Client.Do(request(id, address, shape))
	if err != nil {
		return outcome{result: Broken, cause: brokenCause(err)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{result: Broken, cause: "Answer"}
	}
	cause := response.Header.Get(core.CauseHeader)
	switch response.Header.Get(core.VerdictHeader) {
	case core.NotRun.String():
		return outcome{result: NotRun, cause: cause}
	case core.MayHaveRun.String():
		return outcome{result: MayHaveRun, cause: cause}
	case core.Ran.String():
		return outcome{result: judge(response.StatusCode, string(body), fake.ResponseBody(id, shape.Size))}
	default:
		return outcome{result: Wrong, cause: "NoVerdict"}
	}
}

// judge compares a whole answer with the one that belongs to the request. An
// upstream's own error is an answer too.
func judge(status int, got, want string) Result {
	if status == http.StatusOK && got != want {
		return Wrong
	}
	return Whole
}

func request(id, address string, shape Shape) *http.Request {
	query := url.Values{}
	query.Set(fake.WorkParam, shape.Work.String())
	query.Set(fake.SizeParam, strconv.Itoa(shape.Size))
	method := http.MethodPost
	if shape.Idempotent {
		method = http.MethodGet
	}
	target := "http://" + address + "/" + shape.Service + shape.Path + "?" + query.Encode()
	r, err := http.NewRequest(method, target, strings.NewReader(strings.Repeat("b", shape.Body)))
	if err != nil {
		panic(err)
	}
	r.Header.Set(fake.RequestIDHeader, id)
	return r
}

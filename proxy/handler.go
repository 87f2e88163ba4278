package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/route"
)

// TableSource provides the current routing table, or nil if there is none yet.
type TableSource interface {
	Table() *route.Table
}

// Handler is the HTTP handler for callers' requests to /SERVICE/PATH.
type Handler struct {
	node        string
	tableSource TableSource
	metrics     requestMetrics
	transport   *http.Transport
	router      *mux.Router
	// stopping is set once the node has begun to shut down.
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a handler for the named node that registers its metrics in set.
func New(node string, tableSource TableSource, set *metrics.Set) *Handler {
	h := &Handler{node: node, tableSource: tableSource, metrics: requestMetrics{set: set}, transport: newTransport()}
	h.router = mux.NewRouter().SkipClean(true).UseEncodedPath()
	h.router.HandleFunc("/{Service}", h.serve)
	h.router.HandleFunc("/{Service}/{Path:.*}", h.serve)
	h.router.NotFoundHandler = http.HandlerFunc(h.serveNotFound)
	set.NewGauge("rattanpath_requests_in_flight", func() float64 { return float64(h.inFlight.Load()) })
	return h
}

// SetStopping makes the handler send "Connection: close" with every response.
func (h *Handler) SetStopping() { h.stopping.Store(true) }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.router.ServeHTTP(w, r)
}

func (h *Handler) serveNotFound(w http.ResponseWriter, _ *http.Request) {
	h.writeError(w, "", newNotFoundError(core.CauseNoService))
}

func newNotFoundError(cause core.Cause) *core.RequestError {
	return &core.RequestError{Verdict: core.NotRun, Cause: cause, Status: http.StatusNotFound}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c, err := h.newCall(w, r)
	name := mux.Vars(r)["Service"]
	if err != nil {
		h.writeError(w, c.serviceName(), err)
		return
	}
	err = c.run()
	h.metrics.observe(name, started)
	switch {
	case err == nil:
		h.metrics.count(name, core.Ran, "")
	case c.responseStarted:
		// The response has started, so abort the connection to let the caller
		// detect the truncation.
		requestErr := asRequestError(err)
		h.metrics.count(name, requestErr.Verdict, requestErr.Cause)
		panic(http.ErrAbortHandler)
	default:
		h.writeError(w, name, err)
	}
}

// newCall looks up the service and the route of a request and rejects it if they
// do not exist or if its declared length exceeds the limit.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	table := h.tableSource.Table()
	if table == nil {
		return nil, core.Unavailable(core.CauseNotReady, time.Second)
	}
	service := table.Services[mux.Vars(r)["Service"]]
	if service == nil {
		return nil, newNotFoundError(core.CauseNoService)
	}
	path, rawPath := stripService(r)
	matched, ok := service.Match(path)
	c := &call{handler: h, service: service, route: matched, writer: w, request: r, path: path, rawPath: rawPath}
	if !ok {
		return c, newNotFoundError(core.CauseNoRoute)
	}
	limit := int64(service.Config.MaxBody)
	if r.ContentLength > limit {
		return c, &core.RequestError{Verdict: core.NotRun, Cause: core.CauseBodyTooLarge, Status: http.StatusRequestEntityTooLarge}
	}
	c.body = &callerBody{reader: http.MaxBytesReader(w, r.Body, limit)}
	return c, nil
}

func (c *call) serviceName() string {
	if c == nil {
		return ""
	}
	return c.service.Name
}

// stripService returns the path without the service's prefix, both decoded and
// as received.
func stripService(r *http.Request) (path, rawPath string) {
	prefix := "/" + mux.Vars(r)["Service"]
	path = strings.TrimPrefix(r.URL.Path, prefix)
	rawPath = strings.TrimPrefix(r.URL.RawPath, prefix)
	if path == "" {
		path = "/"
	}
	return path, rawPath
}

// ErrorBody is the JSON body of a response that the proxy generates itself.
type ErrorBody struct {
	Verdict core.Verdict
	Cause   core.Cause
	Node    string
}

// writeError sends the caller a response with the verdict and cause of the
// error.
func (h *Handler) writeError(w http.ResponseWriter, service string, err error) {
	requestErr := asRequestError(err)
	h.metrics.count(service, requestErr.Verdict, requestErr.Cause)
	header := w.Header()
	header.Set(core.VerdictHeader, requestErr.Verdict.String())
	header.Set(core.CauseHeader, string(requestErr.Cause))
	header.Set(core.NodeHeader, h.node)
	header.Set("Content-Type", "application/json")
	if requestErr.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(requestErr.RetryAfter.Seconds()))))
	}
	w.WriteHeader(requestErr.Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Verdict: requestErr.Verdict, Cause: requestErr.Cause, Node: h.node})
}

// asRequestError returns the *core.RequestError wrapped by err. Any other error is
// a bug in the proxy, so it is assumed that the request may have run.
func asRequestError(err error) *core.RequestError {
	var requestErr *core.RequestError
	if errors.As(err, &requestErr) {
		return requestErr
	}
	return &core.RequestError{Verdict: core.MayHaveRun, Cause: core.CauseUpstreamFailed, Status: http.StatusBadGateway, Err: err}
}

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

// Tables gives the routing table in force, or nil while there is none.
type Tables interface {
	Table() *route.Table
}

// Handler serves callers' requests under /SERVICE/PATH.
type Handler struct {
	node      string
	tables    Tables
	meters    meters
	transport *http.Transport
	router    *mux.Router
	// stopping says that the node is about to stop.
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a handler for the node of that name.
func New(node string, tables Tables, set *metrics.Set) *Handler {
	h := &Handler{node: node, tables: tables, meters: meters{set: set}, transport: newTransport()}
	h.router = mux.NewRouter().SkipClean(true).UseEncodedPath()
	h.router.HandleFunc("/{Service}", h.serve)
	h.router.HandleFunc("/{Service}/{Path:.*}", h.serve)
	h.router.NotFoundHandler = http.HandlerFunc(h.notFound)
	set.NewGauge("rattanpath_requests_in_flight", func() float64 { return float64(h.inFlight.Load()) })
	return h
}

// SetStopping makes the handler ask callers to close their connections.
func (h *Handler) SetStopping() { h.stopping.Store(true) }

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.router.ServeHTTP(w, r)
}

func (h *Handler) notFound(w http.ResponseWriter, _ *http.Request) {
	h.fail(w, "", notFound(core.CauseNoService))
}

func notFound(cause core.Cause) *core.Failure {
	return &core.Failure{Verdict: core.NotRun, Cause: cause, Status: http.StatusNotFound}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c, err := h.newCall(w, r)
	name := mux.Vars(r)["Service"]
	if err != nil {
		h.fail(w, c.serviceName(), err)
		return
	}
	err = c.run()
	h.meters.observe(name, started)
	switch {
	case err == nil:
		h.meters.count(name, core.Ran, "")
	case c.answered:
		// The answer can't be taken back, so the caller is made to see that it
		// broke off.
		failure := asFailure(err)
		h.meters.count(name, failure.Verdict, failure.Cause)
		panic(http.ErrAbortHandler)
	default:
		h.fail(w, name, err)
	}
}

// newCall finds the service and the route of a request and checks what can be
// refused at once.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	table := h.tables.Table()
	if table == nil {
		return nil, core.Refuse(core.CauseNotReady, time.Second)
	}
	service := table.Services[mux.Vars(r)["Service"]]
	if service == nil {
		return nil, notFound(core.CauseNoService)
	}
	path, rawPath := stripService(r)
	matched, ok := service.Match(path)
	c := &call{handler: h, service: service, route: matched, writer: w, request: r, path: path, rawPath: rawPath}
	if !ok {
		return c, notFound(core.CauseNoRoute)
	}
	limit := int64(service.Config.MaxBody)
	if r.ContentLength > limit {
		return c, &core.Failure{Verdict: core.NotRun, Cause: core.CauseBodyTooLarge, Status: http.StatusRequestEntityTooLarge}
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

// stripService returns the path below the service, decoded and as it came.
func stripService(r *http.Request) (path, rawPath string) {
	prefix := "/" + mux.Vars(r)["Service"]
	path = strings.TrimPrefix(r.URL.Path, prefix)
	rawPath = strings.TrimPrefix(r.URL.RawPath, prefix)
	if path == "" {
		path = "/"
	}
	return path, rawPath
}

// Refusal is the body of an answer that no upstream gave.
type Refusal struct {
	Verdict core.Verdict
	Cause   core.Cause
	Node    string
}

// fail tells the caller that there is no answer and whether the request may
// have run.
func (h *Handler) fail(w http.ResponseWriter, service string, err error) {
	failure := asFailure(err)
	h.meters.count(service, failure.Verdict, failure.Cause)
	header := w.Header()
	header.Set(core.VerdictHeader, failure.Verdict.String())
	header.Set(core.CauseHeader, string(failure.Cause))
	header.Set(core.NodeHeader, h.node)
	header.Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	w.WriteHeader(failure.Status)
	_ = json.NewEncoder(w).Encode(Refusal{Verdict: failure.Verdict, Cause: failure.Cause, Node: h.node})
}

// asFailure returns the failure within err. Anything else is a fault of the
// proxy, of which the worst is assumed.
func asFailure(err error) *core.Failure {
	var failure *core.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &core.Failure{Verdict: core.MayHaveRun, Cause: core.CauseUpstreamFailed, Status: http.StatusBadGateway, Err: err}
}

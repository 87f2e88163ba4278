package fake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"rattanpath/core"
)

// Names of the query parameters that tell a worker what to do.
const (
	// WorkParam is the time that the request runs.
	WorkParam = "Work"
	// SizeParam is the number of bytes of the answer.
	SizeParam = "Size"
)

// Sizes of a worker.
const (
	workerSlots       = 8
	workerConnections = 64
	maxResponseBytes  = 64 << 20
)

// WorkerMode is the way in which a worker misbehaves.
type WorkerMode int32

// The modes of workers.
const (
	// Healthy serves every request.
	Healthy WorkerMode = iota
	// FailAll answers every request at once with an error.
	FailAll
	// Hang runs the request and never answers.
	Hang
	// CutOff runs the request and breaks off in the middle of the answer.
	CutOff
	// Slow runs each request ten times as long.
	Slow
)

const slowFactor = 10

// Worker is an upstream host that serves HTTP and keeps account of what ran.
type Worker struct {
	Name       string
	executions *ExecutionCounter
	slots      chan struct{}
	inFlight   atomic.Int64
	mode       atomic.Int32
	started    atomic.Int64
	server     *http.Server
	address    string
}

// NewWorker starts a worker on an address such as 127.0.0.1:0.
func NewWorker(name, address string, account *ExecutionCounter) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		Name:       name,
		executions: account,
		slots:      make(chan struct{}, workerSlots),
		address:    listener.Addr().String(),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go w.run(netutil.LimitListener(listener, workerConnections))
	return w, nil
}

func (w *Worker) run(listener net.Listener) {
	_ = w.server.Serve(listener)
}

// Host returns the worker's entry in the host list.
func (w *Worker) Host(dataCentre, rack string) core.Host {
	return core.Host{
		Name:       w.Name,
		Role:       core.RoleWorker,
		State:      core.HostLive,
		DataCentre: dataCentre,
		Rack:       rack,
		Address:    w.address,
	}
}

// SetMode changes how the worker misbehaves from now on.
func (w *Worker) SetMode(mode WorkerMode) { w.mode.Store(int32(mode)) }

// Started returns how many requests the worker has started.
func (w *Worker) Started() int64 { return w.started.Load() }

// Close stops the worker and cuts off its requests.
func (w *Worker) Close() { _ = w.server.Close() }

// ServeHTTP runs one request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(RequestIDHeader)
	w.executions.recordStart(id)
	w.started.Add(1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	mode := WorkerMode(w.mode.Load())
	if mode == FailAll {
		http.Error(out, "this worker fails everything", http.StatusInternalServerError)
		return
	}
	if beyond := w.inFlight.Add(1) - workerSlots; beyond > 0 {
		w.executions.recordOvershoot(int(beyond))
	}
	defer w.inFlight.Add(-1)
	if !w.execute(r.Context(), r, mode) {
		return
	}
	w.respond(out, r, id, mode)
}

// execute holds a slot for as long as the request runs and reports whether it
// ended.
func (w *Worker) execute(ctx context.Context, r *http.Request, mode WorkerMode) bool {
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.slots }()
	duration, _ := time.ParseDuration(r.URL.Query().Get(WorkParam))
	switch mode {
	case Hang:
		<-ctx.Done()
		return false
	case Slow:
		duration *= slowFactor
	}
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) respond(out http.ResponseWriter, r *http.Request, id string, mode WorkerMode) {
	size, _ := strconv.Atoi(r.URL.Query().Get(SizeParam))
	body := ResponseBody(id, size)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if mode == CutOff {
		_, _ = io.WriteString(out, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, body)
}

// ResponseBody returns the body that belongs to a request: its id, repeated up to
// size bytes, and at least once.
func ResponseBody(id string, size int) string {
	size = min(max(size, len(id)), maxResponseBytes)
	if id == "" {
		id = "-"
	}
	return strings.Repeat(id, 1+size/len(id))[:size]
}

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

// Query parameters of a worker's requests.
const (
	// WorkParam is the execution time, as a Go duration.
	WorkParam = "Work"
	// SizeParam is the size of the response body in bytes.
	SizeParam = "Size"
)

// Limits of a worker.
const (
	workerSlots       = 8
	workerConnections = 64
	maxResponseBytes  = 64 << 20
)

// WorkerMode is the failure mode of a worker.
type WorkerMode int32

// The failure modes of workers.
const (
	// Healthy serves all requests.
	Healthy WorkerMode = iota
	// FailAll responds to every request at once with status 500.
	FailAll
	// Hang occupies a slot until the request is cancelled and sends no response.
	Hang
	// Truncate executes the request and closes the connection after half of the
	// response body.
	Truncate
	// Slow multiplies the execution time by slowFactor.
	Slow
)

const slowFactor = 10

// Worker is a fake upstream host that serves HTTP and counts its executions.
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

// NewWorker starts a worker that listens on an address such as 127.0.0.1:0.
func NewWorker(name, address string, executions *ExecutionCounter) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		Name:       name,
		executions: executions,
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

// Host returns the worker's host list entry.
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

// SetMode sets the failure mode of later requests.
func (w *Worker) SetMode(mode WorkerMode) { w.mode.Store(int32(mode)) }

// Started returns the number of requests that the worker has started.
func (w *Worker) Started() int64 { return w.started.Load() }

// Close stops the worker and closes the connections of its requests.
func (w *Worker) Close() { _ = w.server.Close() }

// ServeHTTP implements http.Handler.
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
	if excess := w.inFlight.Add(1) - workerSlots; excess > 0 {
		w.executions.recordOvershoot(int(excess))
	}
	defer w.inFlight.Add(-1)
	if !w.execute(r.Context(), r, mode) {
		return
	}
	w.respond(out, r, id, mode)
}

// execute occupies a slot for the execution time of a request and reports whether
// the request completed.
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
	if mode == Truncate {
		_, _ = io.WriteString(out, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, body)
}

// ResponseBody returns the response body of a request: its ID, repeated and
// truncated to size bytes. The size is at least that of one ID and at most maxResponseBytes.
func ResponseBody(id string, size int) string {
	size = min(max(size, len(id)), maxResponseBytes)
	if id == "" {
		id = "-"
	}
	return strings.Repeat(id, 1+size/len(id))[:size]
}

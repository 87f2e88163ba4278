package intake

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"rattanpath/guard"
	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/tasks"
)

const (
	// defaultTimeout is the timeout of a caller whose request states none.
	defaultTimeout = 3 * time.Second
	// ownerTimeoutFraction is the fraction of the caller's timeout that a call to
	// the owner may take, with its retries.
	ownerTimeoutFraction = 0.5
	// maxOwnerTimeout limits the timeout of a call to the owner.
	maxOwnerTimeout = 1500 * time.Millisecond
	// defaultMaxBody is the size limit in bytes of a request body if the
	// configuration sets none.
	defaultMaxBody = 256 << 10
	// retryAfter is the Retry-After time of responses with status 503.
	retryAfter = time.Second
	// jobIDLength is the length of a job ID in hexadecimal digits.
	jobIDLength = 16
)

// Codec decodes callers' requests and encodes the responses.
type Codec struct {
	// Timeout returns the caller's timeout, or 0 if the header states none.
	Timeout func(header http.Header) time.Duration
	// JobSize returns how much memory DecodeJob takes at most for a body, or an error if no
	// legal job takes that much.
	JobSize       func(body []byte) (int64, error)
	DecodeJob     func(body []byte) (tasks.Plan, error)
	EncodeState   func(phase tasks.Phase, started bool) ([]byte, error)
	EncodePending func(count int) ([]byte, error)
}

// ConfigSource returns the active configuration, or nil if there is none yet.
type ConfigSource interface {
	Config() *queue.Config
}

// OwnerClient calls the owners of services.
type OwnerClient interface {
	Call(ctx context.Context, method owner.Method, request owner.Request) owner.Response
}

// Handler serves callers' requests.
type Handler struct {
	config  ConfigSource
	client  OwnerClient
	codec   Codec
	logger  logr.Logger
	metrics *metrics.Set
	router  *mux.Router
	// IsKnown reports whether a request is that of a known caller. Others may hold only a
	// share of the memory for callers, and are disconnected first. All are known if it
	// is nil.
	IsKnown func(r *http.Request, q *queue.Queue) bool
	history serviceHistory
	// overloaded holds the queues that accept no large jobs at present.
	overloaded overloadedQueues
}

// NewHandler returns a handler for callers' requests.
func NewHandler(config ConfigSource, client OwnerClient, codec Codec, set *metrics.Set, logger logr.Logger) *Handler {
	h := &Handler{config: config, client: client, codec: codec, metrics: set, logger: logger.WithName("intake"), router: mux.NewRouter()}
	h.router.SkipClean(true)
	h.router.UseEncodedPath()
	all := h.router.PathPrefix("/")
	all.HandlerFunc(h.serve)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// exchange holds the state of one HTTP request.
type exchange struct {
	*Handler
	w      http.ResponseWriter
	r      *http.Request
	config *queue.Config
	queue  *queue.Queue
	id     string
	start  time.Time
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Handler: h, w: w, r: r, start: time.Now(), config: h.config.Config()}
	if x.config == nil {
		x.writeError(http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	host, _, _ := strings.Cut(r.Host, ":")
	h.history.update(x.config)
	x.queue = x.config.Find(host, r.URL.Path)
	if x.queue == nil {
		x.writeError(http.StatusNotFound, "no queue has this host and path")
		return
	}
	guard.SetKnown(r, h.IsKnown == nil || h.IsKnown(r, x.queue))
	x.id = strings.TrimPrefix(r.URL.Path, x.queue.Prefix)
	switch {
	case x.id == "" && r.Method == http.MethodGet:
		x.getPending()
	case !isJobID(x.id):
		x.writeError(http.StatusNotFound, "the path names no job: 16 hexadecimal digits must follow the queue's prefix")
	case r.Method == http.MethodPost:
		x.submit()
	case r.Method == http.MethodGet:
		x.getStatus()
	case r.Method == http.MethodDelete:
		x.cancel()
	default:
		x.writeError(http.StatusMethodNotAllowed, "a job is handed in with POST, shown with GET and cancelled with DELETE")
	}
}

func isJobID(text string) bool {
	if len(text) != jobIDLength {
		return false
	}
	for _, char := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", char) {
			return false
		}
	}
	return true
}

// callOwner calls the owner of the queue's service.
func (x *exchange) callOwner(method owner.Method, plan tasks.Plan) owner.Response {
	return x.callService(x.queue.Policy.Service, method, plan)
}

// callService calls the owner of a service.
func (x *exchange) callService(service string, method owner.Method, plan tasks.Plan) owner.Response {
	timeout := x.codec.Timeout(x.r.Header)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(time.Duration(float64(timeout)*ownerTimeoutFraction), maxOwnerTimeout))
	defer cancel()
	return x.client.Call(ctx, method, owner.Request{
		Service: service,
		Key:     tasks.Key{Queue: x.queue.Key(), ID: x.id},
		Plan:    plan,
		Policy:  x.queue.Policy,
	})
}

func (x *exchange) submit() {
	plan, ok := x.readJob()
	if !ok {
		return
	}
	if service, response := x.findJob(x.history.previous(x.queue.Key())); service != "" || response.Outcome != owner.UnknownJob {
		x.writeAck(response)
		return
	}
	x.writeAck(x.submitPlan(plan))
}

func (x *exchange) writeAck(response owner.Response) {
	if response.Outcome == owner.Done {
		x.writeJSON(http.StatusOK, []byte("{}"))
		return
	}
	x.writeFailure(response.Outcome)
}

func (x *exchange) getStatus() {
	response := x.callOwner(owner.MethodStatus, tasks.Plan{})
	if response.Outcome == owner.UnknownJob {
		_, response = x.findJob(x.otherServices())
	}
	if response.Outcome != owner.Done {
		x.writeFailure(response.Outcome)
		return
	}
	body, err := x.codec.EncodeState(response.Status.Phase, response.Status.Begun)
	x.writeEncoded(body, err)
}

func (x *exchange) cancel() {
	service := x.queue.Policy.Service
	if x.callOwner(owner.MethodStatus, tasks.Plan{}).Outcome == owner.UnknownJob {
		other, response := x.findJob(x.otherServices())
		switch {
		case other != "":
			service = other
		case response.Outcome != owner.UnknownJob:
			x.writeFailure(response.Outcome)
			return
		}
	}
	response := x.callService(service, owner.MethodCancel, tasks.Plan{})
	if response.Outcome == owner.Done {
		x.writeJSON(http.StatusOK, []byte("{}"))
		return
	}
	x.writeFailure(response.Outcome)
}

func (x *exchange) getPending() {
	response := x.callOwner(owner.MethodPending, tasks.Plan{})
	if response.Outcome != owner.Done {
		x.writeFailure(response.Outcome)
		return
	}
	body, err := x.codec.EncodePending(response.Pending)
	x.writeEncoded(body, err)
}

func (x *exchange) writeEncoded(body []byte, err error) {
	if err != nil {
		x.logger.Error(err, "failed to encode a response", "job", x.id)
		x.writeError(http.StatusInternalServerError, "the answer could not be encoded")
		return
	}
	x.writeJSON(http.StatusOK, body)
}

// writeFailure writes the error response for an outcome other than Done.
func (x *exchange) writeFailure(outcome owner.Outcome) {
	switch outcome {
	case owner.UnknownJob:
		x.writeError(http.StatusGone, "no such job")
	case owner.IDConflict:
		x.writeError(http.StatusConflict, "another queue has a job of that ID")
	case owner.Uncertain:
		x.writeError(http.StatusGatewayTimeout, "the request may have been done")
	default:
		x.writeError(http.StatusServiceUnavailable, "nothing was done: "+outcome.String())
	}
}

// writeError writes an error response. Status 503, which means that the request
// had no effect, comes with a Retry-After header.
func (x *exchange) writeError(status int, reason string) {
	if status == http.StatusServiceUnavailable {
		x.w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	name, version := "", int64(0)
	if x.queue != nil {
		name = x.queue.Name
	}
	if x.config != nil {
		version = x.config.Version
	}
	x.logger.Info("request failed", "method", x.r.Method, "job", x.id, "queue", name, "version", version, "status", status, "why", reason, "took", time.Since(x.start).Round(time.Millisecond))
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.writeResponse(status, []byte(reason+"\n"))
}

func (x *exchange) writeJSON(status int, body []byte) {
	x.w.Header().Set("Content-Type", "application/json")
	x.writeResponse(status, body)
}

func (x *exchange) writeResponse(status int, body []byte) {
	x.metrics.GetOrCreateCounter(`rattanpath_intake_requests_total{method="` + x.r.Method + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	x.metrics.GetOrCreateHistogram(`rattanpath_intake_seconds{method="` + x.r.Method + `"}`).UpdateDuration(x.start)
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.logger.Info("failed to write a response", "job", x.id, "status", status, "err", err.Error())
	}
}

package intake

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/sched"
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
	// Key returns the caller's API key, or "" if the header holds none.
	Key func(header http.Header) string
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
	// Queues returns the queues that a service holds jobs of.
	Queues(ctx context.Context, service string) (sched.QueueList, error)
}

// Handler serves callers' requests.
type Handler struct {
	config  ConfigSource
	client  OwnerClient
	codec   Codec
	logger  logr.Logger
	metrics *metrics.Set
	router  *mux.Router
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
	// keyHash is the hash of the caller's key, empty if it presented none. organisation is
	// empty unless the configuration requires keys and the key is valid.
	keyHash      []byte
	organisation string
	// retryAfter is the Retry-After time that the owner asks for, 0 for the usual one.
	retryAfter time.Duration
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Handler: h, w: w, r: r, start: time.Now(), config: h.config.Config()}
	if x.config == nil {
		x.writeError(http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	h.history.update(x.config, true)
	if x.queue = findQueue(x.config, r.Host, r.URL.Path); x.queue == nil {
		x.limitUnknown()
		x.writeError(http.StatusNotFound, noQueue)
		return
	}
	identified := x.identifyCaller()
	x.limitUnknown()
	if !identified {
		return
	}
	x.id = strings.TrimPrefix(r.URL.Path, x.queue.Prefix)
	switch requested, status, reason := operationOf(r.Method, x.id); requested {
	case pendingOperation:
		x.getPending()
	case submitOperation:
		x.submit()
	case statusOperation:
		x.getStatus()
	case cancelOperation:
		x.cancel()
	default:
		x.writeError(status, reason)
	}
}

// noQueue is the error text for requests whose host and path select no queue.
const noQueue = "no queue has this host and path"

// findQueue returns the queue that a request's host, with or without a port, and path select, or
// nil.
func findQueue(config *queue.Config, hostPort, path string) *queue.Queue {
	host, _, _ := strings.Cut(hostPort, ":")
	return config.Find(host, path)
}

// operation is what a request to a queue asks for; empty if it isn't valid.
type operation string

const (
	pendingOperation operation = "pending"
	submitOperation  operation = "submit"
	statusOperation  operation = "status"
	cancelOperation  operation = "cancel"
)

// operationOf returns what a request asks for whose path has id after the queue's prefix, or the
// status code and the reason why it isn't valid.
func operationOf(method, id string) (requested operation, status int, reason string) {
	switch {
	case id == "" && method == http.MethodGet:
		return pendingOperation, 0, ""
	case !isJobID(id):
		return "", http.StatusNotFound, "the path names no job: 16 hexadecimal digits must follow the queue's prefix"
	case method == http.MethodPost:
		return submitOperation, 0, ""
	case method == http.MethodGet:
		return statusOperation, 0, ""
	case method == http.MethodDelete:
		return cancelOperation, 0, ""
	default:
		return "", http.StatusMethodNotAllowed, "a job is submitted with POST, queried with GET and cancelled with DELETE"
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
	return x.call(method, x.ownerRequest(service, plan))
}

// call calls the owner of the service of a request.
func (x *exchange) call(method owner.Method, request owner.Request) owner.Response {
	timeout := x.codec.Timeout(x.r.Header)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(time.Duration(float64(timeout)*ownerTimeoutFraction), maxOwnerTimeout))
	defer cancel()
	return x.client.Call(ctx, method, request)
}

// ownerRequest returns the arguments of a call to the owner of a service.
func (x *exchange) ownerRequest(service string, plan tasks.Plan) owner.Request {
	policy := x.queue.Policy
	policy.Organisation = x.organisation
	return owner.Request{
		Service:       service,
		Key:           tasks.Key{Queue: x.queue.Key(), ID: x.id},
		Plan:          plan,
		Policy:        policy,
		ConfigVersion: x.config.Version,
		KeysRequired:  x.config.RequiresKeys,
		KeyHash:       x.keyHash,
	}
}

// bodyLimit returns the largest size of a body in bytes.
func bodyLimit(config *queue.Config) int64 {
	if config.Limits.BodyBytes <= 0 {
		return defaultMaxBody
	}
	return config.Limits.BodyBytes
}

// bodyTooLarge returns the reason of responses to requests with a larger body.
func bodyTooLarge(limit int64) string {
	return "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"
}

func (x *exchange) submit() {
	plan, ok := x.readJob()
	if !ok {
		return
	}
	switch earlier := x.findEarlier(); {
	case earlier.service != "", earlier.preCancelled:
		// The job exists, or must not start because it was cancelled in advance.
		x.writeAck(owner.Response{Outcome: owner.Done})
		return
	case earlier.response.Outcome != owner.UnknownJob:
		x.writeAck(earlier.response)
		return
	}
	x.writeAck(x.submitPlan(plan))
}

func (x *exchange) writeAck(response owner.Response) {
	if response.Outcome == owner.Done {
		x.writeJSON(http.StatusOK, []byte("{}"))
		return
	}
	x.retryAfter = response.RetryAfter
	x.writeFailure(response.Outcome)
}

func (x *exchange) getStatus() {
	response := x.callOwner(owner.MethodStatus, tasks.Plan{})
	if response.Outcome == owner.UnknownJob {
		response = x.findJob(x.otherServices(x.holders()), 0).response
	}
	if response.Outcome != owner.Done {
		x.writeFailure(response.Outcome)
		return
	}
	body, err := x.codec.EncodeState(response.Status.Phase, response.Status.Begun)
	x.writeEncoded(body, err)
}

// cancel cancels the job where it is. That no such job exists is final for the caller, so it is
// answered only if no service has the job.
func (x *exchange) cancel() {
	current := x.queue.Policy.Service
	status := x.callOwner(owner.MethodStatus, tasks.Plan{})
	if isDecided(status.Outcome) {
		x.writeAck(x.callService(current, owner.MethodCancel, tasks.Plan{}))
		return
	}
	elsewhere := x.findElsewhere()
	switch {
	case elsewhere.service != "":
		x.writeAck(x.callService(elsewhere.service, owner.MethodCancel, tasks.Plan{}))
	case elsewhere.response.Outcome == owner.UnknownJob:
		x.writeAck(x.callService(current, owner.MethodCancel, tasks.Plan{}))
	case status.Outcome == owner.UnknownJob:
		x.writeAck(elsewhere.response)
	default:
		x.writeAck(x.cancelExisting(current, elsewhere.response))
	}
}

// isDecided reports whether the outcome of a status call to the queue's current service means that no
// other service has to be asked.
func isDecided(outcome owner.Outcome) bool {
	switch outcome {
	case owner.Done, owner.IDConflict, owner.Unauthorised, owner.Forbidden:
		return true
	default:
		return false
	}
}

// cancelExisting cancels the job at a service if that has it. If it doesn't, the response is that
// of another service which may have it.
func (x *exchange) cancelExisting(service string, other owner.Response) owner.Response {
	request := x.ownerRequest(service, tasks.Plan{})
	request.MustExist = true
	response := x.call(owner.MethodCancel, request)
	if response.Outcome == owner.UnknownJob {
		return other
	}
	return response
}

func (x *exchange) getPending() {
	pending := 0
	for _, service := range x.jobServices(x.holders()) {
		response := x.callService(service, owner.MethodPending, tasks.Plan{})
		if response.Outcome != owner.Done {
			x.writeFailure(response.Outcome)
			return
		}
		pending += response.Pending
	}
	body, err := x.codec.EncodePending(pending)
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
	case owner.Unauthorised:
		x.refuseKey(refusedWithdrawn)
		return
	case owner.Forbidden:
		x.countRefusal(refusedOrganisation)
	}
	x.writeError(failure(outcome, x.r.Method))
}

// failure returns the status code and the reason of the response for an outcome other than Done.
func failure(outcome owner.Outcome, method string) (status int, reason string) {
	switch outcome {
	case owner.UnknownJob:
		return http.StatusGone, "no such job"
	case owner.IDConflict:
		return http.StatusConflict, "another queue has a job of that ID"
	case owner.Unauthorised:
		return http.StatusUnauthorized, keyRefusal(refusedWithdrawn)
	case owner.Forbidden:
		if method == http.MethodPost {
			return http.StatusConflict, "the job belongs to another organisation"
		}
		return http.StatusForbidden, "the job belongs to another organisation"
	case owner.Uncertain:
		return http.StatusGatewayTimeout, "the request may have been done"
	default:
		return http.StatusServiceUnavailable, "nothing was done: " + outcome.String()
	}
}

// writeError writes an error response. Status 503, which means that the request
// had no effect, comes with a Retry-After header.
func (x *exchange) writeError(status int, reason string) {
	if status == http.StatusServiceUnavailable {
		x.w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(max(retryAfter, x.retryAfter).Seconds()))))
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

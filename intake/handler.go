package intake

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/tasks"
)

const (
	// defaultTimeout is how long a caller waits who doesn't say.
	defaultTimeout = 3 * time.Second
	// callShare is the part of a caller's time in which the owner is asked.
	callShare = 0.5
	// maxCall bounds the time in which the owner is asked.
	maxCall = 1500 * time.Millisecond
	// maxBody bounds a body while the configuration sets no limit.
	maxBody = 256 << 10
	// retryAfter is when a caller whose request was refused may come back.
	retryAfter = time.Second
	// idLength is the length of a job's ID.
	idLength = 16
)

// Codec reads and writes what callers send and get.
type Codec struct {
	// Timeout returns how long the caller waits, or 0 if the request doesn't say.
	Timeout       func(header http.Header) time.Duration
	DecodeJob     func(body []byte) (tasks.Plan, error)
	EncodeState   func(phase tasks.Phase, begun bool) ([]byte, error)
	EncodePending func(count int) ([]byte, error)
}

// Tables returns the configuration in force, or nil.
type Tables interface {
	Config() *queue.Config
}

// Owners ask the owners of cells.
type Owners interface {
	Call(ctx context.Context, method owner.Method, request owner.Request) owner.Answer
}

// Handler answers callers' requests.
type Handler struct {
	tables Tables
	owners Owners
	codec  Codec
	logger logr.Logger
	set    *metrics.Set
	router *mux.Router
	moved  moved
}

// NewHandler returns a handler of callers' requests.
func NewHandler(tables Tables, owners Owners, codec Codec, set *metrics.Set, logger logr.Logger) *Handler {
	h := &Handler{tables: tables, owners: owners, codec: codec, set: set, logger: logger.WithName("intake"), router: mux.NewRouter()}
	h.router.SkipClean(true)
	h.router.UseEncodedPath()
	all := h.router.PathPrefix("/")
	all.HandlerFunc(h.serve)
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// exchange is one request on its way to its answer.
type exchange struct {
	*Handler
	out   http.ResponseWriter
	in    *http.Request
	table *queue.Config
	queue *queue.Queue
	id    string
	begun time.Time
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Handler: h, out: w, in: r, begun: time.Now(), table: h.tables.Config()}
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	host, _, _ := strings.Cut(r.Host, ":")
	h.moved.see(x.table)
	x.queue = x.table.Find(host, r.URL.Path)
	if x.queue == nil {
		x.refuse(http.StatusNotFound, "no queue has this host and path")
		return
	}
	x.id = strings.TrimPrefix(r.URL.Path, x.queue.Prefix)
	switch {
	case x.id == "" && r.Method == http.MethodGet:
		x.count()
	case !isID(x.id):
		x.refuse(http.StatusNotFound, "the path names no job: 16 hexadecimal digits must follow the queue's prefix")
	case r.Method == http.MethodPost:
		x.submit()
	case r.Method == http.MethodGet:
		x.show()
	case r.Method == http.MethodDelete:
		x.cancel()
	default:
		x.refuse(http.StatusMethodNotAllowed, "a job is handed in with POST, shown with GET and cancelled with DELETE")
	}
}

func isID(text string) bool {
	if len(text) != idLength {
		return false
	}
	for _, char := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", char) {
			return false
		}
	}
	return true
}

// call asks the owner of the queue's service.
func (x *exchange) call(method owner.Method, plan tasks.Plan) owner.Answer {
	return x.callService(x.queue.Policy.Service, method, plan)
}

// callService asks the owner of a service.
func (x *exchange) callService(service string, method owner.Method, plan tasks.Plan) owner.Answer {
	timeout := x.codec.Timeout(x.in.Header)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(x.in.Context(), min(time.Duration(float64(timeout)*callShare), maxCall))
	defer cancel()
	return x.owners.Call(ctx, method, owner.Request{
		Service: service,
		Key:     tasks.Key{Queue: x.queue.Key(), ID: x.id},
		Plan:    plan,
		Policy:  x.queue.Policy,
	})
}

func (x *exchange) submit() {
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.out, x.in.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
		return
	case err != nil:
		x.refuse(http.StatusBadRequest, "the body could not be read")
		return
	}
	plan, err := x.codec.DecodeJob(body)
	if err != nil {
		x.refuse(http.StatusBadRequest, err.Error())
		return
	}
	if service, answer := x.find(x.moved.former(x.queue.Key())); service != "" || answer.Outcome != owner.Unknown {
		x.finishSubmit(answer)
		return
	}
	x.finishSubmit(x.call(owner.MethodSubmit, plan))
}

func (x *exchange) finishSubmit(answer owner.Answer) {
	if answer.Outcome == owner.Done {
		x.reply(http.StatusOK, []byte("{}"))
		return
	}
	x.fail(answer.Outcome)
}

func (x *exchange) show() {
	answer := x.call(owner.MethodStatus, tasks.Plan{})
	if answer.Outcome == owner.Unknown {
		_, answer = x.find(x.otherServices())
	}
	if answer.Outcome != owner.Done {
		x.fail(answer.Outcome)
		return
	}
	body, err := x.codec.EncodeState(answer.Status.Phase, answer.Status.Begun)
	x.write(body, err)
}

func (x *exchange) cancel() {
	service := x.queue.Policy.Service
	if x.call(owner.MethodStatus, tasks.Plan{}).Outcome == owner.Unknown {
		other, answer := x.find(x.otherServices())
		switch {
		case other != "":
			service = other
		case answer.Outcome != owner.Unknown:
			x.fail(answer.Outcome)
			return
		}
	}
	answer := x.callService(service, owner.MethodCancel, tasks.Plan{})
	if answer.Outcome == owner.Done {
		x.reply(http.StatusOK, []byte("{}"))
		return
	}
	x.fail(answer.Outcome)
}

func (x *exchange) count() {
	answer := x.call(owner.MethodPending, tasks.Plan{})
	if answer.Outcome != owner.Done {
		x.fail(answer.Outcome)
		return
	}
	body, err := x.codec.EncodePending(answer.Pending)
	x.write(body, err)
}

func (x *exchange) write(body []byte, err error) {
	if err != nil {
		x.logger.Error(err, "an answer could not be encoded", "job", x.id)
		x.refuse(http.StatusInternalServerError, "the answer could not be encoded")
		return
	}
	x.reply(http.StatusOK, body)
}

// fail answers a request that its owner did not do.
func (x *exchange) fail(outcome owner.Outcome) {
	switch outcome {
	case owner.Unknown:
		x.refuse(http.StatusGone, "no such job")
	case owner.Taken:
		x.refuse(http.StatusConflict, "another queue has a job of that ID")
	case owner.Uncertain:
		x.refuse(http.StatusGatewayTimeout, "the request may have been done")
	default:
		x.refuse(http.StatusServiceUnavailable, "nothing was done: "+outcome.String())
	}
}

// refuse answers a request that failed, and says when to come back if it was
// not done.
func (x *exchange) refuse(status int, why string) {
	if status == http.StatusServiceUnavailable {
		x.out.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	name, version := "", int64(0)
	if x.queue != nil {
		name = x.queue.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	x.logger.Info("request refused", "method", x.in.Method, "job", x.id, "queue", name, "version", version, "status", status, "why", why, "took", time.Since(x.begun).Round(time.Millisecond))
	x.out.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.finish(status, []byte(why+"\n"))
}

func (x *exchange) reply(status int, body []byte) {
	x.out.Header().Set("Content-Type", "application/json")
	x.finish(status, body)
}

func (x *exchange) finish(status int, body []byte) {
	x.set.GetOrCreateCounter(`rattanpath_intake_requests_total{method="` + x.in.Method + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	x.set.GetOrCreateHistogram(`rattanpath_intake_seconds{method="` + x.in.Method + `"}`).UpdateDuration(x.begun)
	x.out.WriteHeader(status)
	if _, err := x.out.Write(body); err != nil {
		x.logger.Info("an answer did not reach its caller", "job", x.id, "status", status, "err", err.Error())
	}
}

package abuse

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/platform"
	"rattanpath/pool"
	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	serviceName = "works"
	queuePrefix = "/queue/"
	// hostRecordInterval is the time between two records of the host.
	hostRecordInterval = 500 * time.Millisecond
	// taskTime is the run time of each task.
	taskTime = 50 * time.Millisecond
	// topicPrefix is the prefix of the names of compacted topics.
	topicPrefix = "keyed."
)

// standIn stands in for the outside platform over HTTP: the store, one host, and a cloud
// with the host's machine. It records the jobs of which the host has started tasks.
type standIn struct {
	store  *fake.Store
	client *fake.StoreClient
	runner *fake.Runner
	server *httptest.Server
	host   *httptest.Server

	mu      sync.Mutex
	started map[string]bool
}

// newStandIn starts a stand-in with one queue.
func newStandIn(t testing.TB) *standIn {
	t.Helper()
	s := &standIn{store: fake.NewStore(), started: make(map[string]bool)}
	s.client = s.store.Client("node")
	s.host = httptest.NewServer(s.hostHandler())
	t.Cleanup(s.host.Close)
	s.runner = fake.NewRunner(pool.Host{
		ID: "host-1", Service: serviceName, Address: strings.TrimPrefix(s.host.URL, "http://"), DataCentre: "a",
		Capacity: tasks.Resources{CPU: 64_000, MemMB: 64_000},
	}, 1, fake.NewInvariantChecker(), s.profile)
	s.server = httptest.NewServer(s.storeHandler())
	t.Cleanup(s.server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go s.runner.Run(ctx)
	go s.loop(ctx)
	s.publishConfig()
	return s
}

func (s *standIn) address() string { return s.server.Listener.Addr().String() }

func (s *standIn) publishConfig() {
	value, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "queue", "host": "127.0.0.1", "pathPrefix": queuePrefix, "timeoutMs": 3000, "targetLatencyMs": 600,
			"service": serviceName, "maxAttempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.Put(platform.OperatorTopic, "config", value)
}

// loop writes the host's record until ctx ends.
func (s *standIn) loop(ctx context.Context) {
	for {
		info := s.runner.Info()
		clock := time.Since(time.UnixMilli(info.Incarnation)) + time.Second
		value, _ := json.Marshal(map[string]any{
			"service": info.Service, "address": info.Address, "zone": info.DataCentre, "state": "ready",
			"capacity": capacityOf(info), "born": info.Incarnation, "clockMs": clock.Milliseconds(),
		})
		s.store.Put(platform.HostTopic, info.ID, value)
		select {
		case <-ctx.Done():
			return
		case <-time.After(hostRecordInterval):
		}
	}
}

func capacityOf(info *pool.Host) map[string]int64 {
	return map[string]int64{"cpu": info.Capacity.CPU, "memMb": info.Capacity.MemMB, "gpu": info.Capacity.GPU}
}

// profile records that a task of a job has started, and describes the run.
func (s *standIn) profile(task tasks.ID, _ int) fake.RunProfile {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[task.Job] = true
	return fake.RunProfile{Duration: taskTime, EndReason: tasks.EndDone}
}

// hasStarted reports whether the host has started a task of a job.
func (s *standIn) hasStarted(job string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started[job]
}

func (s *standIn) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	mux.HandleFunc("GET /machines", s.machines)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func topicOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Query().Get("topic"), topicPrefix)
}

// number returns a query parameter, 0 if it is missing.
func number(r *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return value
}

func (s *standIn) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	write := store.Write{Topic: topicOf(r), Records: parseRecords(body), Writer: query.Get("producer"), Epoch: number(r, "epoch"), Sequence: number(r, "seq")}
	if query.Has("at") {
		at := number(r, "at")
		write.ExpectedEnd = &at
	}
	end, err := s.client.Append(r.Context(), write)
	switch {
	case err == nil:
		reply(w, http.StatusOK, map[string]any{"endOffset": end})
	case errors.Is(err, store.ErrOffsetConflict):
		reply(w, http.StatusPreconditionFailed, map[string]any{})
	case errors.Is(err, store.ErrFenced):
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
	case errors.Is(err, store.ErrOutOfSequence):
		reply(w, http.StatusConflict, map[string]any{"reason": "seq"})
	default:
		reply(w, http.StatusServiceUnavailable, map[string]any{})
	}
}

// parseRecords decodes records in the store's format, as far as they are whole.
func parseRecords(body []byte) []store.Record {
	var records []store.Record
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		keyEnd := 1 + int(content[0])
		records = append(records, store.Record{Key: string(content[1:keyEnd]), Value: slices.Clone(content[keyEnd:])})
		body = body[4+size:]
	}
	return records
}

func (s *standIn) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	batch, err := s.client.Read(r.Context(), topicOf(r), from, time.Duration(number(r, "waitMs"))*time.Millisecond)
	if err != nil {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(batch.End))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range batch.Records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.Key)+len(record.Value)))
		out = append(append(out, byte(len(record.Key))), record.Key...)
		out = append(out, record.Value...)
	}
	_, _ = w.Write(out)
}

// newest lists all records on one page.
func (s *standIn) newest(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.client.Newest(r.Context(), topicOf(r))
	if err != nil {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	items := []map[string]any{}
	for _, record := range snapshot.Records {
		items = append(items, map[string]any{"key": record.Key, "value": base64.StdEncoding.EncodeToString(record.Value), "offset": record.Offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": snapshot.Next})
}

// membershipBody is the body of a join and of a leave.
type membershipBody struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (b *membershipBody) toMembership() store.Membership {
	return store.Membership{Group: b.Group, Member: b.Member, TTL: time.Duration(b.TTLMS) * time.Millisecond, Generation: b.Generation}
}

func (s *standIn) join(w http.ResponseWriter, r *http.Request) {
	var body membershipBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Topics) == 0 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	assignment, err := s.client.Join(r.Context(), body.toMembership())
	if err != nil {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	parts := [][]any{}
	for _, partition := range assignment.Partitions {
		parts = append(parts, []any{body.Topics[0], partition, 0})
	}
	reply(w, http.StatusOK, map[string]any{"generation": assignment.Generation, "parts": parts})
}

func (s *standIn) leave(w http.ResponseWriter, r *http.Request) {
	var body membershipBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	_ = s.client.Leave(r.Context(), body.toMembership())
	reply(w, http.StatusOK, map[string]any{})
}

func (s *standIn) owners(w http.ResponseWriter, r *http.Request) {
	owners, err := s.client.PartitionOwners(r.Context(), r.URL.Query().Get("group"))
	if err != nil {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	rows := [][]any{}
	for _, owner := range owners {
		rows = append(rows, []any{"topic", owner.Partition, owner.Member, 0})
	}
	reply(w, http.StatusOK, map[string]any{"owners": rows})
}

func (s *standIn) machines(w http.ResponseWriter, _ *http.Request) {
	info := s.runner.Info()
	reply(w, http.StatusOK, map[string]any{"machines": []map[string]any{{
		"machine": "machine-1", "pool": info.Service, "state": "up", "zone": info.DataCentre, "capacity": capacityOf(info), "id": info.ID,
	}}})
}

// commandBody holds the fields of all commands to a host.
type commandBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

func (b *commandBody) until() time.Duration { return time.Duration(b.UntilMS) * time.Millisecond }

func (s *standIn) hostHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", s.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return s.runner.Start(ctx, lease.StartCommand{Task: task, Run: body.Run, Spec: body.Spec, LeaseExpiry: body.until(), Token: body.FencingToken}, tasks.Resources{})
	}))
	mux.HandleFunc("POST /run-stop", s.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return s.runner.Stop(ctx, lease.StopCommand{Task: task, Run: body.Run, Token: body.FencingToken})
	}))
	mux.HandleFunc("POST /pace", s.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return s.runner.Pace(ctx, lease.PaceCommand{Task: task, Run: body.Run, Share: body.Percent, Token: body.FencingToken})
	}))
	mux.HandleFunc("POST /hold", s.heartbeat)
	return mux
}

// refusals maps reasons to those of the host's messages.
var refusals = map[lease.Reason]string{
	lease.RefusedFenced: "fence", lease.RefusedStaleRun: "old", lease.RefusedLeaseExpired: "late", lease.RefusedCapacity: "room",
}

// replyAsHost writes a host's reply with more fields.
func (s *standIn) replyAsHost(w http.ResponseWriter, result lease.Reply, err error, fields map[string]any) {
	if err != nil {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	fields["clockMs"], fields["born"] = result.HostTime.Milliseconds(), s.runner.Info().Incarnation
	if result.Reason != lease.Accepted {
		fields["reason"] = refusals[result.Reason]
		reply(w, http.StatusConflict, fields)
		return
	}
	reply(w, http.StatusOK, fields)
}

func (s *standIn) command(deliver func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body commandBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		task, err := platform.ParseTaskID(body.Task)
		if err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		result, err := deliver(r.Context(), task, body)
		s.replyAsHost(w, result, err, map[string]any{})
	}
}

// endNames maps the reasons of ends to those of the host's messages.
var endNames = map[tasks.EndReason]string{
	tasks.EndDone: "done", tasks.EndFailed: "failed", tasks.EndStopped: "stopped", tasks.EndLeaseExpired: "lapsed",
}

func (s *standIn) heartbeat(w http.ResponseWriter, r *http.Request) {
	var body commandBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	result, err := s.runner.Heartbeat(r.Context(), lease.Heartbeat{
		LeaseExpiry: body.until(), Token: body.FencingToken, Acknowledged: body.LastSeen, Wait: time.Duration(body.WaitMS) * time.Millisecond,
	})
	running, finished := [][]any{}, [][]any{}
	for _, run := range result.Runs {
		running = append(running, []any{platform.FormatTaskID(run.Task), run.Run, "", run.Percent, run.Load})
	}
	for _, run := range result.Finished {
		finished = append(finished, []any{run.Sequence, platform.FormatTaskID(run.Task), run.Run, endNames[run.Reason], ""})
	}
	s.replyAsHost(w, result.Reply, err, map[string]any{"running": running, "finished": finished})
}

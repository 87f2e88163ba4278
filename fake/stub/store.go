package stub

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/store"
)

const (
	// topicPrefix is the prefix of the names of compacted topics.
	topicPrefix = "keyed."
	// maxHang bounds how long a request is kept that gets no answer. Clients give up earlier.
	maxHang = 5 * time.Second
)

// storeServer serves the store and the cloud to one node.
type storeServer struct {
	platform *Platform
	client   *fake.StoreClient
}

func (s *storeServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-trim", s.trim)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	mux.HandleFunc("GET /machines", s.platform.machines)
	mux.HandleFunc("POST /machine-move", s.platform.orderMove)
	mux.HandleFunc("POST /machine-upkeep", s.platform.orderMaintenance)
	return mux
}

func topicOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Query().Get("topic"), topicPrefix)
}

// number returns a query parameter, 0 if it is missing.
func number(r *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return value
}

func (s *storeServer) append(w http.ResponseWriter, r *http.Request) {
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
		fail(w, r, err)
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

// fail answers a call that the store has refused, and leaves one without an answer that it
// doesn't answer.
func fail(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, store.ErrRefused) {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	hang(r)
}

// hang never answers a request, whose client gives up some time.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(maxHang):
	}
	panic(http.ErrAbortHandler)
}

func (s *storeServer) trim(w http.ResponseWriter, r *http.Request) {
	if err := s.client.Trim(r.Context(), topicOf(r), number(r, "before")); err != nil {
		fail(w, r, err)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *storeServer) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	batch, err := s.client.Read(r.Context(), topicOf(r), from, time.Duration(number(r, "waitMs"))*time.Millisecond)
	if err != nil {
		fail(w, r, err)
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
func (s *storeServer) newest(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.client.Newest(r.Context(), topicOf(r))
	if err != nil {
		fail(w, r, err)
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

func (s *storeServer) join(w http.ResponseWriter, r *http.Request) {
	var body membershipBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Topics) == 0 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	assignment, err := s.client.Join(r.Context(), body.toMembership())
	if err != nil {
		fail(w, r, err)
		return
	}
	parts := [][]any{}
	for _, partition := range assignment.Partitions {
		parts = append(parts, []any{body.Topics[0], partition, 0})
	}
	reply(w, http.StatusOK, map[string]any{"generation": assignment.Generation, "parts": parts})
}

func (s *storeServer) leave(w http.ResponseWriter, r *http.Request) {
	var body membershipBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	if err := s.client.Leave(r.Context(), body.toMembership()); err != nil {
		fail(w, r, err)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *storeServer) owners(w http.ResponseWriter, r *http.Request) {
	owners, err := s.client.PartitionOwners(r.Context(), r.URL.Query().Get("group"))
	if err != nil {
		fail(w, r, err)
		return
	}
	rows := [][]any{}
	for _, owner := range owners {
		rows = append(rows, []any{"topic", owner.Partition, owner.Member, 0})
	}
	reply(w, http.StatusOK, map[string]any{"owners": rows})
}

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"rattanpath/fake"
	"rattanpath/store"
)

// pageBytes is the largest size of a page of a list, and of the records that a read returns.
const pageBytes = 1 << 20

// storeHandler serves the calls of one node to the platform's store, which is the project's stand-in
// behind the messages of the users' pages.
type storeHandler struct{ client *fake.StoreClient }

func newStoreHandler(client *fake.StoreClient) http.Handler {
	s := &storeHandler{client}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-trim", s.trim)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	return mux
}

func topicOf(r *http.Request) string { return strings.TrimPrefix(r.URL.Query().Get("topic"), "keyed.") }

func number(r *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return value
}

// fail answers a call that had an error. One without a response is cut off.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrOffsetConflict):
		answer(w, http.StatusPreconditionFailed, map[string]any{})
	case errors.Is(err, store.ErrFenced):
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
	case errors.Is(err, store.ErrOutOfSequence):
		answer(w, http.StatusConflict, map[string]any{"reason": "seq"})
	case errors.Is(err, store.ErrExpired):
		answer(w, http.StatusGone, map[string]any{"first": 0})
	case errors.Is(err, store.ErrRefused):
		answer(w, http.StatusServiceUnavailable, map[string]any{})
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *storeHandler) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	write := store.Write{Topic: topicOf(r), Writer: query.Get("producer"), Epoch: number(r, "epoch"), Sequence: number(r, "seq")}
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		keyEnd := 1 + int(content[0])
		write.Records = append(write.Records, store.Record{Key: string(content[1:keyEnd]), Value: slices.Clone(content[keyEnd:])})
		body = body[4+size:]
	}
	if query.Has("at") {
		at := number(r, "at")
		write.ExpectedEnd = &at
	}
	end, err := s.client.Append(r.Context(), write)
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{"offset": end - int64(len(write.Records)), "endOffset": end})
}

func (s *storeHandler) read(w http.ResponseWriter, r *http.Request) {
	batch, err := s.client.Read(r.Context(), topicOf(r), number(r, "from"), time.Duration(number(r, "waitMs"))*time.Millisecond)
	if err != nil {
		fail(w, err)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(batch.End))
	out = binary.BigEndian.AppendUint64(out, 0)
	limit := int(number(r, "maxKb")) << 10
	if limit == 0 {
		limit = pageBytes
	}
	for i, record := range batch.Records {
		if i > 0 && len(out)+len(record.Key)+len(record.Value) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.Key)+len(record.Value)))
		out = append(append(out, byte(len(record.Key))), record.Key...)
		out = append(out, record.Value...)
	}
	_, _ = w.Write(out)
}

func (s *storeHandler) newest(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.client.Newest(r.Context(), topicOf(r))
	if err != nil {
		fail(w, err)
		return
	}
	after, size, more := r.URL.Query().Get("dependsOn"), 0, false
	items := []map[string]any{}
	for _, record := range snapshot.Records {
		if record.Key <= after {
			continue
		}
		if size += len(record.Key) + len(record.Value); len(items) == 500 || size > pageBytes && len(items) > 0 {
			more = true
			break
		}
		items = append(items, map[string]any{"key": record.Key, "value": base64.StdEncoding.EncodeToString(record.Value), "offset": record.Offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": snapshot.Next})
}

func (s *storeHandler) trim(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Topic  string `json:"topic"`
		Before int64  `json:"before"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if err := s.client.Trim(r.Context(), strings.TrimPrefix(body.Topic, "keyed."), body.Before); err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

// membership is the body of a join and of a leave.
type membership struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (m *membership) toStore() store.Membership {
	return store.Membership{Group: m.Group, Member: m.Member, TTL: time.Duration(m.TTLMS) * time.Millisecond, Generation: m.Generation}
}

func (s *storeHandler) join(w http.ResponseWriter, r *http.Request) {
	var body membership
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Topics) == 0 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	assignment, err := s.client.Join(r.Context(), body.toStore())
	if err != nil {
		fail(w, err)
		return
	}
	parts := [][]any{}
	for _, partition := range assignment.Partitions {
		parts = append(parts, []any{body.Topics[0], partition, 0})
	}
	answer(w, http.StatusOK, map[string]any{"generation": assignment.Generation, "ttlMs": body.TTLMS, "parts": parts})
}

func (s *storeHandler) leave(w http.ResponseWriter, r *http.Request) {
	var body membership
	_ = json.NewDecoder(r.Body).Decode(&body)
	if err := s.client.Leave(r.Context(), body.toStore()); err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (s *storeHandler) owners(w http.ResponseWriter, r *http.Request) {
	owners, err := s.client.PartitionOwners(r.Context(), r.URL.Query().Get("group"))
	if err != nil {
		fail(w, err)
		return
	}
	rows := [][]any{}
	for _, owner := range owners {
		rows = append(rows, []any{"cells", owner.Partition, owner.Member, 0})
	}
	answer(w, http.StatusOK, map[string]any{"owners": rows})
}

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	storeLatency = 4 * time.Millisecond
	appendTime   = 2 * time.Millisecond
	partitions   = 32
	pageItems    = 500
	pageBytes    = 1 << 20
	dedupWindow  = 5
	maxWait      = 30 * time.Second
	// keep is how long the store keeps records, topicBytes how many bytes of a partition, and
	// totalBytes how many it holds in all.
	keep       = 300 * time.Second
	topicBytes = 200_000_000
	totalBytes = 400_000_000
	// bytesPerSecond is the rate at which a partition takes appends.
	bytesPerSecond = 20_000_000
)

type storedRecord struct {
	key   string
	value []byte
	at    int64
}

type producer struct {
	epoch, next int64
	replies     map[int64][2]int64
}

type topic struct {
	records   []storedRecord
	newest    map[string]storedRecord
	producers map[string]*producer
	append    sync.Mutex
	// kept holds the sizes of the records that have not expired, and bytes their sum.
	kept  []keptRecord
	bytes int64
}

// keptRecord is the size of a record and when it was appended.
type keptRecord struct {
	size int64
	at   time.Time
}

type member struct {
	name     string
	lastJoin time.Time
	ttl      time.Duration
	seen     int64
}

type group struct {
	generation int64
	members    map[string]*member
	target     []string
	holder     []string
	topic      string
}

// store is a stand-in for the platform's store: a log with keyed topics and groups.
type store struct {
	rec     *recorder
	mu      sync.Mutex
	changed chan struct{}
	topics  map[string]*topic
	groups  map[string]*group
	// tooLarge counts the appends that were refused because of a record's size.
	tooLarge int
	// fullAt is when the store first refused an append because it was full.
	fullAt time.Time
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, changed: make(chan struct{}), topics: map[string]*topic{}, groups: map[string]*group{}}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]storedRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	mux.HandleFunc("POST /log-trim", s.serveTrim)
	mux.HandleFunc("POST /log-join", s.serveJoin)
	mux.HandleFunc("POST /log-leave", s.serveLeave)
	mux.HandleFunc("GET /log-owners", s.serveOwners)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(r *http.Request, name string) (int64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// put appends a record on behalf of the operator or a worker.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(s.topic(topicName), []storedRecord{{key: key, value: value}})
}

func (s *store) appendLocked(t *topic, records []storedRecord) {
	for _, r := range records {
		r.at = int64(len(t.records))
		size := int64(4 + 1 + len(r.key) + len(r.value))
		t.kept, t.bytes = append(t.kept, keptRecord{size, time.Now()}), t.bytes+size
		old := r
		if strings.HasPrefix(r.key, "p/") {
			// The records of a cell are read as the newest of each key alone.
			old.value = nil
		}
		t.records = append(t.records, old)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	for len(t.kept) > 0 && (t.bytes > topicBytes || time.Since(t.kept[0].at) > keep) {
		t.bytes -= t.kept[0].size
		t.kept = t.kept[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// stored returns how many bytes the store holds. s.mu must be held.
func (s *store) stored() int64 {
	var total int64
	for _, t := range s.topics {
		total += t.bytes
	}
	return total
}

func (s *store) storedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored()
}

// firstFull returns when the store first refused an append because it was full.
func (s *store) firstFull() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullAt
}

// parseRecords returns the records of an append and the size of the largest.
func parseRecords(body []byte) (records []storedRecord, largest int, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, 0, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 {
			return nil, 0, false
		}
		content := body[4 : 4+size]
		keyEnd := 1 + int(content[0])
		if keyEnd > len(content) {
			return nil, 0, false
		}
		largest = max(largest, size)
		records = append(records, storedRecord{key: string(content[1:keyEnd]), value: content[keyEnd:]})
		body = body[4+size:]
	}
	return records, largest, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, largest, ok := parseRecords(body)
	if !ok {
		writeJSON(w, 400, map[string]any{"reason": "records"})
		return
	}
	if largest > recordBytes || len(body) > callBytes {
		s.mu.Lock()
		s.tooLarge++
		first := s.tooLarge == 1
		s.mu.Unlock()
		if first {
			s.rec.printf("store: refuses an append to %s: its largest record has %d bytes, recordBytes is %d", name, largest, recordBytes)
		}
		writeJSON(w, 413, map[string]any{"reason": "size"})
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.append.Lock()
	defer t.append.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/bytesPerSecond*float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(records) > 0 && s.stored() >= totalBytes {
		if s.fullAt.IsZero() {
			s.fullAt = time.Now()
			for name, t := range s.topics {
				s.rec.printf("store: answers 507: %s holds %d MB", name, t.bytes/1_000_000)
			}
		}
		writeJSON(w, 507, map[string]any{"endOffset": len(t.records)})
		return
	}
	status, reply := s.doAppend(t, r, records)
	writeJSON(w, status, reply)
}

func (s *store) doAppend(t *topic, r *http.Request, records []storedRecord) (int, map[string]any) {
	end := int64(len(t.records))
	name := r.URL.Query().Get("producer")
	epoch, _ := number(r, "epoch")
	seq, hasSeq := number(r, "seq")
	var p *producer
	if name != "" {
		if p = t.producers[name]; p == nil {
			p = &producer{epoch: -1}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			return 409, map[string]any{"reason": "fenced", "endOffset": end}
		}
		if epoch == p.epoch && hasSeq && len(records) > 0 {
			if reply, repeated := p.replies[seq]; repeated {
				return 200, map[string]any{"offset": reply[0], "endOffset": reply[1]}
			}
			if p.next >= 0 && seq != p.next {
				return 409, map[string]any{"reason": "seq", "seq": p.next, "endOffset": end}
			}
		}
	}
	if at, has := number(r, "at"); has && at != end {
		return 412, map[string]any{"endOffset": end}
	}
	s.appendLocked(t, records)
	newEnd := int64(len(t.records))
	if p != nil {
		if epoch > p.epoch {
			p.epoch, p.next, p.replies = epoch, -1, map[int64][2]int64{}
		}
		if len(records) > 0 && hasSeq {
			p.next = seq + 1
			p.replies[seq] = [2]int64{end, newEnd}
			delete(p.replies, seq-dedupWindow)
		}
	}
	return 200, map[string]any{"offset": end, "endOffset": newEnd}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	from, _ := number(r, "from")
	wait, _ := number(r, "waitMs")
	maxKb, has := number(r, "maxKb")
	if !has {
		maxKb = 1024
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		if from < int64(len(t.records)) || !waiting {
			var out []byte
			out = binary.BigEndian.AppendUint64(out, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < int64(len(t.records)) && int64(len(out)) < maxKb<<10; i++ {
				rec := t.records[i]
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("dependsOn")
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		rec := t.newest[key]
		if len(items) >= pageItems || len(items) > 0 && size+len(rec.value) > pageBytes {
			more = true
			break
		}
		size += len(rec.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.at})
	}
	writeJSON(w, 200, map[string]any{"items": items, "hasMore": more, "endOffset": len(t.records)})
}

// serveTrim deletes records, as far as the store counts them. The newest of each key stay.
func (s *store) serveTrim(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	before, _ := number(r, "before")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	for first := int64(len(t.records) - len(t.kept)); len(t.kept) > 0 && first < before; first++ {
		t.bytes -= t.kept[0].size
		t.kept = t.kept[1:]
	}
	writeJSON(w, 200, map[string]any{})
}

// holderOf returns the member that holds a partition of a group.
func (s *store) holderOf(name string, partition int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group(name).holder[partition]
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, target: make([]string, partitions), holder: make([]string, partitions)}
		s.groups[name] = g
	}
	return g
}

// rebalance distributes the partitions anew.
func (g *group) rebalance() {
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	g.generation++
	for p := range g.target {
		g.target[p] = ""
		if len(names) > 0 {
			g.target[p] = names[p%len(names)]
		}
	}
}

// settle removes silent members and hands over the partitions that are free.
func (g *group) settle() {
	for name, m := range g.members {
		if time.Since(m.lastJoin) > m.ttl {
			delete(g.members, name)
			g.rebalance()
		}
	}
	for p, holder := range g.holder {
		old := g.members[holder]
		if holder != g.target[p] && (old == nil || old.seen >= g.generation) {
			g.holder[p] = g.target[p]
		}
	}
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	var request joinRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Topics) == 0 {
		writeJSON(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(request.Group)
	g.topic = request.Topics[0]
	g.settle()
	m := g.members[request.Member]
	if m == nil {
		m = &member{name: request.Member}
		g.members[request.Member] = m
		g.rebalance()
		m.seen = g.generation
	}
	m.lastJoin, m.ttl = time.Now(), time.Duration(request.TTLMS)*time.Millisecond
	m.seen = max(m.seen, request.Generation)
	g.settle()
	parts := [][]any{}
	for p := range g.holder {
		if g.holder[p] == m.name && g.target[p] == m.name {
			parts = append(parts, []any{g.topic, p, 0})
		}
	}
	writeJSON(w, 200, map[string]any{"generation": g.generation, "ttlMs": request.TTLMS, "parts": parts})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	var request joinRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(request.Group)
	if g.members[request.Member] != nil {
		delete(g.members, request.Member)
		g.rebalance()
		g.settle()
	}
	writeJSON(w, 200, map[string]any{})
}

func (s *store) serveOwners(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	g.settle()
	rows := [][]any{}
	for p, holder := range g.holder {
		if holder != "" {
			rows = append(rows, []any{g.topic, p, holder, 0})
		}
	}
	writeJSON(w, 200, map[string]any{"owners": rows})
}

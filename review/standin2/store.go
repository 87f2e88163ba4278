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

// Times of the store's answers: its own time for a call, and for an append.
const (
	callTime   = 4 * time.Millisecond
	appendTime = 2 * time.Millisecond
)

// Store is a sound platform store. It serves each machine over a link of its own, so that it knows who
// calls and the link can be cut.
type Store struct {
	mu      sync.Mutex
	changed chan struct{}
	topics  map[string]*topic
	groups  map[string]*group
	// silent is set while the store is down: it does nothing and answers nobody.
	silent      bool
	silentSince time.Time
	// lastWriter is the machine whose append to a topic the store accepted last.
	lastWriter map[string]string
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	records   []record
	newest    map[string]int64
	producers map[string]*producer
}

// producer is what the store knows of a producer: its highest epoch and its last appends.
type producer struct {
	epoch int64
	next  int64
	last  []appendAnswer
}

type appendAnswer struct{ seq, offset, end int64 }

type group struct {
	generation int64
	members    map[string]*member
	owner      map[int]string
	target     map[int]string
	topic      string
}

type member struct {
	seen time.Time
	ttl  time.Duration
}

func newStore() *Store {
	return &Store{changed: make(chan struct{}), topics: map[string]*topic{}, groups: map[string]*group{}, lastWriter: map[string]string{}}
}

// topic returns a topic, which is created on first use. s.mu must be held.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// add appends records. s.mu must be held.
func (s *Store) add(t *topic, records []record) (offset, end int64) {
	offset = int64(len(t.records))
	for _, r := range records {
		t.newest[r.key] = int64(len(t.records))
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, int64(len(t.records))
}

// Put writes a record as the operator or a worker does. It returns false while the store is down.
func (s *Store) Put(name, key string, value any) bool {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.add(s.topic(name), []record{{key, data}})
	return true
}

// Newest returns the newest value of a key, or nil.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if i, ok := t.newest[key]; ok {
		return t.records[i].value
	}
	return nil
}

// SetSilent takes the store down, or brings it back.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && !silent {
		// The times of memberships pause while the store is down.
		for _, g := range s.groups {
			for _, m := range g.members {
				m.seen = m.seen.Add(time.Since(s.silentSince))
			}
		}
	}
	s.silent, s.silentSince = silent, time.Now()
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// LastWriter returns the machine that last appended to a topic.
func (s *Store) LastWriter(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter[name]
}

// SinceJoin returns how long ago a machine last renewed its membership of a group.
func (s *Store) SinceJoin(machine string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Hour
	for _, g := range s.groups {
		for name, m := range g.members {
			if strings.HasPrefix(name, machine) {
				since = min(since, time.Since(m.seen))
			}
		}
	}
	return since
}

// Handler serves the calls of one machine.
func (s *Store) Handler(machine string) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, serve func(http.ResponseWriter, *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytesReader(body))
			time.Sleep(callTime)
			if s.isSilent() {
				<-r.Context().Done()
				return
			}
			serve(w, r)
			if s.isSilent() {
				panic(http.ErrAbortHandler)
			}
		})
	}
	handle("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.append(machine, w, r) })
	handle("GET /log-read", s.read)
	handle("GET /log-newest", s.list)
	handle("POST /log-trim", func(w http.ResponseWriter, _ *http.Request) { answer(w, 200, map[string]any{}) })
	handle("POST /log-join", s.join)
	handle("POST /log-leave", s.leave)
	handle("GET /log-owners", s.owners)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

// append handles an append as the protocol page says: the epoch first, then repeats, the expected end
// and the sequence number.
func (s *Store) append(machine string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var records []record
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		key := int(content[0])
		records = append(records, record{string(content[1 : 1+key]), append([]byte(nil), content[1+key:]...)})
		body = body[4+size:]
	}
	time.Sleep(appendTime)
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	var p *producer
	epoch, _ := number(r, "epoch")
	seq, hasSeq := number(r, "seq")
	if id := r.URL.Query().Get("producer"); id != "" {
		if t.producers[id] == nil {
			t.producers[id] = &producer{epoch: -1}
		}
		p = t.producers[id]
		if epoch < p.epoch {
			answer(w, 409, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == p.epoch && hasSeq {
			for _, a := range p.last {
				if a.seq == seq {
					answer(w, 200, map[string]any{"offset": a.offset, "endOffset": a.end})
					return
				}
			}
		}
	}
	if at, ok := number(r, "at"); ok && at != end {
		answer(w, 412, map[string]any{"endOffset": end})
		return
	}
	if p != nil {
		if epoch == p.epoch && hasSeq && p.next >= 0 && seq != p.next {
			answer(w, 409, map[string]any{"reason": "seq", "seq": p.next})
			return
		}
		if epoch > p.epoch {
			p.epoch, p.last, p.next = epoch, nil, -1
		}
	}
	if len(records) == 0 {
		answer(w, 200, map[string]any{"offset": end, "endOffset": end})
		return
	}
	s.lastWriter[name] = machine
	offset, end := s.add(t, records)
	if p != nil && hasSeq {
		p.next = seq + 1
		p.last = append(p.last, appendAnswer{seq, offset, end})
		p.last = p.last[max(0, len(p.last)-5):]
	}
	answer(w, 200, map[string]any{"offset": offset, "endOffset": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	from, _ := number(r, "from")
	wait, _ := number(r, "waitMs")
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		if from < int64(len(t.records)) || wait == 0 {
			break
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
	t := s.topic(name)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i >= 0 && i < int64(len(t.records)) && len(out) < 1<<20; i++ {
		rec := t.records[i]
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	s.mu.Unlock()
	_, _ = w.Write(out)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("dependsOn")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key, offset := range t.newest {
		if key > after && len(t.records[offset].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	items := []map[string]any{}
	for _, key := range keys[:min(500, len(keys))] {
		offset := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[offset].value), "offset": offset})
	}
	answer(w, 200, map[string]any{"items": items, "hasMore": more, "endOffset": len(t.records)})
}

// partitions is `parts` in the settings.
const partitions = 32

// expire removes the members that have been silent for their time to live. s.mu must be held.
func (g *group) expire() {
	for name, m := range g.members {
		if time.Since(m.seen) > m.ttl {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if g.members[name] == nil {
		return
	}
	delete(g.members, name)
	for p, owner := range g.owner {
		if owner == name {
			delete(g.owner, p)
		}
	}
	g.deal()
}

// deal distributes the partitions evenly, and lets as many as it can stay where they are.
func (g *group) deal() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	count := map[string]int{}
	var free []int
	for p := range partitions {
		name := g.target[p]
		if g.members[name] != nil && count[name] < (partitions+len(names)-1)/len(names) {
			count[name]++
			continue
		}
		delete(g.target, p)
		free = append(free, p)
	}
	for _, p := range free {
		best := ""
		for _, name := range names {
			if best == "" || count[name] < count[best] {
				best = name
			}
		}
		if best != "" {
			g.target[p] = best
			count[best]++
		}
	}
	// Those with too many give to those with too few.
	for _, low := range names {
		for count[low] < partitions/len(names) {
			for p := range partitions {
				if high := g.target[p]; count[high] > partitions/len(names) && high != low {
					g.target[p] = low
					count[high]--
					count[low]++
					break
				}
			}
		}
	}
}

func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, owner: map[int]string{}, target: map[int]string{}}
		s.groups[name] = g
	}
	g.expire()
	return g
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Group, Member string
		Topics        []string
		TTLMs         int64 `json:"ttlMs"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Topics) != 1 {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(call.Group)
	g.topic = call.Topics[0]
	if g.members[call.Member] == nil {
		g.members[call.Member] = &member{}
		g.deal()
	} else if call.Generation >= g.generation {
		// It has been told what it no longer holds.
		for p, owner := range g.owner {
			if owner == call.Member && g.target[p] != call.Member {
				delete(g.owner, p)
			}
		}
	}
	m := g.members[call.Member]
	m.seen, m.ttl = time.Now(), time.Duration(call.TTLMs)*time.Millisecond
	parts := [][]any{}
	for p := range partitions {
		if g.target[p] == call.Member && (g.owner[p] == "" || g.owner[p] == call.Member) {
			g.owner[p] = call.Member
			parts = append(parts, []any{g.topic, p, 0})
		}
	}
	answer(w, 200, map[string]any{"generation": g.generation, "ttlMs": call.TTLMs, "parts": parts})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var call struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(call.Group).remove(call.Member)
	answer(w, 200, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	rows := [][]any{}
	for p := range partitions {
		if owner := g.owner[p]; owner != "" {
			rows = append(rows, []any{g.topic, p, owner, 0})
		}
	}
	answer(w, 200, map[string]any{"parts": rows})
}

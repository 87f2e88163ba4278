package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rattanpath/platform"
)

const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 10 * time.Second
	stopTime    = 150 * time.Millisecond
	startupTime = 500 * time.Millisecond
)

// machine has one worker at a time, at an address that stays.
type machine struct {
	w       *world
	name    string
	pool    string
	address string
	cpu     int64
	labels  []string

	mu       sync.Mutex
	state    string
	worker   *worker
	server   *http.Server
	listener *gate
}

// worker is one life of a machine. Its state is lost at the end of that life.
type worker struct {
	m    *machine
	id   string
	born time.Time

	mu   sync.Mutex
	gone bool
	// silent is nil unless the machine is dark. It is closed once that is over.
	silent   <-chan struct{}
	token    int64
	until    time.Duration
	runs     map[string]*run
	highest  map[string]int
	finished [][]any
	last     int64
	changed  chan struct{}
	seq      int
}

// run is a run of a task.
type run struct {
	task, saved string
	number      int
	began       time.Time
	spec        spec
	stopping    bool
}

// spec is what a job's spec says of its tasks. The tasks of a job with Ms 0 last.
type spec struct {
	Ms     int64  `json:"ms"`
	CPU    int64  `json:"cpu"`
	Tenant string `json:"tenant"`
}

// addMachine starts a machine with a worker.
func (w *world) addMachine(pool string, cpu int64, labels ...string) {
	w.mu.Lock()
	m := &machine{w: w, name: fmt.Sprintf("m-%d", len(w.machines)+1), pool: pool, cpu: cpu, labels: labels}
	m.address = fmt.Sprintf("%s.%d:%d", w.prefix, 101+len(w.machines), workerPort)
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	m.up()
}

// up starts a worker with an id of its own.
func (m *machine) up() {
	m.w.mu.Lock()
	m.w.lives++
	id := fmt.Sprintf("i-%08x", m.w.lives*7919)
	m.w.mu.Unlock()
	v := &worker{m: m, id: id, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /run-start", v.handle(v.start))
	mux.HandleFunc("POST /run-stop", v.handle(v.stop))
	mux.HandleFunc("POST /pace", v.handle(v.pace))
	mux.HandleFunc("POST /hold", v.handle(v.hold))
	listener := newGate(m.address)
	m.mu.Lock()
	m.state, m.worker, m.listener, m.server = "up", v, listener, &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(listener) }(m.server)
	m.mu.Unlock()
	m.w.log.printf("worker %s of %s is up, machine %s at %s", id, m.pool, m.name, m.address)
	go v.beat()
	go v.lapse()
}

// down ends the worker at once: its address refuses connections.
func (m *machine) down(why string) {
	if v := m.endLife(false); v != nil {
		m.w.log.printf("worker %s is down: %s", v.id, why)
	}
}

// dark ends the worker at once, with the power of its machine, which gives no answer until light.
func (m *machine) dark(why string) {
	if v := m.endLife(true); v != nil {
		m.w.log.printf("worker %s is dark: %s", v.id, why)
	}
}

// light starts a worker on a machine that was dark.
func (m *machine) light() {
	m.mu.Lock()
	server, listener := m.server, m.listener
	m.mu.Unlock()
	listener.open()
	_ = server.Close()
	m.up()
}

// endLife ends the worker. If the machine goes dark, its connections stay open, and nothing that
// arrives is read.
func (m *machine) endLife(dark bool) *worker {
	m.mu.Lock()
	v, server, listener := m.worker, m.server, m.listener
	m.worker, m.state = nil, "down"
	m.mu.Unlock()
	if v == nil {
		return nil
	}
	v.mu.Lock()
	if dark {
		v.silent = listener.shut()
	}
	v.gone = true
	for _, r := range v.runs {
		m.w.log.ended(v.id, r, "gone")
	}
	v.runs = map[string]*run{}
	close(v.changed)
	v.changed = make(chan struct{})
	v.mu.Unlock()
	if !dark {
		_ = server.Close()
	}
	time.AfterFunc(3*heartbeat, func() { m.w.store.Put(platform.HostTopic, v.id, nil) })
	return v
}

// beat writes the worker's entry until the worker ends.
func (v *worker) beat() {
	for {
		v.mu.Lock()
		if v.gone {
			v.mu.Unlock()
			return
		}
		v.seq++
		entry, _ := json.Marshal(map[string]any{
			"service": v.m.pool, "address": v.m.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int64{"cpu": v.m.cpu, "memMb": 65536, "gpu": 0}, "labels": v.m.labels, "clockMs": v.clock().Milliseconds(),
			"seq": v.seq, "born": v.born.UnixMilli(),
		})
		v.m.w.store.Put(platform.HostTopic, v.id, entry)
		v.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

func (v *worker) clock() time.Duration { return time.Second + time.Since(v.born) }

// lapse kills everything once the lease has expired.
func (v *worker) lapse() {
	for {
		time.Sleep(10 * time.Millisecond)
		v.mu.Lock()
		if v.gone {
			v.mu.Unlock()
			return
		}
		if v.clock() >= v.until {
			for _, r := range v.runs {
				v.end(r, "lapsed")
			}
		}
		v.mu.Unlock()
	}
}

// end lists the end of a run. v.mu must be held.
func (v *worker) end(r *run, how string) {
	key := r.task + "/" + strconv.Itoa(r.number)
	if v.runs[key] != r {
		return
	}
	delete(v.runs, key)
	v.highest[r.task] = max(v.highest[r.task], r.number)
	v.last++
	v.finished = append(v.finished, []any{v.last, r.task, r.number, how, r.saved})
	v.m.w.log.ended(v.id, r, how)
	close(v.changed)
	v.changed = make(chan struct{})
}

// command is the body of a call.
type command struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

func (v *worker) handle(act func(command, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		v.leave()
		var c command
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if err != nil || json.Unmarshal(body, &c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, reply := act(c, r)
		v.leave()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// leave ends a call without an answer if the worker has ended, and not before its machine has power.
func (v *worker) leave() {
	v.mu.Lock()
	gone, silent := v.gone, v.silent
	v.mu.Unlock()
	if silent != nil {
		<-silent
	}
	if gone {
		panic(http.ErrAbortHandler)
	}
}

// refuse returns a refusal. v.mu must be held.
func (v *worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": v.clock().Milliseconds(), "born": v.born.UnixMilli(), "reason": reason}
}

func (v *worker) accept() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clockMs": v.clock().Milliseconds(), "born": v.born.UnixMilli()}
}

// fenced checks and keeps a token, and extends the lease. v.mu must be held.
func (v *worker) fenced(c command) bool {
	if c.FencingToken < v.token {
		return true
	}
	v.token = c.FencingToken
	v.until = max(v.until, min(time.Duration(c.UntilMS)*time.Millisecond, v.clock()+holdMax))
	return false
}

func (v *worker) start(c command, _ *http.Request) (int, map[string]any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := c.Task + "/" + strconv.Itoa(c.Run)
	switch {
	case v.gone:
		return 0, nil
	case v.fenced(c):
		return v.refuse("fence")
	case v.runs[key] != nil:
		return v.accept()
	case c.Run <= v.highest[c.Task]:
		return v.refuse("old")
	case time.Duration(c.UntilMS)*time.Millisecond <= v.clock():
		return v.refuse("late")
	}
	r := &run{task: c.Task, saved: c.Checkpoint, number: c.Run, began: time.Now()}
	if json.Unmarshal([]byte(c.Spec), &r.spec) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	v.runs[key] = r
	v.m.w.log.began(v.id, r)
	if r.spec.Ms > 0 {
		time.AfterFunc(time.Duration(r.spec.Ms)*time.Millisecond, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.end(r, "done")
		})
	}
	return v.accept()
}

func (v *worker) stop(c command, _ *http.Request) (int, map[string]any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fenced(command{FencingToken: c.FencingToken}) {
		return v.refuse("fence")
	}
	v.highest[c.Task] = max(v.highest[c.Task], c.Run)
	if r := v.runs[c.Task+"/"+strconv.Itoa(c.Run)]; r != nil && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.end(r, "stopped")
		})
	}
	return v.accept()
}

func (v *worker) pace(c command, _ *http.Request) (int, map[string]any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fenced(command{FencingToken: c.FencingToken}) {
		return v.refuse("fence")
	}
	return v.accept()
}

func (v *worker) hold(c command, r *http.Request) (int, map[string]any) {
	deadline := time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fenced(c) {
		return v.refuse("fence")
	}
	kept := v.finished[:0:0]
	for _, row := range v.finished {
		if row[0].(int64) > c.LastSeen {
			kept = append(kept, row)
		}
	}
	v.finished = kept
	for len(v.finished) == 0 && !v.gone {
		changed := v.changed
		v.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			over = true
		}
		v.mu.Lock()
		if over {
			break
		}
	}
	running := [][]any{}
	for _, r := range v.runs {
		running = append(running, []any{r.task, r.number, r.saved, r.percent(), 10})
	}
	status, reply := v.accept()
	reply["running"], reply["finished"] = running, append([][]any{}, v.finished[:min(500, len(v.finished))]...)
	return status, reply
}

func (r *run) percent() int {
	full := startupTime
	if r.spec.Ms > 0 {
		full = time.Duration(r.spec.Ms) * time.Millisecond
	}
	return int(min(100, 100*time.Since(r.began)/full))
}

func (w *world) list(out http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	machines := append([]*machine(nil), w.machines...)
	w.mu.Unlock()
	entries := []map[string]any{}
	for _, m := range machines {
		m.mu.Lock()
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		entries = append(entries, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "a", "labels": m.labels,
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": 65536, "gpu": 0}, "id": id,
		})
		m.mu.Unlock()
	}
	answer(out, http.StatusOK, map[string]any{"machines": entries, "nextToken": nil})
}

func answer(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// order is the body of an order for a machine.
type order struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
}

func (w *world) move(out http.ResponseWriter, r *http.Request) {
	w.order(out, r, moveTime, "moving", func(m *machine, o order) { m.pool = o.Pool })
}

func (w *world) upkeep(out http.ResponseWriter, r *http.Request) {
	w.order(out, r, upkeepTime, "upkeep", func(*machine, order) {})
}

func (w *world) order(out http.ResponseWriter, r *http.Request, away time.Duration, state string, change func(*machine, order)) {
	var o order
	_ = json.NewDecoder(r.Body).Decode(&o)
	w.log.printf("order of %s: %s %s to %s", r.Header.Get("X-Lease-Holder"), strings.TrimPrefix(r.URL.Path, "/machine-"), o.Machine, o.Pool)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.name != o.Machine {
			continue
		}
		m.mu.Lock()
		up, there := m.state == "up", state == "moving" && m.pool == o.Pool
		m.mu.Unlock()
		if there || !up {
			status, body := http.StatusOK, map[string]any{}
			if !there {
				status, body = http.StatusConflict, map[string]any{"reason": "busy"}
			}
			answer(out, status, body)
			return
		}
		m.down("it is " + state)
		m.mu.Lock()
		m.state = state
		change(m, o)
		m.mu.Unlock()
		time.AfterFunc(away, m.up)
		answer(out, http.StatusOK, map[string]any{})
		return
	}
	answer(out, http.StatusBadRequest, map[string]any{})
}

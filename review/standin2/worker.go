package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func bytesReader(data []byte) io.Reader { return bytes.NewReader(data) }

// Bounds of the small deployments.
const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	stopTime  = 200 * time.Millisecond
)

// Kind is what a worker says of its capacity and labels.
type Kind struct {
	CPU    int64
	MemMB  int64
	Labels []string
}

// Worker is a sound worker that doesn't guard its capacity. After Crash, Boot begins a new life at the
// same address.
type Worker struct {
	world   *World
	id      string
	service string
	zone    string
	address string
	machine string

	mu       sync.Mutex
	kind     Kind
	life     int
	up       bool
	draining bool
	born     time.Time
	seq      int64
	token    int64
	until    time.Duration
	runs     map[string]*run
	// ended holds the highest run of each task that was stopped or ended here.
	ended    map[string]int
	finished []end
	ends     int64
	changed  chan struct{}
	server   *http.Server
	beats    context.CancelFunc
}

type run struct {
	task   string
	number int
	began  time.Time
	// length is 0 for a task that lasts.
	length   time.Duration
	stopping bool
	// ended is when the run ended, zero if it is on.
	ended time.Time
}

// isOn reports whether the run was on at a time after its start.
func (r *run) isOn(at time.Time) bool { return r.ended.IsZero() || r.ended.After(at) }

type end struct {
	n    int64
	task string
	run  int
	how  string
}

// Boot begins a life of the worker.
func (w *Worker) Boot(kind Kind) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.kind, w.up, w.draining = kind, true, false
	w.life++
	w.born = time.Now()
	w.seq, w.token, w.until, w.ends = 0, 0, 0, 0
	w.runs, w.ended, w.finished = map[string]*run{}, map[string]int{}, nil
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.start))
	mux.HandleFunc("POST /run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /hold", w.serve(w.hold))
	mux.HandleFunc("POST /pace", w.serve(w.pace))
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { answer(out, 200, map[string]any{}) })
	w.server = &http.Server{Handler: mux}
	server, life := w.server, w.life
	ctx, cancel := context.WithCancel(context.Background())
	w.beats = cancel
	w.mu.Unlock()
	w.world.log("worker %s life %d begins: %d cpu, labels %v", w.id, life, kind.CPU, kind.Labels)
	w.world.cloud.Note(w, true, kind)
	go func() { _ = server.Serve(listener) }()
	go w.beat(ctx)
	go w.tick(ctx)
	return nil
}

// Crash ends the life of the worker at once.
func (w *Worker) Crash() {
	w.mu.Lock()
	server := w.server
	w.beats()
	w.up = false
	for _, r := range w.runs {
		w.world.ran(w, r, "crashed")
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	kind := w.kind
	_ = server.Close()
	w.world.cloud.Note(w, false, kind)
	w.world.log("worker %s crashes", w.id)
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// beat writes the worker's record.
func (w *Worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": w.kind.CPU, "memMb": w.kind.MemMB, "gpu": 0}, "labels": w.kind.Labels,
			"machine": w.machine, "clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "seq": w.seq,
		}
		w.mu.Unlock()
		w.world.store.Put("keyed.servers", w.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// tick ends the runs whose time or lease is over.
func (w *Worker) tick(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if ctx.Err() != nil {
			w.mu.Unlock()
			return
		}
		now := w.clock()
		for key, r := range w.runs {
			switch {
			case now > w.until:
				w.end(key, r, "lapsed")
			case r.length > 0 && time.Since(r.began) >= r.length:
				w.end(key, r, "done")
			}
		}
		w.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *Worker) end(key string, r *run, how string) {
	delete(w.runs, key)
	w.ended[r.task] = max(w.ended[r.task], r.number)
	w.ends++
	w.finished = append(w.finished, end{w.ends, r.task, r.number, how})
	w.world.ran(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Checkpoint   string `json:"checkpoint"`
}

func (w *Worker) serve(call func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			answer(out, 400, map[string]any{})
			return
		}
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
			answer(out, 421, map[string]any{})
			return
		}
		w.mu.Lock()
		if !w.up {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, body := call(r, o)
		if body == nil {
			body = map[string]any{}
		}
		body["clockMs"] = max(1, w.clock().Milliseconds())
		w.mu.Unlock()
		answer(out, status, body)
	}
}

// fenced reports whether a token is too low. w.mu must be held.
func (w *Worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *Worker) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock()+holdMax)
	w.until = max(w.until, until)
}

func refusal(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

func (w *Worker) start(_ *http.Request, o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return refusal("fence")
	}
	key := fmt.Sprintf("%s/%d", o.Task, o.Run)
	if time.Duration(o.UntilMs)*time.Millisecond <= w.clock() {
		return refusal("late")
	}
	w.extend(o.UntilMs)
	if w.runs[key] != nil {
		return 200, nil
	}
	if o.Run <= w.ended[o.Task] {
		return refusal("old")
	}
	r := &run{task: o.Task, number: o.Run, began: time.Now(), length: lengthOf(o.Spec)}
	w.runs[key] = r
	w.world.started(w, r)
	return 200, nil
}

// lengthOf returns how long a task works; its spec says it ("ms=800"), or that it lasts.
func lengthOf(spec string) time.Duration {
	text, ok := strings.CutPrefix(spec, "ms=")
	ms, err := strconv.Atoi(text)
	if !ok || err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *Worker) stop(_ *http.Request, o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return refusal("fence")
	}
	key := fmt.Sprintf("%s/%d", o.Task, o.Run)
	w.ended[o.Task] = max(w.ended[o.Task], o.Run)
	if r := w.runs[key]; r != nil && !r.stopping {
		r.stopping = true
		life := w.life
		time.AfterFunc(stopTime/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == life && w.runs[key] == r {
				w.end(key, r, "stopped")
			}
		})
	}
	return 200, nil
}

func (w *Worker) pace(_ *http.Request, o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return refusal("fence")
	}
	return 200, nil
}

func (w *Worker) hold(r *http.Request, o order) (int, map[string]any) {
	if w.fenced(o.FencingToken) {
		return refusal("fence")
	}
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	var kept []end
	for _, e := range w.finished {
		if e.n > o.LastSeen {
			kept = append(kept, e)
		}
	}
	w.finished = kept
	if o.WaitMs > 0 && len(kept) == 0 {
		changed, life := w.changed, w.life
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.life != life || !w.up {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100
		if r.length > 0 {
			percent = min(99, int(100*time.Since(r.began)/r.length))
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.finished[:min(500, len(w.finished))] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	return 200, map[string]any{"running": running, "finished": finished, "born": w.born.UnixMilli()}
}

// Running returns the tasks of a job that run on the worker.
func (w *Worker) Running(job string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for key := range w.runs {
		if strings.HasPrefix(key, job+".") {
			tasks = append(tasks, key)
		}
	}
	return tasks
}

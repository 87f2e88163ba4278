package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings that workers keep to.
const (
	holdMax     = 6000 * time.Millisecond
	stopTime    = 100 * time.Millisecond
	startupTime = 300 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	maxListed   = 500
)

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// execution is a run in progress on a worker.
type execution struct {
	task     string
	run      int
	started  time.Time
	duration time.Duration
	lasting  bool
	stopAt   time.Time
	// gang is nil unless the task is a member of one.
	gang *gang
}

// gang is one run of a gang: it works from the moment when all members are present.
type gang struct {
	size    int
	members int
	begun   time.Time
	// how is how the run has ended for all members, or empty.
	how string
}

// gangTime is how long a member waits for the others.
const gangTime = 3000 * time.Millisecond

// joinGang counts a member of a gang, whose spec is "gang=SIZE,ms=MEAN".
func (w *world) joinGang(o order) (*gang, time.Duration) {
	var size, ms int
	if _, err := fmt.Sscanf(o.Spec, "gang=%d,ms=%d", &size, &ms); err != nil {
		return nil, 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	name := fmt.Sprintf("%s %d", o.Task[:strings.LastIndex(o.Task, ".")], o.Run)
	g := w.gangs[name]
	if g == nil {
		g = &gang{size: size}
		w.gangs[name] = g
	}
	if g.members++; g.members == size {
		g.begun = time.Now()
	}
	return g, time.Duration(ms) * time.Millisecond
}

// gangEnd returns how a member of a gang ends now, or an empty string.
func (w *world) gangEnd(x *execution) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := x.gang
	switch {
	case g.how != "":
	case g.begun.IsZero() && time.Since(x.started) >= gangTime:
		return "alone"
	case !g.begun.IsZero() && time.Since(g.begun) >= x.duration:
		g.how = "done"
	}
	return g.how
}

// breakGang ends the run of a gang for the other members.
func (w *world) breakGang(g *gang) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.how == "" && !g.begun.IsZero() {
		g.how = "broken"
	}
}

type end struct {
	n    int64
	task string
	run  int
	how  string
}

// worker is a stand-in for a worker: one life of a machine.
type worker struct {
	id, service, machine, rack string
	capacity                   resources
	moving                     bool
	world                      *world

	mu       sync.Mutex
	address  string
	born     time.Time
	listener net.Listener
	server   *http.Server
	seq      int64
	token    int64
	lease    time.Duration
	running  map[string]*execution
	// barred holds the highest run of each task that has ended or was stopped here.
	barred   map[string]int
	finished []end
	ends     int64
	changed  chan struct{}
	gone     chan struct{}
}

// durationOf returns how long a task runs, which its spec tells, and whether it lasts.
func durationOf(spec string) (time.Duration, bool) {
	if spec == "lasts" {
		return 0, true
	}
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "ms="))
	if err != nil {
		ms = 500
	}
	return time.Duration(ms) * time.Millisecond, false
}

// uneven returns the run time of a task of a step whose tasks take from half to one and a half
// times as long as the mean.
func uneven(mean time.Duration, task string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task))
	return time.Duration(float64(mean) * (0.5 + float64(hash.Sum32()%1000)/1000))
}

// start begins a life of the worker.
func (wk *worker) start() error {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	address := wk.address
	if address == "" {
		address = wk.world.ip + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	wk.address = listener.Addr().String()
	wk.listener, wk.born = listener, time.Now()
	wk.seq, wk.token, wk.lease, wk.ends = 0, 0, 0, 0
	wk.running, wk.barred, wk.finished = map[string]*execution{}, map[string]int{}, nil
	wk.changed, wk.gone = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", wk.serveStart)
	mux.HandleFunc("POST /run-stop", wk.serveStop)
	mux.HandleFunc("POST /pace", wk.servePace)
	mux.HandleFunc("POST /hold", wk.serveHold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	wk.server = &http.Server{Handler: wk.world.delayed(mux)}
	go func(server *http.Server) { _ = server.Serve(listener) }(wk.server)
	go wk.loop(wk.gone)
	return nil
}

// end ends this life of the worker and all that runs.
func (wk *worker) end(why string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	select {
	case <-wk.gone:
		return
	default:
		close(wk.gone)
	}
	for _, x := range wk.running {
		wk.world.runEnded(wk, x.task, x.run, why)
	}
	wk.running = map[string]*execution{}
	_ = wk.server.Close()
}

func (wk *worker) clock() time.Duration { return time.Since(wk.born) + time.Second }

// loop ends runs as their time comes and writes the worker's entry to the store.
func (wk *worker) loop(gone chan struct{}) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	var written time.Time
	for {
		select {
		case <-gone:
			return
		case <-tick.C:
		}
		wk.mu.Lock()
		wk.advance()
		wk.mu.Unlock()
		if time.Since(written) >= heartbeat {
			written = time.Now()
			wk.writeEntry()
		}
	}
}

func (wk *worker) writeEntry() {
	wk.mu.Lock()
	wk.seq++
	value, _ := json.Marshal(map[string]any{
		"service": wk.service, "address": wk.address, "zone": zoneName, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": wk.capacity, "labels": []string{"a", wk.rack},
		"clockMs": wk.clock().Milliseconds(), "born": wk.born.UnixMilli(), "seq": wk.seq,
	})
	wk.mu.Unlock()
	wk.world.store.put("keyed.servers", wk.id, value)
}

// advance ends what is due. wk.mu must be held.
func (wk *worker) advance() {
	now := time.Now()
	lapsed := len(wk.running) > 0 && wk.clock() > wk.lease
	for _, x := range wk.running {
		switch {
		case lapsed:
			wk.finish(x, "lapsed")
		case !x.stopAt.IsZero() && now.After(x.stopAt):
			wk.finish(x, "stopped")
		case x.gang != nil:
			if how := wk.world.gangEnd(x); how != "" {
				wk.finish(x, how)
			}
		case !x.lasting && now.Sub(x.started) >= x.duration:
			wk.finish(x, "done")
		}
	}
}

func (wk *worker) finish(x *execution, how string) {
	delete(wk.running, x.task)
	wk.barred[x.task] = max(wk.barred[x.task], x.run)
	if x.gang != nil {
		wk.world.breakGang(x.gang)
	}
	wk.ends++
	wk.finished = append(wk.finished, end{wk.ends, x.task, x.run, how})
	close(wk.changed)
	wk.changed = make(chan struct{})
	wk.world.runEnded(wk, x.task, x.run, how)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"untilMs"`
	Token    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	WaitMS   int64  `json:"waitMs"`
}

// accept decodes an order and checks for whom it is and its token. It returns false after it
// has answered itself; otherwise wk.mu is held.
func (wk *worker) accept(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, 400, map[string]any{})
		return o, false
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != wk.id {
		writeJSON(w, 421, map[string]any{})
		return o, false
	}
	wk.mu.Lock()
	if o.Token < wk.token {
		wk.refuse(w, "fence")
		wk.mu.Unlock()
		return o, false
	}
	wk.token = o.Token
	wk.advance()
	return o, true
}

func (wk *worker) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, 409, map[string]any{"clockMs": wk.clock().Milliseconds(), "born": wk.born.UnixMilli(), "reason": reason})
}

func (wk *worker) ok(w http.ResponseWriter) {
	writeJSON(w, 200, map[string]any{"clockMs": wk.clock().Milliseconds(), "born": wk.born.UnixMilli()})
}

// extend extends the lease, which never shortens.
func (wk *worker) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, wk.clock()+holdMax)
	wk.lease = max(wk.lease, until)
}

func (wk *worker) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := wk.accept(w, r)
	if !ok {
		return
	}
	defer wk.mu.Unlock()
	if x := wk.running[o.Task]; x != nil && x.run == o.Run {
		wk.extend(o.UntilMS)
		wk.ok(w)
		return
	}
	switch {
	case time.Duration(o.UntilMS)*time.Millisecond <= wk.clock():
		wk.refuse(w, "late")
		return
	case wk.running[o.Task] != nil || o.Run <= wk.barred[o.Task]:
		wk.extend(o.UntilMS)
		wk.refuse(w, "old")
		return
	}
	wk.extend(o.UntilMS)
	duration, lasting := durationOf(o.Spec)
	if wk.world.uneven {
		duration = uneven(duration, o.Task)
	}
	x := &execution{task: o.Task, run: o.Run, started: time.Now(), duration: duration, lasting: lasting}
	if g, mean := wk.world.joinGang(o); g != nil {
		x.gang, x.duration = g, mean
	}
	wk.running[o.Task] = x
	wk.world.runStarted(wk, o)
	wk.ok(w)
}

func (wk *worker) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := wk.accept(w, r)
	if !ok {
		return
	}
	defer wk.mu.Unlock()
	if x := wk.running[o.Task]; x != nil && x.run == o.Run {
		if x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
	} else {
		wk.barred[o.Task] = max(wk.barred[o.Task], o.Run)
	}
	wk.ok(w)
}

func (wk *worker) servePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := wk.accept(w, r); ok {
		wk.ok(w)
		wk.mu.Unlock()
	}
}

func (wk *worker) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := wk.accept(w, r)
	if !ok {
		return
	}
	defer wk.mu.Unlock()
	if o.UntilMS > 0 {
		wk.extend(o.UntilMS)
	}
	for len(wk.finished) > 0 && wk.finished[0].n <= o.LastSeen {
		wk.world.endNoted(wk, wk.finished[0])
		wk.finished = wk.finished[1:]
	}
	if len(wk.finished) == 0 && o.WaitMS > 0 {
		changed, gone := wk.changed, wk.gone
		wk.mu.Unlock()
		select {
		case <-changed:
		case <-gone:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		wk.mu.Lock()
		wk.advance()
	}
	running := [][]any{}
	for _, x := range wk.running {
		running = append(running, []any{x.task, x.run, "", x.percent(), x.load()})
	}
	finished := [][]any{}
	for _, e := range wk.finished[:min(len(wk.finished), maxListed)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	writeJSON(w, 200, map[string]any{
		"clockMs": wk.clock().Milliseconds(), "born": wk.born.UnixMilli(), "running": running, "finished": finished,
	})
}

func (x *execution) percent() int {
	elapsed := time.Since(x.started)
	if x.lasting {
		return int(min(100, 100*elapsed/startupTime))
	}
	return int(min(99, 100*elapsed/max(x.duration, time.Millisecond)))
}

func (x *execution) load() int {
	if x.lasting {
		return 5
	}
	return 100
}

func (wk *worker) String() string { return fmt.Sprintf("%s of %s", wk.id, wk.service) }

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	zoneName  = "zone-a"
	adminPort = "9464"
	moveTime  = 1500 * time.Millisecond
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// runRecord is what a worker saw of one run.
type runRecord struct {
	task, worker, service string
	run                   int
	started, ended        time.Time
	how                   string
	noted                 bool
}

// world holds the stand-ins and the nodes.
type world struct {
	rec   *recorder
	ip    string
	dir   string
	store *store
	nodes []*node
	// watched are the prefixes of the tasks whose runs are recorded one by one; nil records
	// all. Of the others the record has the numbers of each second.
	watched []string
	// delay is how long what nodes and workers send each other is on its way.
	delay time.Duration
	// gangs holds the runs of gangs by step and run.
	gangs map[string]*gang
	// uneven makes the run times of the tasks of a step differ.
	uneven bool

	mu       sync.Mutex
	workers  map[string]*worker
	runs     []*runRecord
	lives    int
	services []map[string]any
	routes   []map[string]any
	version  int64
	nextNode int

	cloudAddress string
	closers      []func()
}

func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{rec: &recorder{file: file, start: time.Now()}, dir: dir, workers: map[string]*worker{}, gangs: map[string]*gang{}}
	if w.ip, err = freeAddress(); err != nil {
		return nil, err
	}
	w.store = newStore(w.rec)
	w.cloudAddress, err = w.serve(w.cloudHandler())
	return w, err
}

// freeAddress returns a loopback address on which the port of the deploy file is free, as on
// the addresses after it.
func freeAddress() (string, error) {
	for range 100 {
		base := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := 1; i <= 9; i++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%s", base, i, adminPort))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return base + "9", nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// close ends all that the world has started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.mu.Lock()
	var workers []*worker
	for _, wk := range w.workers {
		workers = append(workers, wk)
	}
	w.mu.Unlock()
	for _, wk := range workers {
		wk.end("over")
	}
	for _, c := range w.closers {
		c()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.rec.file.Close()
}

// node is a process of the project's.
type node struct {
	world   *world
	name    string
	ip      string
	process *exec.Cmd
	done    chan struct{}
	log     *os.File
	// storeAddress is where this node reaches the store, which turns the node away while
	// turnedAway is set.
	storeAddress string
	turnedAway   atomic.Bool
}

// startNode starts a node with the command of the deploy file.
func (w *world) startNode() (*node, error) {
	w.nextNode++
	n := &node{world: w, name: fmt.Sprintf("front-%s-%d", zoneName, w.nextNode)}
	n.ip = strings.TrimSuffix(w.ip, "9") + fmt.Sprint(w.nextNode)
	w.nodes = append(w.nodes, n)
	handler, err := w.store.handler(), error(nil)
	n.storeAddress, err = w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if n.turnedAway.Load() {
			writeJSON(rw, 503, map[string]any{})
			return
		}
		handler.ServeHTTP(rw, r)
	}))
	if err != nil {
		return nil, err
	}
	return n, n.start()
}

// ownerOf returns the node that holds a partition of the cells.
func (w *world) ownerOf(partition int) *node {
	holder := w.store.holderOf("cells", partition)
	for _, n := range w.nodes {
		if strings.HasPrefix(holder, n.name+"@") {
			return n
		}
	}
	return nil
}

func (n *node) front() string { return n.ip + ":8624" }

func (n *node) start() error {
	path := filepath.Join(n.world.dir, n.name+".yaml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	program, err := filepath.Abs("target/rattanpath")
	if err != nil {
		return err
	}
	if n.log, err = os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	n.process = exec.Command(program, "manage", "--admin-port", adminPort)
	n.process.Env = append(os.Environ(), "RATTANPATH_SETTINGS="+path)
	n.process.Stdout, n.process.Stderr = n.log, n.log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(p *exec.Cmd, done chan struct{}) {
		_ = p.Wait()
		close(done)
	}(n.process, n.done)
	n.world.rec.printf("node %s started", n.name)
	return nil
}

func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	<-n.done
	n.process = nil
	_ = n.log.Close()
}

// ended reports whether the process has ended by itself.
func (n *node) ended() bool {
	select {
	case <-n.done:
		return n.process != nil
	default:
		return false
	}
}

func (n *node) settings() string {
	return fmt.Sprintf(`nodeName: %q
role: "node"
machineClass: "front"
serves:
  - "front"
ip: %q
zone: %q
region: "region-a"
zones:
  %s: "region-a"
listen:
  front: "%[2]s:8624"
  ready: "%[2]s:8622"
internalPorts:
  - 7060
  - 7075
bootstrap: true
lossCounts: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
bounds:
  seedLagS: 3
  addrReuseS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxStretchMs: 5000
  recoveryS: 12
  holdMaxMs: 6000
  stopMs: 400
  gangMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  farX: 3
  checkpointS: 2
  restoreMs: 600
  noticeMs: 4500
  moveS: 1.5
  maintenanceS: 2
  fencingRequired: false
  leaseMs: 3000
  thawSlackMs: 300
  paceMs: 100
  harmMs: 4000
commands: "rpc"
platform:
  address: %[5]q
  form: "log"
  writesPerS: 800
  readsPerS: 2000
  parts: 32
  appendMs: 2.0
  partitionMbS: 20.0
  readMbS: 80.0
  recordBytes: 262144
  callBytes: 2097152
  keep_s: 300
  partMb: 200
  ttlMinMs: 1000
cloud:
  address: %[6]q
  ratePerS: 64.0
  duties: []
  dutyPerS: 64.0
`, n.name, n.ip, zoneName, zoneName, n.storeAddress, n.world.cloudAddress)
}

// ready reports whether the node's readiness check succeeds.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ip + ":8622/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			all = all && n.ready()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready")
}

// addPool adds a service and its workers.
func (w *world) addPool(service string, count int, capacity resources) error {
	w.services = append(w.services, map[string]any{
		"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false,
	})
	for i := range count {
		machine := fmt.Sprintf("m-%s-%d", service, i)
		if err := w.addWorker(service, machine, fmt.Sprintf("r1-%d", i/4), capacity); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addWorker(service, machine, rack string, capacity resources) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	wk := &worker{id: fmt.Sprintf("i-%010x", 0x7f3a91c200+w.lives), service: service, machine: machine, rack: rack, capacity: capacity, world: w}
	if err := wk.start(); err != nil {
		return err
	}
	w.workers[machine] = wk
	return nil
}

// route is a queue of the configuration.
func route(name, host, prefix, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 600,
		"priority": 0, "service": service, "maxAttempts": attempts, "stretch": 1.6,
	}
}

// publish writes a version of the configuration.
func (w *world) publish(routes ...map[string]any) {
	w.version += 3
	value, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": w.services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.store.put("keyed.op", "config", value)
	var text []string
	for _, r := range routes {
		text = append(text, fmt.Sprintf("%v%v to %v", r["host"], r["pathPrefix"], r["service"]))
	}
	w.rec.printf("operator: version %d acknowledged: %s", w.version, strings.Join(text, ", "))
}

func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		machines := []map[string]any{}
		for name, wk := range w.workers {
			entry := map[string]any{
				"machine": name, "pool": wk.service, "state": "up", "zone": zoneName,
				"labels": []string{"a", wk.rack}, "capacity": wk.capacity, "id": wk.id,
			}
			if wk.moving {
				entry["state"], entry["id"] = "moving", ""
			}
			machines = append(machines, entry)
		}
		writeJSON(rw, 200, map[string]any{"machines": machines, "nextToken": nil})
	})
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, r *http.Request) {
		var o struct{ Machine, Pool string }
		_ = json.NewDecoder(r.Body).Decode(&o)
		w.mu.Lock()
		defer w.mu.Unlock()
		wk := w.workers[o.Machine]
		switch {
		case wk == nil:
			writeJSON(rw, 400, map[string]any{})
		case wk.moving:
			writeJSON(rw, 409, map[string]any{"reason": "busy"})
		case wk.service == o.Pool:
			writeJSON(rw, 200, map[string]any{})
		default:
			wk.moving = true
			w.rec.printf("cloud: %s moves from %s to %s, by %s with token %s", o.Machine, wk.service, o.Pool, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"))
			go w.move(wk, o.Pool)
			writeJSON(rw, 200, map[string]any{})
		}
	})
	mux.HandleFunc("POST /machine-upkeep", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, 409, map[string]any{"reason": "wave"})
	})
	return mux
}

// delayed delays the requests and the responses of a handler.
func (w *world) delayed(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(w.delay)
		handler.ServeHTTP(rw, r)
		time.Sleep(w.delay)
	})
}

func (w *world) move(wk *worker, pool string) {
	wk.end("moved")
	w.store.put("keyed.servers", wk.id, nil)
	time.Sleep(moveTime)
	_ = w.addWorker(pool, wk.machine, wk.rack, wk.capacity)
}

func (w *world) runStarted(wk *worker, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, &runRecord{task: o.Task, worker: wk.id, service: wk.service, run: o.Run, started: time.Now()})
	if w.isWatched(o.Task) {
		w.rec.printf("worker %s: starts %s, run %d, token %d", wk, o.Task, o.Run, o.Token)
	}
}

func (w *world) isWatched(task string) bool {
	return w.watched == nil || slices.ContainsFunc(w.watched, func(prefix string) bool { return strings.HasPrefix(task, prefix) })
}

// summarize records the numbers of runs each second.
func (w *world) summarize() {
	for range time.Tick(time.Second) {
		w.mu.Lock()
		active, ends := 0, map[string]int{}
		for _, r := range w.runs {
			if r.ended.IsZero() {
				active++
			} else {
				ends[r.how]++
			}
		}
		w.rec.printf("workers: %d runs started, %d in progress, ended %v; store: %d MB", len(w.runs), active, ends, w.store.storedBytes()/1_000_000)
		w.mu.Unlock()
	}
}

func (w *world) find(wk *worker, task string, run int) *runRecord {
	for i := len(w.runs) - 1; i >= 0; i-- {
		if r := w.runs[i]; r.task == task && r.run == run && r.worker == wk.id {
			return r
		}
	}
	return &runRecord{}
}

func (w *world) runEnded(wk *worker, task string, run int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.find(wk, task, run)
	r.ended, r.how = time.Now(), how
	if w.isWatched(task) {
		w.rec.printf("worker %s: %s, run %d, ends %s", wk, task, run, how)
	}
}

func (w *world) endNoted(wk *worker, e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.find(wk, e.task, e.run).noted = true
}

// runsOf returns copies of the runs of a job's tasks whose names begin so.
func (w *world) runsOf(prefix string) []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []runRecord
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, prefix) {
			runs = append(runs, *r)
		}
	}
	return runs
}

// answer is the response to a client's request. Status is 0 if there was none.
type answer struct {
	status int
	body   string
}

// call sends one request of a client to a node, which the client waits for as long as its
// deadline.
func (w *world) call(n *node, method, host, path string, body any) answer {
	a := w.quietCall(n, method, host, path, body)
	w.rec.printf("client: %s %s%s at %s: %d %s", method, host, path, n.name, a.status, a.body)
	return a
}

func (w *world) quietCall(n *node, method, host, path string, body any) answer {
	const deadline = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front()+path, bytes.NewReader(data))
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(text))}
}

// submit hands a job in as a client does: again at the next node while there is no answer, or
// a 502, 503, 504 or 429, five times at most. It returns whether a 2xx came.
func (w *world) submit(first int, host, path string, job any) bool {
	for try := range 5 {
		a := w.call(w.nodes[(first+try)%len(w.nodes)], http.MethodPost, host, path, job)
		switch {
		case a.status/100 == 2:
			return true
		case a.status == 404 || a.status == 400 || a.status == 409:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

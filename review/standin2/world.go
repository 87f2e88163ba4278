package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// World is a small deployment: the platform, workers and clients in this process, and the nodes as
// processes of their own.
type World struct {
	root, dir string
	trouble   bool
	store     *Store
	cloud     *Cloud
	nodes     []*Node
	workers   []*Worker
	began     time.Time
	prefix    string

	mu     sync.Mutex
	record *os.File
	starts []startOf
}

// startOf is a start of a task that a worker carried out.
type startOf struct {
	at     time.Time
	worker *Worker
	life   int
	kind   Kind
	task   string
	run    *run
}

func newWorld(folder string) (*World, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	w := &World{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), began: time.Now(), record: record,
		prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	w.cloud = &Cloud{world: w, waves: map[int64][]string{}, done: map[string]bool{}}
	w.log("trouble %t", w.trouble)
	return w, err
}

func (w *World) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *World) started(worker *Worker, r *run) {
	w.mu.Lock()
	w.starts = append(w.starts, startOf{time.Now(), worker, worker.life, worker.kind, r.task, r})
	w.mu.Unlock()
	w.log("worker %s life %d starts %s run %d", worker.id, worker.life, r.task, r.number)
}

func (w *World) ran(worker *Worker, r *run, how string) {
	r.ended = time.Now()
	w.log("worker %s life %d: %s run %d ends %s", worker.id, worker.life, r.task, r.number, how)
}

// StartsOf returns the starts of a job's tasks so far.
func (w *World) StartsOf(job string) []startOf {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []startOf
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			found = append(found, s)
		}
	}
	return found
}

// Close ends all processes that were started.
func (w *World) Close() {
	for _, n := range w.nodes {
		n.Kill()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// AddWorker adds a worker on a machine of its own.
func (w *World) AddWorker(id, service string, kind Kind) (*Worker, error) {
	worker := &Worker{world: w, id: id, service: service, zone: "zone-a", address: "127.0.0.1:0", machine: "m-" + id}
	w.workers = append(w.workers, worker)
	w.cloud.add(worker.machine, service, worker, kind)
	return worker, worker.Boot(kind)
}

// Link is the way of one machine to a part of the platform. While it is cut, bytes are held up. They are
// delivered afterwards, unless their sender has reset the connection.
type Link struct {
	target string
	// onRequest, if set, sees what the machine sends before it is passed on.
	onRequest func(data []byte)

	mu   sync.Mutex
	cut  bool
	heal chan struct{}
}

// Cut cuts the link, Heal ends that.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.heal = true, make(chan struct{})
}

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		l.cut = false
		close(l.heal)
	}
}

func (l *Link) state() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.heal
}

func (l *Link) listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *Link) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if cut, heal := l.state(); cut {
		// The connection would not have been established: nothing of it is delivered.
		<-heal
		return
	}
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	go func() { l.pump(target, conn, l.onRequest); done <- struct{}{} }()
	go func() { l.pump(conn, target, nil); done <- struct{}{} }()
	<-done
	<-done
}

// pump passes on bytes in one direction. What arrives while the link is cut is held up; a reset by the
// sender drops it.
func (l *Link) pump(to, from net.Conn, see func([]byte)) {
	var mu sync.Mutex
	var held bytes.Buffer
	var ended, reset bool
	wake := make(chan struct{}, 1)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 && see != nil {
				see(buffer[:n])
			}
			mu.Lock()
			held.Write(buffer[:n])
			if err != nil {
				ended, reset = true, errors.Is(err, syscall.ECONNRESET)
			}
			mu.Unlock()
			select {
			case wake <- struct{}{}:
			default:
			}
			if err != nil {
				return
			}
		}
	}()
	for range wake {
		if cut, heal := l.state(); cut {
			<-heal
		}
		mu.Lock()
		data, over, dropped := append([]byte(nil), held.Bytes()...), ended, reset
		held.Reset()
		mu.Unlock()
		if dropped {
			_ = to.Close()
			return
		}
		if len(data) > 0 {
			if _, err := to.Write(data); err != nil {
				_ = from.Close()
				return
			}
		}
		if over {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// Cloud is the platform's list of machines. It doesn't check fencing tokens (fencingRequired is false).
type Cloud struct {
	world *World

	mu       sync.Mutex
	machines []*machine
	waves    map[int64][]string
	// done holds the upkeeps that were carried out, by wave and machine.
	done   map[string]bool
	orders []machineOrder
	lives  int
}

type machine struct {
	name, pool, state string
	kind              Kind
	worker            *Worker
}

type machineOrder struct {
	at      time.Time
	machine string
	holder  string
	token   int64
	what    string
	status  int
}

const upkeepTime = 2 * time.Second

func (c *Cloud) add(name, pool string, worker *Worker, kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{name: name, pool: pool, state: "up", worker: worker, kind: kind})
}

// Note records that the worker of a machine has crashed or begun a new life.
func (c *Cloud) Note(worker *Worker, up bool, kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		switch {
		case m.worker != worker:
		case up:
			m.state, m.kind = "up", kind
		default:
			m.state = "down"
		}
	}
}

// Handler serves the calls of one machine of the system.
func (c *Cloud) Handler(string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		list := []map[string]any{}
		for _, m := range c.machines {
			id := ""
			if m.worker != nil && m.state == "up" {
				id = m.worker.id
			}
			list = append(list, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "zone-a", "labels": m.kind.Labels,
				"capacity": map[string]any{"cpu": m.kind.CPU, "memMb": m.kind.MemMB, "gpu": 0}, "id": id,
			})
		}
		answer(w, 200, map[string]any{"machines": list, "nextToken": nil})
	})
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, "move") })
	mux.HandleFunc("POST /machine-upkeep", func(w http.ResponseWriter, r *http.Request) { c.order(w, r, "upkeep") })
	return mux
}

func (c *Cloud) order(w http.ResponseWriter, r *http.Request, what string) {
	var body struct {
		Machine, Pool string
		Wave          int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	var token int64
	_, _ = fmt.Sscan(r.Header.Get("X-Fencing-Token"), &token)
	c.mu.Lock()
	defer c.mu.Unlock()
	status, reason := c.carryOut(body.Machine, body.Pool, body.Wave, what)
	c.orders = append(c.orders, machineOrder{time.Now(), body.Machine, r.Header.Get("X-Lease-Holder"), token, what, status})
	c.world.log("cloud: %s of %s to %q wave %d, holder %s token %d: %d %s", what, body.Machine, body.Pool, body.Wave, r.Header.Get("X-Lease-Holder"), token, status, reason)
	answer(w, status, map[string]any{"reason": reason})
}

// carryOut carries out an order. c.mu must be held.
func (c *Cloud) carryOut(name, pool string, wave int64, what string) (int, string) {
	var m *machine
	for _, other := range c.machines {
		if other.name == name {
			m = other
		}
	}
	key := fmt.Sprintf("%d/%s", wave, name)
	switch {
	case m == nil:
		return 400, ""
	case what == "upkeep" && c.done[key]:
		return 200, "done before"
	case what == "upkeep" && !contains(c.waves[wave], name):
		return 409, "wave"
	case what == "move" && m.pool == pool:
		return 200, "done before"
	case m.state != "up":
		return 409, "busy"
	}
	if what == "upkeep" {
		c.done[key] = true
		m.state = "upkeep"
	} else {
		m.state = "moving"
		m.pool = pool
	}
	old := m.worker
	m.worker = nil
	go func() {
		if old != nil {
			old.Crash()
			c.world.store.Put("keyed.servers", old.id, nil)
		}
		time.Sleep(upkeepTime)
		c.mu.Lock()
		c.lives++
		worker := &Worker{world: c.world, id: fmt.Sprintf("%s-%d", m.name, c.lives), service: m.pool, zone: "zone-a", address: "127.0.0.1:0", machine: m.name}
		c.mu.Unlock()
		if worker.Boot(m.kind) == nil {
			c.mu.Lock()
			m.worker, m.state = worker, "up"
			c.mu.Unlock()
		}
	}()
	return 200, ""
}

func contains(list []string, text string) bool {
	for _, other := range list {
		if other == text {
			return true
		}
	}
	return false
}

// Wave asks for the upkeep of machines.
func (c *Cloud) Wave(number int64, machines []string, limit, seconds int) {
	c.mu.Lock()
	c.waves[number] = machines
	c.mu.Unlock()
	c.world.log("operator: wave %d of %v, cap %d", number, machines, limit)
	c.world.store.Put("keyed.op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": machines, "durationS": seconds, "cap": limit})
}

// Orders returns the orders so far.
func (c *Cloud) Orders() []machineOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]machineOrder(nil), c.orders...)
}

// Route is a queue in the configuration.
type Route struct {
	Prefix, Service string
	MaxAttempts     int
}

// Host is the host name at which clients address all queues.
const Host = "jobs.example"

// Configure writes a version of the configuration.
func (w *World) Configure(version int, services []string, routes ...Route) {
	list, pools := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r" + strings.Trim(r.Prefix, "/"), "host": Host, "pathPrefix": r.Prefix, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": r.Service, "maxAttempts": max(1, r.MaxAttempts), "stretch": 1.6,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false})
	}
	w.store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": list, "services": pools,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.log("operator: configuration %d, queues %v", version, routes)
}

// Node is a node of the system as a process.
type Node struct {
	world     *World
	name      string
	ip        string
	front     string
	ready     string
	storeLink *Link
	cloudLink *Link

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

const (
	frontPort, readyPort, controlPort = 8624, 8622, 8623
	firstInternalPort, adminPort      = 7060, 9464
)

// AddNode adds a node and starts it.
func (w *World) AddNode() (*Node, error) {
	n := &Node{world: w, name: fmt.Sprintf("front-zone-a-%d", len(w.nodes)+1), ip: fmt.Sprintf("%s%d", w.prefix, 10+len(w.nodes))}
	for _, port := range []int{frontPort, readyPort, controlPort, firstInternalPort, firstInternalPort + 1, adminPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, port))
		if err != nil {
			return nil, err
		}
		_ = listener.Close()
	}
	n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, frontPort), fmt.Sprintf("%s:%d", n.ip, readyPort)
	addresses := make([]string, 2)
	for i, handler := range []http.Handler{w.store.Handler(n.name), w.cloud.Handler(n.name)} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(listener, handler) }()
		link := &Link{target: listener.Addr().String()}
		if addresses[i], err = link.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		if i == 0 {
			n.storeLink = link
		} else {
			n.cloudLink = link
		}
	}
	if err := os.WriteFile(n.settingsPath(), []byte(n.settings(addresses[0], addresses[1])), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.Start()
}

func (n *Node) settingsPath() string { return filepath.Join(n.world.dir, n.name+".yaml") }

func (n *Node) settings(store, cloud string) string {
	return fmt.Sprintf(`nodeName: %q
role: "node"
machineClass: "front"
serves: ["front"]
ip: %q
zone: "zone-a"
region: "region-a"
zones: {zone-a: "region-a"}
listen: {front: %q, ready: %q}
internalPorts: [%d, %d]
seeds: []
bootstrap: true
lossCounts: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, holdMaxMs: 10000, stopMs: 400, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, farX: 3, checkpointS: 1, restoreMs: 100, noticeMs: 4500, moveS: 1.5, maintenanceS: 2, fencingRequired: false, leaseMs: 3000, thawSlackMs: 300, paceMs: 100, harmMs: 4000}
commands: "rpc"
platform: {address: %q, form: "log", writesPerS: 800, readsPerS: 2000, parts: %d, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
cloud: {address: %q, ratePerS: 64.0, duties: [], dutyPerS: 64.0}
`, n.name, n.ip, n.front, n.ready, firstInternalPort, firstInternalPort+15, store, partitions, cloud)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command("target/rattanpath", "manage", "--admin-port", fmt.Sprint(adminPort))
	n.process.Dir, n.process.Stdout, n.process.Stderr = n.world.root, log, log
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "RATTANPATH_SETTINGS=" + n.settingsPath()}
	// The process ends with this one, whatever ends that.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	process := n.process
	go func() { _ = process.Wait(); close(exited) }()
	n.world.log("node %s starts, process %d", n.name, process.Process.Pid)
	return nil
}

// Kill ends the process at once, and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil || process.Process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
	n.world.log("node %s is killed", n.name)
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(signal)
	n.world.log("node %s gets %v", n.name, signal)
}

// Call makes one request of a client to the node. The status is 0 if no answer came in time.
func (n *Node) Call(method, path string, body any, deadline time.Duration) (int, string) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	r, _ := http.NewRequest(method, "http://"+n.front+path, reader)
	r.Host = Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	n.world.log("client: %s %s to %s", method, path, n.name)
	resp, err := client.Do(r)
	if err != nil {
		n.world.log("client: %s %s: no answer after %d ms", method, path, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	text := strings.TrimSpace(string(data))
	n.world.log("client: %s %s: %d %s after %d ms", method, path, resp.StatusCode, text, time.Since(sent).Milliseconds())
	return resp.StatusCode, text
}

// AwaitReady waits until the nodes are ready and serve each queue.
func (w *World) AwaitReady(prefixes ...string) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range w.nodes {
		for _, prefix := range prefixes {
			for {
				if status, _ := n.Call("GET", prefix, nil, 3*time.Second); status == 200 {
					break
				}
				if time.Now().After(deadline) {
					return errors.New("the nodes don't serve the queues")
				}
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	return nil
}

// NewID returns the ID of a job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Await polls a condition.
func Await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// Node returns the node with a name, or nil.
func (w *World) Node(name string) *Node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"rattanpath/fake"
	"rattanpath/platform"
)

const (
	frontPort, readyPort, peerPort, controlPort, workerPort = 8624, 8622, 7060, 8623, 8080
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// moveTime is how long a machine is away that changes its pool, and upkeepTime how long one is
	// that has its upkeep.
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// world is a small deployment: the store, the cloud and the workers in this process, and nodes as
// processes of their own.
type world struct {
	log    *record
	dir    string
	prefix string
	store  *fake.Store
	cloud  *httptest.Server
	nodes  []*node

	mu       sync.Mutex
	machines []*machine
	lives    int
}

// newWorld starts the platform of a deployment without nodes and machines.
func newWorld(log *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{log: log, dir: dir, prefix: fmt.Sprintf("127.%d.%d", 64+pid>>8&0x3f, pid&0xff)}
	w.store = fake.NewStore()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", w.list)
	mux.HandleFunc("POST /machine-move", w.move)
	mux.HandleFunc("POST /machine-upkeep", w.upkeep)
	w.cloud = httptest.NewServer(mux)
	return w, nil
}

// close ends all processes and removes the folder.
func (w *world) close() {
	for _, n := range w.nodes {
		n.stop()
	}
	for _, m := range w.machines {
		m.down("end of the case")
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// put writes a record of the operator.
func (w *world) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.store.Put(platform.OperatorTopic, key, data)
	w.log.printf("operator wrote op/%s: %s", key, data)
}

// node is a node of the system.
type node struct {
	w        *world
	name, ip string
	settings string
	// store is where this node reaches the platform's store.
	store *httptest.Server

	mu       sync.Mutex
	process  *os.Process
	exited   chan struct{}
	stopping bool
}

// addNodes starts nodes with the bounds of a deployment.
func (w *world) addNodes(count int, bounds string) error {
	for i := range count {
		n := &node{w: w, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", w.prefix, i+1)}
		n.settings = filepath.Join(w.dir, n.name+".yaml")
		for _, port := range []int{frontPort, readyPort, peerPort, peerPort + 1, 9464} {
			l, err := net.Listen("tcp", n.address(port))
			if err != nil {
				return err
			}
			_ = l.Close()
		}
		n.store = httptest.NewServer(newStoreHandler(w.store.Client(n.name)))
		store, cloud := n.store.Listener.Addr().String(), w.cloud.Listener.Addr().String()
		text := fmt.Sprintf(settingsText, n.name, n.ip, n.address(frontPort), n.address(readyPort), n.address(controlPort), peerPort, peerPort+15, bounds, store, cloud)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

const settingsText = `nodeName: %q
role: "node"
machineClass: "front"
serves: ["front"]
ip: %q
zone: "a"
region: "r"
zones: {a: "r"}
listen: {front: %q, ready: %q, control: %q}
internalPorts: [%d, %d]
seeds: []
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1500
bounds: {%s}
commands: "rpc"
platform: {address: %q, form: "log", writesPerS: 800, readsPerS: 2000, parts: 32, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
cloud: {address: %q, ratePerS: 64.0, duties: [], dutyPerS: 64.0}
`

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// start starts the node's program with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/rattanpath", "manage", "--admin-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", platform.SettingsVariable + "=" + n.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = cmd.Process, exited
	n.mu.Unlock()
	go n.wait(cmd, exited)
	return nil
}

// wait starts the process again after its end, as the platform does.
func (n *node) wait(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	close(exited)
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping {
		return
	}
	n.w.log.printf("%s ended and starts again", n.name)
	time.Sleep(restartDelay)
	n.mu.Lock()
	stopping = n.stopping
	n.mu.Unlock()
	if !stopping {
		_ = n.start()
	}
}

// signal sends a signal to the process and returns a channel that is closed at its end.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(s)
	return n.exited
}

// stop ends the process for good.
func (n *node) stop() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	<-n.signal(syscall.SIGKILL)
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if resp, err := http.Get("http://" + n.address(readyPort) + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
	}
	return errors.New("the nodes don't get ready")
}

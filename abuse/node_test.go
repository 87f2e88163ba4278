package abuse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/cmd/rattanpath/cmds"
	"rattanpath/fake"
	"rattanpath/link"
	"rattanpath/owner"
	"rattanpath/platform"
)

const (
	// nodeVariable makes the test binary run as the rattanpath command.
	nodeVariable = "RATTANPATH_ABUSE_NODE"
	// memoryMB and maxFDs are the limits in the node's settings, and the bounds that are
	// checked. An idle node has 33 MB resident and 20 descriptors.
	memoryMB = 96
	maxFDs   = 200
	// awaitTimeout bounds how long a test waits for something that must come. It is far above
	// what a slow machine needs.
	awaitTimeout = 60 * time.Second
	// callTimeout is the deadline of one ordinary request.
	callTimeout = 3 * time.Second
	// retryInterval is the time between two attempts of an ordinary client.
	retryInterval = 100 * time.Millisecond
	// watchInterval is the time between two counts of descriptors.
	watchInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// node is a management node in a process of its own.
type node struct {
	t        testing.TB
	platform *standIn
	basePort int
	cmd      *exec.Cmd
	logPath  string
	exited   chan struct{}
	// peakFDs is the largest number of open descriptors that was seen.
	peakFDs atomic.Int64
}

// startNode starts a node and waits until it has run a job.
func startNode(t testing.TB) *node {
	t.Helper()
	n := &node{t: t, platform: newStandIn(t), exited: make(chan struct{})}
	var err error
	if n.basePort, err = fake.FreePorts(4); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings.yaml")
	n.logPath = filepath.Join(dir, "node.log")
	log, err := os.Create(n.logPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(settings, []byte(n.settings()), 0o600); err != nil {
		t.Fatal(err)
	}
	n.cmd = exec.Command(os.Args[0], "manage")
	n.cmd.Env = append(os.Environ(), nodeVariable+"=1", platform.SettingsVariable+"="+settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	go n.run()
	go n.loop()
	t.Cleanup(n.stop)
	n.runJob("warm-up")
	return n
}

// run waits for the end of the process.
func (n *node) run() {
	_ = n.cmd.Wait()
	close(n.exited)
}

// loop counts the open descriptors until the process ends.
func (n *node) loop() {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err == nil {
			n.peakFDs.Store(max(n.peakFDs.Load(), int64(len(entries))))
		}
		select {
		case <-n.exited:
			return
		case <-time.After(watchInterval):
		}
	}
}

func (n *node) stop() {
	_ = n.cmd.Process.Kill()
	<-n.exited
	if n.t.Failed() {
		data, _ := os.ReadFile(n.logPath)
		n.t.Logf("end of the node's log:\n%s", data[max(0, len(data)-2000):])
	}
}

func (n *node) address(offset int) string { return fake.LoopbackAddress(n.basePort + offset) }

// The addresses of a node are those of its settings.
func (n *node) callers() string { return n.address(0) }
func (n *node) health() string  { return n.address(1) }
func (n *node) peers() string   { return n.address(2) }
func (n *node) admin() string   { return n.address(3) }

func (n *node) settings() string {
	return fmt.Sprintf(`nodeName: "node"
ip: "127.0.0.1"
listen:
  front: %q
  ready: %q
internalPorts: [%d, %d]
heartbeatMs: 1500
limits: {memoryMb: %d, maxFds: %d}
bounds: {contactMs: 3000, graceS: 1, holdMaxMs: 6000, status_s: 120, leaseMs: 3000, moveS: 1.5, maintenanceS: 2}
platform: {address: %q, form: "log", parts: 32, recordBytes: 262144, callBytes: 2097152, ttlMinMs: 1000}
cloud: {address: %q, dutyPerS: 64.0}
`, n.callers(), n.health(), n.basePort+2, n.basePort+3, memoryMB, maxFDs, n.platform.address(), n.platform.address())
}

// peakRSS returns the largest resident memory of the process in MB.
func (n *node) peakRSS() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1000
		}
	}
	return 0
}

// call sends one ordinary request over a connection of its own. The status is 0 if there
// was no response.
func (n *node) call(method, url string, body []byte) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Close = true
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// ordinaryJob is the body of an ordinary job.
const ordinaryJob = `{"spec":"ordinary","steps":[{"count":1,"cpu":100,"memMb":10,"estRuntimeMs":50}]}`

// jobID returns the ID of a job by its name.
func jobID(name string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(name))
}

func (n *node) jobURL(name string) string {
	return "http://" + n.callers() + queuePrefix + jobID(name)
}

// alive fails the test if the process has ended.
func (n *node) alive() {
	n.t.Helper()
	select {
	case <-n.exited:
		n.t.Fatalf("the node has exited: got %v, want it to live", n.cmd.ProcessState)
	default:
	}
}

// await polls until a condition holds.
func (n *node) await(what string, holds func() (bool, string)) {
	n.t.Helper()
	var seen string
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		n.alive()
		var ok bool
		if ok, seen = holds(); ok {
			return
		}
	}
	n.t.Fatalf("%s: got %s, want it within %s", what, seen, awaitTimeout)
}

// runJob submits a job until it is accepted, as a client does, and waits for its end.
func (n *node) runJob(name string) {
	n.t.Helper()
	n.submit(name)
	n.awaitRun(name)
}

// awaitRun waits until the status of an accepted job is that it is completed.
func (n *node) awaitRun(name string) {
	n.t.Helper()
	n.await("running "+name, func() (bool, string) {
		status, text := n.call(http.MethodGet, n.jobURL(name), nil)
		return strings.Contains(text, `"completed"`) && n.platform.hasStarted(jobID(name)), fmt.Sprint(status, " ", text)
	})
}

// callAsPeer makes a call as another node does, over a connection of its own.
func (n *node) callAsPeer() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var dialer net.Dialer
	peer := link.NewClient(n.peers(), dialer.DialContext)
	defer peer.Close()
	return peer.Call(ctx, owner.RPCName+".Pending", &owner.Request{Service: serviceName, Timeout: callTimeout}, &owner.Response{})
}

// awaitStatus waits until a GET of a URL has status 200.
func (n *node) awaitStatus(url string) {
	n.t.Helper()
	n.await(url, func() (bool, string) {
		status, text := n.call(http.MethodGet, url, nil)
		return status == http.StatusOK, fmt.Sprint(status, " ", text)
	})
}

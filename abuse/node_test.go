package abuse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/fake"
	"rattanpath/fake/stub"
	"rattanpath/link"
	"rattanpath/owner"
	"rattanpath/tasks"
)

const (
	// taskTime is the run time of each task.
	taskTime = 50 * time.Millisecond
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
	stub.RunIfNode()
	os.Exit(m.Run())
}

// node is a management node in a process of its own, on a platform with one host.
type node struct {
	*stub.Process
	t testing.TB
	// peakFDs is the largest number of open descriptors that was seen.
	peakFDs atomic.Int64

	mu sync.Mutex
	// started holds the jobs of which the host has started tasks.
	started map[string]bool
}

// startNode starts a node and waits until it has run a job.
func startNode(t testing.TB) *node {
	t.Helper()
	n := &node{t: t, started: make(map[string]bool)}
	outside := stub.NewPlatform(n.profile, func(tasks.ID) tasks.Resources { return tasks.Resources{} })
	if _, err := outside.AddHost(t.Context(), "host-1", tasks.Resources{CPU: 64_000, MemMB: 64_000}, 1); err != nil {
		t.Fatal(err)
	}
	server := outside.NewServer("node")
	t.Cleanup(server.Close)
	var err error
	if n.Process, err = stub.NewProcess("node", t.TempDir(), server.Listener.Addr().String(), launch); err != nil {
		t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	go n.loop()
	t.Cleanup(n.stop)
	n.runJob("warm-up")
	return n
}

// profile records that a task of a job has started, and describes the run.
func (n *node) profile(task tasks.ID, _ int) fake.RunProfile {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.started[task.Job] = true
	return fake.RunProfile{Duration: taskTime, EndReason: tasks.EndDone}
}

// hasStarted reports whether the host has started a task of a job.
func (n *node) hasStarted(job string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started[job]
}

// loop counts the open descriptors until the process ends.
func (n *node) loop() {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.PID())); err == nil {
			n.peakFDs.Store(max(n.peakFDs.Load(), int64(len(entries))))
		}
		select {
		case <-n.Exited():
			return
		case <-time.After(watchInterval):
		}
	}
}

func (n *node) stop() {
	n.Kill()
	if n.t.Failed() {
		n.t.Logf("end of the node's log:\n%s", n.LogTail(2000))
	}
}

// peakRSS returns the largest resident memory of the process in MB.
func (n *node) peakRSS() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
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
	return "http://" + n.Callers() + stub.QueuePrefix + jobID(name)
}

// alive fails the test if the process has ended.
func (n *node) alive() {
	n.t.Helper()
	if !n.IsRunning() {
		n.t.Fatalf("the node has exited: got %v, want it to live", n.ExitState())
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
		return strings.Contains(text, `"completed"`) && n.hasStarted(jobID(name)), fmt.Sprint(status, " ", text)
	})
}

// callAsPeer makes a call as another node does, over a connection of its own.
func (n *node) callAsPeer() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var dialer net.Dialer
	peer := link.NewClient(n.Peers(), dialer.DialContext)
	defer peer.Close()
	return peer.Call(ctx, owner.RPCName+".Pending", &owner.Request{Service: stub.Service, Timeout: callTimeout}, &owner.Response{})
}

// awaitStatus waits until a GET of a URL has status 200.
func (n *node) awaitStatus(url string) {
	n.t.Helper()
	n.await(url, func() (bool, string) {
		status, text := n.call(http.MethodGet, url, nil)
		return status == http.StatusOK, fmt.Sprint(status, " ", text)
	})
}

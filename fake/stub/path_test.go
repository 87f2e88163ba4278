package stub

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

const (
	// callTimeout bounds a call of a test.
	callTimeout = 300 * time.Millisecond
	// callerVariable makes the test binary run as a process that calls hosts.
	callerVariable = "RATTANPATH_STUB_CALLER"
	// The ways of calling: on connections that are kept, and on one for each call.
	keptConnection = "kept"
	newConnection  = "new"
	// The results of calls. A refusal means that there was no connection, and an end that it
	// was closed without an answer.
	answer  = "answer"
	silence = "silence"
	refusal = "refusal"
	ended   = "end"
)

var connections = []string{keptConnection, newConnection}

func TestMain(m *testing.M) {
	if os.Getenv(callerVariable) != "" {
		runCaller(os.Stdin, os.Stdout)
		return
	}
	os.Exit(m.Run())
}

// runCaller makes a call for each line that it reads, with the connection and the address, and
// writes the result.
func runCaller(in io.Reader, out io.Writer) {
	clients := newClients()
	for {
		var connection, address string
		if _, err := fmt.Fscanln(in, &connection, &address); err != nil {
			return
		}
		_, _ = fmt.Fprintln(out, resultOf(heartbeat(clients[connection], address)))
	}
}

// newClients returns a client that keeps connections, and one that opens one for each call.
func newClients() map[string]*http.Client {
	return map[string]*http.Client{keptConnection: {Transport: &http.Transport{}}, newConnection: {Transport: &http.Transport{DisableKeepAlives: true}}}
}

// heartbeat sends a heartbeat to a host as a node does.
func heartbeat(client *http.Client, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/hold", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func resultOf(err error) string {
	var netErr net.Error
	switch {
	case err == nil:
		return answer
	case errors.As(err, &netErr) && netErr.Timeout():
		return silence
	case errors.Is(err, syscall.ECONNREFUSED):
		return refusal
	default:
		return ended
	}
}

// caller is a process that calls hosts.
type caller struct {
	t   *testing.T
	cmd *exec.Cmd
	in  io.WriteCloser
	out io.Reader
}

func (c *caller) start() {
	c.t.Helper()
	c.cmd = exec.Command(os.Args[0])
	c.cmd.Env, c.cmd.Stderr = append(os.Environ(), callerVariable+"=1"), os.Stderr
	var inErr, outErr error
	c.in, inErr = c.cmd.StdinPipe()
	c.out, outErr = c.cmd.StdoutPipe()
	if err := errors.Join(inErr, outErr, c.cmd.Start()); err != nil {
		c.t.Fatal(err)
	}
}

// stop ends the process.
func (c *caller) stop() {
	_ = c.in.Close()
	_ = c.cmd.Wait()
}

func (c *caller) pid() int { return c.cmd.Process.Pid }

// check calls a host and requires one of some results.
func (c *caller) check(h *Host, connection, when string, want ...string) {
	c.t.Helper()
	var got string
	if _, err := fmt.Fprintln(c.in, connection, h.endpoint.address); err != nil {
		c.t.Fatal(err)
	}
	if _, err := fmt.Fscanln(c.out, &got); err != nil {
		c.t.Fatal(err)
	}
	if !slices.Contains(want, got) {
		c.t.Errorf("heartbeat on a %s connection %s: got %s, want one of %s", connection, when, got, want)
	}
}

// newHost returns a host, and two nodes that reach it, a and b.
func newHost(t *testing.T) (h *Host, a, b *caller) {
	t.Helper()
	p := NewPlatform(func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{} }, func(tasks.ID) tasks.Resources { return tasks.Resources{} })
	h, err := p.AddHost(t.Context(), "host-1", tasks.Resources{CPU: 1000, MemMB: 1000}, 1)
	if err != nil {
		t.Fatal(err)
	}
	a, b = &caller{t: t}, &caller{t: t}
	for name, c := range map[string]*caller{"a": a, "b": b} {
		c.start()
		t.Cleanup(c.stop)
		p.AddCaller(name, c.pid)
	}
	return h, a, b
}

// setCut cuts a node off from a host or reconnects it, and requires that this is a change.
func setCut(t *testing.T, set func(node string) (bool, error), node string) {
	t.Helper()
	if changed, err := set(node); err != nil || !changed {
		t.Fatalf("got %v, %v, want a change", changed, err)
	}
}

func TestNodeThatIsCutOffGetsSilence(t *testing.T) {
	h, a, b := newHost(t)
	for _, connection := range connections {
		a.check(h, connection, "before the cut", answer)
		b.check(h, connection, "before the cut of the other node", answer)
	}
	for range 2 {
		setCut(t, h.CutOffFrom, "a")
		for _, connection := range connections {
			a.check(h, connection, "while it is cut off", silence)
			b.check(h, connection, "while the other node is cut off", answer)
		}
		setCut(t, h.ReconnectTo, "a")
		for _, connection := range connections {
			a.check(h, connection, "after the cut", answer)
			b.check(h, connection, "after the cut of the other node", answer)
		}
	}
}

func TestCutHidesThatHostRefusesConnections(t *testing.T) {
	h, a, b := newHost(t)
	for _, connection := range connections {
		a.check(h, connection, "before the crash", answer)
		b.check(h, connection, "before the crash", answer)
	}
	if !h.Crash(false) {
		t.Fatal("Crash: got false, want true")
	}
	a.check(h, keptConnection, "before the cut", refusal, ended)
	a.check(h, newConnection, "before the cut", refusal)
	setCut(t, h.CutOffFrom, "a")
	for _, connection := range connections {
		a.check(h, connection, "while it is cut off", silence)
		b.check(h, connection, "while the other node is cut off", ended)
	}
	if restarted, err := h.Restart(); !restarted || err != nil {
		t.Fatalf("Restart: got %v, %v, want a restart", restarted, err)
	}
	for _, connection := range connections {
		a.check(h, connection, "after the restart", silence)
		b.check(h, connection, "after the restart", answer)
	}
	setCut(t, h.ReconnectTo, "a")
	for _, connection := range connections {
		a.check(h, connection, "after the cut", answer)
	}
}

func TestNodeThatIsCutOffDoesNotSeeCrash(t *testing.T) {
	h, a, b := newHost(t)
	for _, connection := range connections {
		a.check(h, connection, "before the cut", answer)
		b.check(h, connection, "before the cut of the other node", answer)
	}
	setCut(t, h.CutOffFrom, "a")
	if !h.Crash(false) {
		t.Fatal("Crash: got false, want true")
	}
	for _, connection := range connections {
		a.check(h, connection, "while it is cut off", silence)
		b.check(h, connection, "after the crash", ended)
	}
	setCut(t, h.ReconnectTo, "a")
	for _, connection := range connections {
		a.check(h, connection, "after the cut", refusal)
	}
}

func TestNodeThatRestartsStaysCutOff(t *testing.T) {
	h, a, _ := newHost(t)
	setCut(t, h.CutOffFrom, "a")
	a.stop()
	a.start()
	for _, connection := range connections {
		a.check(h, connection, "of the next process", silence)
	}
}

// TestCallerIsFoundWithoutSocketTables guards against calls that get no answer in time on a machine with thousands
// of sockets: reading its tables of them for each connection takes too long.
func TestCallerIsFoundWithoutSocketTables(t *testing.T) {
	tables := socketTables
	socketTables = nil
	t.Cleanup(func() { socketTables = tables })
	h, a, b := newHost(t)
	setCut(t, h.CutOffFrom, "a")
	for _, connection := range connections {
		a.check(h, connection, "while it is cut off", silence)
		b.check(h, connection, "while the other node is cut off", answer)
	}
}

// TestSocketTablesNameSameSocket guards against a stand-in that knows its callers only where the system can be
// asked for one socket.
func TestSocketTablesNameSameSocket(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if got, want := listedInode(conn), clientInode(conn); got != want || want == "" {
		t.Errorf("got socket %q in the tables, want %q", got, want)
	}
	_ = client.Close()
	if got := clientInode(conn); got != "" {
		t.Errorf("got socket %q of a client that has closed it, want none", got)
	}
}

func TestUnknownCallerIsNotCutOff(t *testing.T) {
	h, _, _ := newHost(t)
	setCut(t, h.CutOffFrom, "a")
	for connection, client := range newClients() {
		if err := heartbeat(client, h.endpoint.address); err != nil {
			t.Errorf("heartbeat on a %s connection: got %v, want an answer", connection, err)
		}
		client.CloseIdleConnections()
	}
}

// TestPortOfCrashedHostStaysItsOwn guards against hosts that can't be started again because
// another process, which looks for free ports as well, has taken theirs meanwhile.
func TestPortOfCrashedHostStaysItsOwn(t *testing.T) {
	h, _, _ := newHost(t)
	if !h.Crash(false) {
		t.Fatal("Crash: got false, want true")
	}
	_, port, err := net.SplitHostPort(h.endpoint.address)
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	if restarted, err := h.Restart(); !restarted || err != nil {
		t.Errorf("Restart: got %v, %v, want a restart", restarted, err)
	}
}

func TestCallerThatHasGoneIsNotHeardDuringCut(t *testing.T) {
	h, _, _ := newHost(t)
	for _, cut := range []bool{false, true} {
		conn := acceptClosed(t)
		if cut {
			setCut(t, h.CutOffFrom, "a")
		}
		h.endpoint.open(t.Context(), conn)
		if got := errors.Is(conn.SetDeadline(time.Time{}), net.ErrClosed); got != cut {
			t.Errorf("connection that its client has closed, with a node cut off: %v: got dropped %v, want %v", cut, got, cut)
		}
	}
}

// acceptClosed returns a connection that its client has closed.
func acceptClosed(t *testing.T) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

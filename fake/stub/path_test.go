package stub

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// callTimeout bounds a call of a test.
const callTimeout = 300 * time.Millisecond

// newHost returns a host that two nodes, a and b, reach.
func newHost(t *testing.T) *Host {
	t.Helper()
	p := NewPlatform(func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{} }, func(tasks.ID) tasks.Resources { return tasks.Resources{} })
	h, err := p.AddHost(t.Context(), "host-1", tasks.Resources{CPU: 1000, MemMB: 1000}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range []string{"a", "b"} {
		server, err := p.NewServer(node)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
	}
	return h
}

// newClients returns a client that keeps connections, and one that opens one for each call.
func newClients(t *testing.T) map[string]*http.Client {
	t.Helper()
	clients := map[string]*http.Client{"kept connection": {Transport: &http.Transport{}}, "new connection": {Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, client := range clients {
		t.Cleanup(client.CloseIdleConnections)
	}
	return clients
}

// heartbeat sends a heartbeat to a host as a node does.
func heartbeat(t *testing.T, client *http.Client, h *Host, node string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.path(node).address+"/hold", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// isSilence reports whether a call got neither an answer nor a refusal.
func isSilence(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestNodeThatIsCutOffGetsSilence(t *testing.T) {
	h, clients := newHost(t), newClients(t)
	for name, client := range clients {
		for _, node := range []string{"a", "b"} {
			if err := heartbeat(t, client, h, node); err != nil {
				t.Errorf("heartbeat of %s on a %s before the cut: got %v, want an answer", node, name, err)
			}
		}
	}
	for range 2 {
		if changed, err := h.CutOffFrom("a"); err != nil {
			t.Fatalf("CutOffFrom: got %v, %v, want no error", changed, err)
		}
		for name, client := range clients {
			if err := heartbeat(t, client, h, "a"); !isSilence(err) {
				t.Errorf("heartbeat of a on a %s while it is cut off: got %v, want a time-out", name, err)
			}
			if err := heartbeat(t, client, h, "b"); err != nil {
				t.Errorf("heartbeat of b on a %s while a is cut off: got %v, want an answer", name, err)
			}
		}
		if changed, err := h.ReconnectTo("a"); err != nil || !changed {
			t.Fatalf("ReconnectTo: got %v, %v, want a change", changed, err)
		}
		for name, client := range clients {
			if err := heartbeat(t, client, h, "a"); err != nil {
				t.Errorf("heartbeat of a on a %s after the cut: got %v, want an answer", name, err)
			}
		}
	}
}

func TestCutHidesThatHostRefusesConnections(t *testing.T) {
	h, clients := newHost(t), newClients(t)
	if !h.Crash(false) {
		t.Fatal("Crash: got false, want true")
	}
	if err := heartbeat(t, clients["new connection"], h, "a"); err == nil || isSilence(err) {
		t.Errorf("heartbeat of a before the cut: got %v, want a refusal", err)
	}
	if _, err := h.CutOffFrom("a"); err != nil {
		t.Fatal(err)
	}
	if err := heartbeat(t, clients["new connection"], h, "a"); !isSilence(err) {
		t.Errorf("heartbeat of a while it is cut off: got %v, want a time-out", err)
	}
	if restarted, err := h.Restart(); !restarted || err != nil {
		t.Fatalf("Restart: got %v, %v, want a restart", restarted, err)
	}
	if err := heartbeat(t, clients["new connection"], h, "a"); !isSilence(err) {
		t.Errorf("heartbeat of a after the restart: got %v, want a time-out", err)
	}
	if err := heartbeat(t, clients["new connection"], h, "b"); err != nil {
		t.Errorf("heartbeat of b after the restart: got %v, want an answer", err)
	}
	if _, err := h.ReconnectTo("a"); err != nil {
		t.Fatal(err)
	}
	if err := heartbeat(t, clients["new connection"], h, "a"); err != nil {
		t.Errorf("heartbeat of a after the cut: got %v, want an answer", err)
	}
}

// TestPortsOfCrashedHostStayItsOwn guards against hosts that can't be started again because
// another process, which looks for free ports as well, has taken theirs meanwhile.
func TestPortsOfCrashedHostStayItsOwn(t *testing.T) {
	h := newHost(t)
	if !h.Crash(false) {
		t.Fatal("Crash: got false, want true")
	}
	_, port, err := net.SplitHostPort(h.path("a").address)
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

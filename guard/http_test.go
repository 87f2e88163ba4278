package guard

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// bodyLimit is the limit of the bodies that the test server reads.
const bodyLimit = 20_000

// startServer starts a server behind a gate. It reads the bodies of POST requests and
// answers with their length, or the error.
func startServer(t *testing.T, limits Limits) (*Gate, string) {
	t.Helper()
	gate := newTestGate(limits, 4)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		body, err := ReadBody(r, bodyLimit, 0)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, strconv.Itoa(len(body)))
	})}
	gate.Configure(server)
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(gate.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	checkOften(t, gate)
	return gate, listener.Addr().String()
}

// checkOften checks the times of a gate's connections until the end of the test.
func checkOften(t *testing.T, gate *Gate) {
	go func() {
		for t.Context().Err() == nil {
			gate.checkTimes()
			time.Sleep(10 * time.Millisecond)
		}
	}()
}

// dialServer opens a connection to the server.
func dialServer(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a request and returns the status and the body of the response, and
// whether the server closes the connection.
func exchange(t *testing.T, conn net.Conn, request string) (status int, body string, closes bool) {
	t.Helper()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data), response.Close
}

func post(length int, sent string) string {
	return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + sent
}

// TestReadBody guards against bodies that are cut, and checks what becomes of the
// connection after one that isn't read to its end.
func TestReadBody(t *testing.T) {
	text := strings.Repeat("\n", bodyLimit)
	for name, test := range map[string]struct {
		request string
		status  int
		body    string
		closes  bool
	}{
		"empty":               {request: post(0, ""), status: 200, body: "0"},
		"short":               {request: post(3, "abc"), status: 200, body: "3"},
		"of the limit":        {request: post(bodyLimit, text), status: 200, body: strconv.Itoa(bodyLimit)},
		"over the limit":      {request: post(bodyLimit+1, text+"a"), status: 503, body: "the body is too large\n", closes: true},
		"far over":            {request: post(1<<40, ""), status: 503, body: "the body is too large\n", closes: true},
		"chunked":             {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", status: 200, body: "3"},
		"chunked, over":       {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + text + "a", status: 503, body: "the body is too large\n", closes: true},
		"unwanted small":      {request: "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" + text[:4000], status: 200},
		"unwanted unfinished": {request: "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" + text[:100], status: 200, closes: true},
		"unwanted large":      {request: "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n", status: 200, closes: true},
		"unwanted chunked":    {request: "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", status: 200, closes: true},
		"fields of the limit": {request: "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a: b\r\n", 255) + "\r\n", status: 200},
		"fields over":         {request: "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a: b\r\n", 300) + "\r\n", status: 431, closes: true},
		"query over":          {request: "GET /?" + strings.Repeat("a&", 300) + " HTTP/1.1\r\nHost: a\r\n\r\n", status: 431},
	} {
		t.Run(name, func(t *testing.T) {
			gate, address := startServer(t, DefaultLimits(0, 0))
			conn := dialServer(t, address)
			status, body, closes := exchange(t, conn, test.request)
			if status != test.status || body != test.body || closes != test.closes {
				t.Errorf("got %d %q, closes %t, want %d %q, %t", status, body, closes, test.status, test.body, test.closes)
			}
			if !closes {
				if status, body, _ := exchange(t, conn, post(2, "ab")); status != 200 || body != "2" {
					t.Errorf("got %d %q for the next request of the connection, want 200 and 2", status, body)
				}
			}
			awaitHeld(t, gate, func(used int64) bool { return used == 0 })
		})
	}
}

// awaitHeld waits until the bytes that are charged are as wanted.
func awaitHeld(t *testing.T, gate *Gate, wanted func(used int64) bool) {
	t.Helper()
	var used int64
	for range 1000 {
		if used, _, _ = gate.budget.Used(); wanted(used) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got %d bytes charged, want another number", used)
}

// TestSlowBody guards against a body that makes no progress, and against an answer other
// than that of the handler.
func TestSlowBody(t *testing.T) {
	limits := DefaultLimits(0, 0)
	limits.ProgressPeriod = 50 * time.Millisecond
	gate, address := startServer(t, limits)
	status, body, closes := exchange(t, dialServer(t, address), post(bodyLimit, "abc"))
	if status != 503 || body != ErrSlow.Error()+"\n" || !closes {
		t.Errorf("got %d %q, closes %t, want 503 for a slow body and the end of the connection", status, body, closes)
	}
	if got := gate.count(Progress); got != 1 {
		t.Errorf("got %d refusals for lack of progress, want 1", got)
	}
}

// TestEvictedBody checks that a body that stays unfinished makes way for another when the
// budget is spent, and that its client is told that nothing was done.
func TestEvictedBody(t *testing.T) {
	limits := DefaultLimits(0, 0)
	limits.PeerBytes = 50_000
	gate, address := startServer(t, limits)
	stalled := dialServer(t, address)
	if _, err := io.WriteString(stalled, post(bodyLimit, strings.Repeat("a", bodyLimit-1))); err != nil {
		t.Fatal(err)
	}
	awaitHeld(t, gate, func(used int64) bool { return used > bodyLimit })
	for range 3 {
		status, body, _ := exchange(t, dialServer(t, address), post(bodyLimit, strings.Repeat("a", bodyLimit)))
		if status != 200 {
			t.Errorf("got %d %q while another body is unfinished, want 200", status, body)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != 503 || string(text) != ErrEvicted.Error()+"\n" {
		t.Errorf("got %d %q for the unfinished body, want 503 and %v", response.StatusCode, text, ErrEvicted)
	}
}

// TestEvictedResponse guards against bytes that stay held after an eviction since the client
// doesn't read its response.
func TestEvictedResponse(t *testing.T) {
	gate := newTestGate(DefaultLimits(0, 0), 1)
	server, client := net.Pipe()
	conn := gate.Admit(server)
	defer func() { _ = client.Close() }()
	written := make(chan error)
	go func() {
		_, err := conn.Write([]byte("response"))
		written <- err
	}()
	for conn.writeBy.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.evict()
	if err := <-written; err == nil {
		t.Error("got no error for a response that nobody reads, want one")
	}
}

// TestLateDeadlineSparesNextWrite guards against a write that fails since the time of the one
// before it passed just as that ended.
func TestLateDeadlineSparesNextWrite(t *testing.T) {
	gate := newTestGate(DefaultLimits(0, 0), 1)
	server, client := net.Pipe()
	conn := gate.Admit(server)
	go func() { _, _ = io.Copy(io.Discard, client) }()
	defer func() { _ = client.Close() }()
	conn.writeBy.Store(1)
	conn.checkTimes(2)
	conn.endWrite()
	if _, err := conn.Write([]byte("response")); err != nil {
		t.Errorf("got error %v for the next write, want none", err)
	}
}

// TestUnknownJobHasRoom guards against a share of callers without a key in which no legal job
// fits, so that one is refused though nothing else is held.
func TestUnknownJobHasRoom(t *testing.T) {
	limits := DefaultLimits(0, 0)
	limits.CallerBytes, limits.UnknownShare = 2*legalJobBytes, 0.1
	callers := NewGates(limits, metrics.NewSet(), logr.Discard()).Callers
	if got := callers.budget.unknownLimit; got < legalJobBytes {
		t.Errorf("got a limit of %d bytes for callers without a key, want %d or more", got, legalJobBytes)
	}
}

// TestUnreadResponse guards against a connection that is held for a client that never reads.
func TestUnreadResponse(t *testing.T) {
	limits := DefaultLimits(0, 0)
	limits.WriteTimeout = 100 * time.Millisecond
	gate := newTestGate(limits, 1)
	checkOften(t, gate)
	server, client := net.Pipe()
	conn := gate.Admit(server)
	defer func() { _ = client.Close() }()
	if _, err := conn.Write([]byte("response")); err == nil {
		t.Error("got no error for a response that nobody reads, want one")
	}
	if got := gate.count(Unread); got != 1 {
		t.Errorf("got %d refusals, want 1", got)
	}
	var netErr net.Error
	if err := conn.SetWriteDeadline(time.Now()); errors.As(err, &netErr) {
		t.Error(err)
	}
}

package proxy

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/route"
)

// noTables is a node without a configuration.
type noTables struct{}

func (noTables) Table() *route.Table { return nil }

// logBuffer collects a server's log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startLogged serves a handler and returns its address and what its server
// logs.
func startLogged(t *testing.T, handler http.Handler) (string, *logBuffer) {
	t.Helper()
	logs := &logBuffer{}
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(logs, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), logs
}

// TestRefusedBodyKeepsConnection sends bodies that the node refuses to read,
// one after another on one connection.
func TestRefusedBodyKeepsConnection(t *testing.T) {
	address, logs := startLogged(t, New("node", noTables{}, metrics.NewSet()))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range 50 {
		body := strings.NewReader(strings.Repeat("b", 5000))
		response, err := client.Post("http://"+address+"/Service/path", "text/plain", body)
		if err != nil {
			t.Fatalf("request %d: %v; want an answer", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Fatalf("request %d: got status %d, want %d", i, got, want)
		}
	}
	if got := logs.String(); got != "" {
		t.Errorf("got server log %q, want none", got)
	}
}

// TestEarlyAnswerKeepsConnection sends bodies to an upstream that answers
// without having read them.
func TestEarlyAnswerKeepsConnection(t *testing.T) {
	upstream := startRaw(t, func(conn net.Conn) {
		buffer := make([]byte, 100)
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nearly")
		<-t.Context().Done()
	})
	address, logs := startLogged(t, New("node", tableTo(t, upstream), metrics.NewSet()))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range 20 {
		body := strings.NewReader(strings.Repeat("b", 1<<20))
		response, err := client.Post("http://"+address+"/Service/post", "text/plain", body)
		if err != nil {
			t.Fatalf("request %d: %v; want an answer", i, err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(got) != "early" {
			t.Fatalf("request %d: got %q, %v; want %q", i, got, err, "early")
		}
	}
	if got := logs.String(); got != "" {
		t.Errorf("got server log %q, want none", got)
	}
}

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

// emptyTableSource has no table, like a node without a configuration.
type emptyTableSource struct{}

func (emptyTableSource) Table() *route.Table { return nil }

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

// startLoggingServer serves a handler and returns its address and the error log
// of its server.
func startLoggingServer(t *testing.T, handler http.Handler) (string, *logBuffer) {
	t.Helper()
	logs := &logBuffer{}
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(logs, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), logs
}

// TestRejectedBodyKeepsConnection sends requests whose bodies the node does not
// read, one after another on one connection. Each must get a response.
func TestRejectedBodyKeepsConnection(t *testing.T) {
	address, logs := startLoggingServer(t, New("node", emptyTableSource{}, metrics.NewSet()))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range 50 {
		body := strings.NewReader(strings.Repeat("b", 5000))
		response, err := client.Post("http://"+address+"/Service/path", "text/plain", body)
		if err != nil {
			t.Fatalf("request %d: %v; want a response", i, err)
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

// TestEarlyResponseKeepsConnection sends bodies to an upstream that responds
// before it has read them. Each caller must get the complete response.
func TestEarlyResponseKeepsConnection(t *testing.T) {
	upstream := startRawUpstream(t, func(conn net.Conn) {
		buffer := make([]byte, 100)
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nearly")
		<-t.Context().Done()
	})
	address, logs := startLoggingServer(t, New("node", newTableSource(t, upstream), metrics.NewSet()))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range 20 {
		body := strings.NewReader(strings.Repeat("b", 1<<20))
		response, err := client.Post("http://"+address+"/Service/post", "text/plain", body)
		if err != nil {
			t.Fatalf("request %d: %v; want a response", i, err)
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

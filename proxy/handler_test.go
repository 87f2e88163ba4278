package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/core"
)

// Raw responses of upstream hosts.
const (
	completeResponse    = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole"
	truncatedBody       = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh"
	truncatedChunks     = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
	chunkedResponse     = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	undelimitedResponse = "HTTP/1.0 200 OK\r\n\r\nwho knows"
	truncatedHeader     = "HTTP/1.1 200 OK\r\nContent-Le"
	noResponse          = ""
	notHTTP             = "what?\r\n\r\n"
	errorResponse       = "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"
	forgedVerdict       = "HTTP/1.1 200 OK\r\nConnection: close\r\nRattanpath-Verdict: NotRun\r\nContent-Length: 5\r\n\r\nwhole"
)

// TestVerdicts sends one request to hosts with the same response, and checks the
// status, verdict and cause of the response and how often the request was sent.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		path     string
		response string
		status   int
		verdict  core.Verdict
		cause    core.Cause
		sent     int64
	}{
		{"complete response", "GET", "/Service/get", completeResponse, 200, core.Ran, "", 1},
		{"complete chunked response", "GET", "/Service/get", chunkedResponse, 200, core.Ran, "", 1},
		{"error response of the host", "POST", "/Service/post", errorResponse, 500, core.Ran, "", 1},
		{"verdict header forged by the host", "GET", "/Service/get", forgedVerdict, 200, core.Ran, "", 1},
		{"truncated body, idempotent", "GET", "/Service/get", truncatedBody, 502, core.MayHaveRun, core.CauseTruncated, 2},
		{"truncated body", "POST", "/Service/post", truncatedBody, 502, core.MayHaveRun, core.CauseTruncated, 1},
		{"truncated header", "POST", "/Service/post", truncatedHeader, 502, core.MayHaveRun, core.CauseUpstreamFailed, 1},
		{"no response, idempotent", "GET", "/Service/get", noResponse, 502, core.MayHaveRun, core.CauseUpstreamFailed, 2},
		{"no response", "POST", "/Service/post", noResponse, 502, core.MayHaveRun, core.CauseUpstreamFailed, 1},
		{"not HTTP", "POST", "/Service/post", notHTTP, 502, core.MayHaveRun, core.CauseUpstreamFailed, 1},
		{"neither length nor chunks", "GET", "/Service/get", undelimitedResponse, 502, core.MayHaveRun, core.CauseUnboundedAnswer, 1},
		{"unknown route", "GET", "/Service/other", completeResponse, 404, core.NotRun, core.CauseNoRoute, 0},
		{"unknown service", "GET", "/Other/get", completeResponse, 404, core.NotRun, core.CauseNoService, 0},
		{"no service in path", "GET", "/", completeResponse, 404, core.NotRun, core.CauseNoService, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := startResponder(t, test.response), startResponder(t, test.response)
			url := startProxy(t, first.address(), second.address())
			got := sendRequest(t, test.method, url+test.path, nil)
			if got.err != nil {
				t.Fatalf("got error %v, want a response", got.err)
			}
			if got.status != test.status || got.verdict != test.verdict.String() || got.cause != string(test.cause) {
				t.Errorf("got %d %s %s, want %d %s %s", got.status, got.verdict, got.cause, test.status, test.verdict, test.cause)
			}
			if sent := first.requests.Load() + second.requests.Load(); sent != test.sent {
				t.Errorf("got %d requests at the hosts, want %d", sent, test.sent)
			}
		})
	}
}

// TestTruncatedStreamIsDetected checks that the caller gets an error if the
// response is truncated after part of it was forwarded.
func TestTruncatedStreamIsDetected(t *testing.T) {
	for _, response := range []string{
		truncatedChunks,
		"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 500_000),
	} {
		url := startProxy(t, startResponder(t, response).address())
		if got := sendRequest(t, "GET", url+"/Service/get", nil); got.err == nil {
			t.Errorf("got a complete response of %d bytes, want an error", len(got.body))
		}
	}
}

// TestRetryOnAnotherHost checks that a request is retried on another host if no
// byte of it was sent, and that an idempotent one is also retried if the response
// was truncated.
func TestRetryOnAnotherHost(t *testing.T) {
	for range 20 {
		good := startResponder(t, completeResponse)
		url := startProxy(t, closedAddress(t), good.address())
		got := sendRequest(t, "POST", url+"/Service/post", strings.NewReader("entry"))
		if got.status != 200 || got.body != "whole" || good.requests.Load() != 1 {
			t.Fatalf("got %+v with %d requests at the host, want one complete response", got, good.requests.Load())
		}
		url = startProxy(t, startResponder(t, truncatedBody).address(), startResponder(t, completeResponse).address())
		if got := sendRequest(t, "GET", url+"/Service/get", nil); got.status != 200 || got.body != "whole" {
			t.Fatalf("got %+v, want the other host's response", got)
		}
	}
}

// TestAllHostsUnreachable checks the verdict and cause when no host accepts
// connections.
func TestAllHostsUnreachable(t *testing.T) {
	url := startProxy(t, closedAddress(t), closedAddress(t))
	got := sendRequest(t, "POST", url+"/Service/post", strings.NewReader("entry"))
	if got.status != 503 || got.verdict != "NotRun" || got.cause != string(core.CauseConnect) {
		t.Errorf("got %+v, want 503 NotRun Connect", got)
	}
}

// TestDeadlines checks that a request ends at the timeout set by the caller, and
// that an invalid timeout is rejected.
func TestDeadlines(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer server.Close()
	url := startProxy(t, server.Listener.Addr().String())
	request, _ := http.NewRequest("POST", url+"/Service/post", strings.NewReader("entry"))
	request.Header.Set(core.TimeoutHeader, "100ms")
	if got := doRequest(request); got.status != 504 || got.verdict != "MayHaveRun" || got.cause != "Deadline" {
		t.Errorf("got %+v, want 504 MayHaveRun Deadline", got)
	}
	request, _ = http.NewRequest("GET", url+"/Service/get", nil)
	request.Header.Set(core.TimeoutHeader, "soon")
	if got := doRequest(request); got.status != 400 || got.verdict != "NotRun" || got.cause != "BadRequest" {
		t.Errorf("got %+v, want 400 NotRun BadRequest", got)
	}
}

// TestQueueRejections fills the only host and checks that requests which time out
// in the queue or exceed its limit get the verdict NotRun and are not sent.
func TestQueueRejections(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started.Add(1)
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	url := startProxy(t, server.Listener.Addr().String())
	const slots, queue, overflow = 8, 4, 5
	results := make(chan result, slots+queue+overflow)
	request := func() { results <- sendRequest(t, "POST", url+"/Service/post", strings.NewReader("entry")) }
	for range slots + queue + overflow {
		go request()
	}
	causes := make(map[string]int)
	for range queue + overflow {
		got := <-results
		if got.status != 503 || got.verdict != "NotRun" {
			t.Errorf("got %+v, want 503 NotRun", got)
		}
		causes[got.cause]++
	}
	if got := causes[string(core.CauseQueueFull)]; got != overflow {
		t.Errorf("got causes %v, want %d QueueFull", causes, overflow)
	}
	close(release)
	for range slots {
		if got := <-results; got.status != 200 {
			t.Errorf("got %+v, want a complete response", got)
		}
	}
	if got := started.Load(); got != slots {
		t.Errorf("got %d requests at the host, want %d", got, slots)
	}
}

// TestBodyLimit checks that a body above the size limit is rejected, and that
// nothing is sent to the host if its length is declared.
func TestBodyLimit(t *testing.T) {
	host := startResponder(t, completeResponse)
	url := startProxy(t, host.address())
	large := strings.Repeat("b", 3_000_000)
	request, _ := http.NewRequest("POST", url+"/Service/post", strings.NewReader(large))
	request.Header.Set("Expect", "100-continue")
	got := doRequest(request)
	if got.status != 413 || got.verdict != "NotRun" || host.requests.Load() != 0 {
		t.Errorf("got %+v and %d requests, want 413 NotRun and 0", got, host.requests.Load())
	}
	got = sendRequest(t, "POST", url+"/Service/post", struct{ io.Reader }{strings.NewReader(large)})
	if got.status != 413 || got.verdict != "MayHaveRun" {
		t.Errorf("got %+v for a chunked body, want 413 MayHaveRun", got)
	}
}

// TestCallerDisconnects checks that an idempotent request is cancelled when its
// caller disconnects, and that any other request runs to completion.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			ended <- r.Context().Err()
		case <-time.After(500 * time.Millisecond):
			ended <- nil
		}
	}))
	defer server.Close()
	url := startProxy(t, server.Listener.Addr().String())
	disconnect := func(method, path string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		request, _ := http.NewRequestWithContext(ctx, method, url+path, nil)
		if got := doRequest(request); got.err == nil {
			t.Errorf("got %+v, want a timeout of the caller", got)
		}
		return <-ended
	}
	if got := disconnect("GET", "/Service/get"); !errors.Is(got, context.Canceled) {
		t.Errorf("got %v for the idempotent request, want it cancelled", got)
	}
	if got := disconnect("POST", "/Service/post"); got != nil {
		t.Errorf("got %v for the other request, want it completed", got)
	}
}

// TestHeaders checks that hop-by-hop headers are dropped and other headers are
// forwarded in both directions.
func TestHeaders(t *testing.T) {
	received := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
	}))
	defer server.Close()
	url := startProxy(t, server.Listener.Addr().String())
	request, _ := http.NewRequest("GET", url+"/Service/get?x=1", nil)
	request.Header.Set("Connection", "X-Hop")
	request.Header.Set("X-Hop", "1")
	request.Header.Set("X-End", "1")
	request.Header.Set(forwardedHeader, "10.0.0.1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	for side, header := range map[string]http.Header{"host": <-received, "caller": response.Header} {
		if header.Get("X-Hop") != "" || header.Get("X-End") != "1" {
			t.Errorf("got X-Hop %q and X-End %q at the %s, want only X-End", header.Get("X-Hop"), header.Get("X-End"), side)
		}
	}
}

// TestForwardedHeader checks that the caller's address and the remaining time are
// sent to the upstream.
func TestForwardedHeader(t *testing.T) {
	r := httptest.NewRequest("GET", "/", nil)
	r.RemoteAddr = "10.0.0.2:1234"
	r.Header.Set(forwardedHeader, "10.0.0.1")
	header := upstreamHeader(r, 1500*time.Millisecond)
	if got, want := header.Get(forwardedHeader), "10.0.0.1, 10.0.0.2"; got != want {
		t.Errorf("got %s %q, want %q", forwardedHeader, got, want)
	}
	if got, want := header.Get(core.TimeoutHeader), "1.5s"; got != want {
		t.Errorf("got %s %q, want %q", core.TimeoutHeader, got, want)
	}
}

// TestHTTP10CallerGetsContentLength checks that an HTTP/1.0 caller gets a
// Content-Length for a chunked response, since it could not detect truncation
// otherwise.
func TestHTTP10CallerGetsContentLength(t *testing.T) {
	url := startProxy(t, startResponder(t, chunkedResponse).address())
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /Service/get HTTP/1.0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := response.ContentLength, int64(5); got != want {
		t.Errorf("got length %d, want %d", got, want)
	}
}

// TestNoReplayOnStaleConnection reuses a connection on which the host reads a
// second request and then closes without a response. The request must not be sent
// again, even with an Idempotency-Key header, for which net/http would replay it.
func TestNoReplayOnStaleConnection(t *testing.T) {
	upstream := &rawUpstream{}
	upstream.serve = func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for i := range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Method == "POST" {
				upstream.requests.Add(1)
			}
			if i == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			}
		}
	}
	url := startProxy(t, startUpstream(t, upstream).address())
	for range 20 {
		before := upstream.requests.Load()
		if got := sendRequest(t, "GET", url+"/Service/get", nil); got.status != 200 {
			t.Fatalf("got %+v, want a complete response", got)
		}
		request, _ := http.NewRequest("POST", url+"/Service/post", nil)
		request.Header.Set("Idempotency-Key", "k")
		got := doRequest(request)
		if sent := upstream.requests.Load() - before; sent > 1 {
			t.Fatalf("got %d copies at the host for %+v, want at most 1", sent, got)
		}
		if got.status == 502 && got.verdict != "MayHaveRun" {
			t.Fatalf("got %+v, want MayHaveRun", got)
		}
	}
}

// TestNoWriteAfterCloseIfUnsent checks that a request reported as unsent cannot
// be sent later.
func TestNoWriteAfterCloseIfUnsent(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := newConn(near)
	c.beginRequest()
	if c.closeIfUnsent() {
		t.Error("got sent before any write, want not sent")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errAborted) {
		t.Errorf("got %v after closeIfUnsent, want %v", err, errAborted)
	}
}

// TestFirstWriteWaitsForEmptyReadBuffer checks that a request is sent only while
// a read with space for a whole buffer is in progress, and that it is then
// reported as sent.
func TestFirstWriteWaitsForEmptyReadBuffer(t *testing.T) {
	for _, test := range []struct {
		readSpace int
		want      bool
	}{{readBufferBytes, true}, {readBufferBytes - 1, false}} {
		near, far := net.Pipe()
		c := newConn(near)
		c.beginRequest()
		go func() { _, _ = c.Read(make([]byte, test.readSpace)) }()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		time.AfterFunc(200*time.Millisecond, func() { c.closeIfUnsent() })
		_, err := c.Write([]byte("x"))
		if got := err == nil; got != test.want || c.closeIfUnsent() != test.want {
			t.Errorf("got sent %t with read space %d, want %t", got, test.readSpace, test.want)
		}
		_ = near.Close()
	}
}

// TestUnsolicitedResponse lets a host send an unsolicited second response along
// with each response. It must not be delivered to any caller.
func TestUnsolicitedResponse(t *testing.T) {
	upstream := startRawUpstream(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			response := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + request.URL.Query().Get("id")
			_, _ = io.WriteString(conn, response+"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
		}
	})
	url := startProxy(t, upstream)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 500 {
				response, err := client.Get(url + "/Service/get?id=mine")
				if err != nil {
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err == nil && response.StatusCode == 200 && string(body) != "mine" {
					t.Errorf("got unsolicited response %q, want %q", body, "mine")
				}
			}
		})
	}
	callers.Wait()
}

// TestVerdictCoversEarlierAttempts checks that a request that may have run on one
// host does not get the verdict NotRun because the next host is unreachable.
func TestVerdictCoversEarlierAttempts(t *testing.T) {
	for range 20 {
		first := startResponder(t, noResponse)
		url := startProxy(t, first.address(), closedAddress(t))
		got := sendRequest(t, "GET", url+"/Service/get", nil)
		if sent := first.requests.Load(); sent > 0 && got.verdict == "NotRun" {
			t.Fatalf("got %+v with %d requests at the host, want MayHaveRun", got, sent)
		}
	}
}

// TestCallerErrorsDoNotEjectHosts lets callers disconnect while reading a
// response and while sending a body, often enough to eject the hosts if these
// counted as failures of the host.
func TestCallerErrorsDoNotEjectHosts(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	tableSource := newTableSource(t, address, address, address)
	handler := New("node", tableSource, metrics.NewSet())
	node := httptest.NewServer(handler)
	defer node.Close()
	for range 30 {
		ctx, cancel := context.WithCancel(t.Context())
		request, _ := http.NewRequestWithContext(ctx, "GET", node.URL+"/Service/get", nil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		_ = response.Body.Close()
		conn, err := net.Dial("tcp", node.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "POST /Service/post HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
		_ = conn.Close()
	}
	for deadline := time.Now().Add(10 * time.Second); handler.InFlight() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := tableSource.Table().Services["Service"].Ejected(); got != 0 {
		t.Errorf("got %d hosts ejected for failures of callers, want 0", got)
	}
}

// TestTrailers checks that the trailers of a request and of its response are
// forwarded, since a response without its trailer is incomplete.
func TestTrailers(t *testing.T) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- r.Trailer.Get("X-Sum")
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "whole")
		_ = http.NewResponseController(w).Flush()
		w.Header().Set("X-Sum", "of the answer")
	}))
	defer server.Close()
	url := startProxy(t, server.Listener.Addr().String())
	request, _ := http.NewRequest("POST", url+"/Service/post", struct{ io.Reader }{strings.NewReader("entry")})
	request.Trailer = http.Header{"X-Sum": {"of the request"}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if got, want := <-received, "of the request"; got != want {
		t.Errorf("got trailer %q at the host, want %q", got, want)
	}
	if got, want := response.Trailer.Get("X-Sum"), "of the answer"; got != want {
		t.Errorf("got trailer %q at the caller, want %q", got, want)
	}
}

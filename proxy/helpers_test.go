package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/replay"
	"rattanpath/roster"
	"rattanpath/route"
)

// testConfig has one service on a pool of three hosts, with an idempotent route
// and one that is not.
const testConfig = `
HostShape: {Slots: 8}
Racks:
  R: {DataCentre: D, Hosts: [up-0, up-1, up-2]}
Pools:
  P: {Hosts: [up-0, up-1, up-2]}
Services:
  Service:
    Pool: P
    Deadline: 2s
    MaxBody: 2MB
    Queue: {Limit: 4, Wait: 1s}
    Budget: {MinReady: 0}
    Routes:
      Get: {Path: /get, Idempotent: true}
      Post: {Path: /post}
`

// fakeStateSource provides a fixed state.
type fakeStateSource struct{ state *replay.State }

func (s fakeStateSource) State() *replay.State     { return s.state }
func (s fakeStateSource) Ready() bool              { return true }
func (s fakeStateSource) Changed() <-chan struct{} { return nil }

// fakeRosterSource provides a fixed host list.
type fakeRosterSource struct{ roster *roster.Roster }

func (r fakeRosterSource) Roster() *roster.Roster   { return r.roster }
func (r fakeRosterSource) Changed() <-chan struct{} { return nil }

// newTableSource returns a router with a table whose hosts have the given
// addresses.
func newTableSource(t *testing.T, addresses ...string) TableSource {
	t.Helper()
	publish := replay.Change{Set: map[string]string{"a.yaml": testConfig}}
	data, err := replay.EncodeRecord(replay.Record{Format: replay.Format, RequestID: "r", Publish: &publish})
	if err != nil {
		t.Fatal(err)
	}
	state, err := replay.New().Apply(core.Entry{Data: data})
	if err != nil || state.Declaration() == nil {
		t.Fatalf("got outcomes %+v, %v; want an active configuration", state.Outcomes, err)
	}
	hosts := make(map[string]core.Host)
	for i, address := range addresses {
		name := []string{"up-0", "up-1", "up-2"}[i]
		hosts[name] = core.Host{Name: name, Role: core.RoleWorker, State: core.HostLive, Address: address}
	}
	members := roster.NewMembers("node")
	members.SetJoined()
	router := route.New("node", fakeStateSource{state}, fakeRosterSource{&roster.Roster{Hosts: hosts}}, members, route.LeastOfTwo{}, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go router.Run(ctx)
	for deadline := time.Now().Add(5 * time.Second); router.Table() == nil; {
		if time.Now().After(deadline) {
			t.Fatal("got no table, want one")
		}
		time.Sleep(time.Millisecond)
	}
	return router
}

// rawUpstream is an upstream host that handles raw TCP connections and counts
// requests.
type rawUpstream struct {
	listener net.Listener
	serve    func(net.Conn)
	requests atomic.Int64
}

// startRawUpstream starts a host that handles each connection with serve, and
// returns its address.
func startRawUpstream(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return startUpstream(t, &rawUpstream{serve: serve}).address()
}

// startUpstream starts a host that listens until the end of the test.
func startUpstream(t *testing.T, upstream *rawUpstream) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	upstream.listener = listener
	go upstream.run()
	return upstream
}

func (u *rawUpstream) address() string { return u.listener.Addr().String() }

func (u *rawUpstream) run() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		session := &rawSession{upstream: u, conn: conn}
		go session.run()
	}
}

// rawSession is one connection to a rawUpstream.
type rawSession struct {
	upstream *rawUpstream
	conn     net.Conn
}

func (s *rawSession) run() {
	defer func() { _ = s.conn.Close() }()
	s.upstream.serve(s.conn)
}

// startResponder starts a host that reads one request per connection, writes the
// raw response and closes the connection.
func startResponder(t *testing.T, response string) *rawUpstream {
	upstream := &rawUpstream{}
	upstream.serve = func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		upstream.requests.Add(1)
		_, _ = io.WriteString(conn, response)
	}
	return startUpstream(t, upstream)
}

// closedAddress returns an address that refuses connections. The port stays bound
// until the test ends, since a free port could be assigned to the node under test.
func closedAddress(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// startProxy serves a handler for the given upstream addresses and returns its
// URL.
func startProxy(t *testing.T, addresses ...string) string {
	t.Helper()
	server := httptest.NewServer(New("node", newTableSource(t, addresses...), metrics.NewSet()))
	t.Cleanup(server.Close)
	return server.URL
}

// result is the response or error that a caller got.
type result struct {
	status  int
	verdict string
	cause   string
	body    string
	err     error
}

// sendRequest sends one request and reads the complete response.
func sendRequest(t *testing.T, method, url string, body io.Reader) result {
	t.Helper()
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	return doRequest(request)
}

func doRequest(request *http.Request) result {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: 5 * time.Second}, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return result{
		status:  response.StatusCode,
		verdict: response.Header.Get(core.VerdictHeader),
		cause:   response.Header.Get(core.CauseHeader),
		body:    string(data),
		err:     err,
	}
}

package intake

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/core"
	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/tasks"
)

const (
	closedPath = "/closed/" + testID
	publicPath = "/public/" + testID
)

// newKeyConfig returns a configuration in which organisations hold keys of the form
// "key-NAME", with a public queue and one that isn't.
func newKeyConfig(organisations ...string) *queue.Config {
	queues := []*queue.Queue{
		{Name: "closed", Host: "a.example", Prefix: "/closed/", Policy: tasks.Policy{Service: "one"}},
		{Name: "public", Host: "a.example", Prefix: "/public/", Public: true, Policy: tasks.Policy{Service: "one"}},
	}
	var list []queue.Organisation
	holders := make(map[queue.KeyHash]string)
	for _, name := range organisations {
		list = append(list, queue.Organisation{Name: name})
		holders[queue.HashKey("key-"+name)] = name
	}
	config := queue.NewConfig(7, queues, []queue.Service{{Name: "one"}}, queue.Limits{BodyBytes: 64})
	return config.WithOrganisations(list, holders)
}

// unreadBody is a request body that fails the test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("got the body of a refused request read, want it left")
	return 0, io.EOF
}

// sendKey sends a request with a key, or without one if it is empty.
func sendKey(h *Handler, method, path, key string, body io.Reader) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://a.example"+path, body)
	if key != "" {
		request.Header.Set("Test-Key", key)
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

// TestRequestsWithoutValidKeyAreRefused guards against queues that store, forward or read
// anything for callers without a valid key, by any method.
func TestRequestsWithoutValidKeyAreRefused(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE", "PUT", "HEAD", "OPTIONS"} {
		for _, path := range []string{closedPath, "/closed/", "/closed/short"} {
			for _, key := range []string{"", "key-other", "KEY-one", "key-one "} {
				h, _, client := newTestHandler(newKeyConfig("one"))
				if got := sendKey(h, method, path, key, unreadBody{t}).Code; got != http.StatusUnauthorized {
					t.Errorf("got status %d for %s %s with key %q, want 401", got, method, path, key)
				}
				if len(client.calls) != 0 {
					t.Errorf("got calls %v for %s %s with key %q, want none", client.calls, method, path, key)
				}
			}
		}
	}
}

// TestKeysAndPaths checks the status codes of valid keys, public queues and paths without a
// queue, and that a deployment without organisations ignores keys.
func TestKeysAndPaths(t *testing.T) {
	withKeys := newKeyConfig("one", "two")
	withoutKeys := queue.NewConfig(7, withKeys.Queues, withKeys.Services, withKeys.Limits)
	tests := []struct {
		config       *queue.Config
		path, key    string
		want         int
		organisation string
	}{
		{withKeys, closedPath, "key-one", 200, "one"},
		{withKeys, closedPath, "key-two", 200, "two"},
		{withKeys, publicPath, "", 200, ""},
		{withKeys, publicPath, "key-other", 200, ""},
		{withKeys, publicPath, "key-one", 200, "one"},
		{withKeys, "/none/" + testID, "", 404, ""},
		{withKeys, "/none/" + testID, "key-one", 404, ""},
		{newKeyConfig(), closedPath, "key-one", 401, ""},
		{newKeyConfig(), publicPath, "key-one", 200, ""},
		{withoutKeys, closedPath, "", 200, ""},
		{withoutKeys, closedPath, "key-one", 200, ""},
	}
	for _, test := range tests {
		h, _, client := newTestHandler(test.config)
		for _, method := range []string{"POST", "GET", "DELETE"} {
			if got := sendKey(h, method, test.path, test.key, strings.NewReader("job")).Code; got != test.want {
				t.Errorf("got status %d for %s %s with key %q, want %d", got, method, test.path, test.key, test.want)
			}
		}
		for _, request := range client.requests {
			hash := queue.HashKey(test.key)
			if got := request.Policy.Organisation; got != test.organisation {
				t.Errorf("got organisation %q for %s with key %q, want %q", got, test.path, test.key, test.organisation)
			}
			if request.ConfigVersion != 7 || request.KeysRequired != test.config.RequiresKeys || bytes.Equal(request.KeyHash, hash[:]) != (test.key != "") {
				t.Errorf("got version %d, keys required %t and hash %x for key %q, want 7, %t and its hash",
					request.ConfigVersion, request.KeysRequired, request.KeyHash, test.key, test.config.RequiresKeys)
			}
		}
	}
}

// TestOwnersRefusals checks the status codes of what an owner refuses because of a key, and
// that they are counted by reason.
func TestOwnersRefusals(t *testing.T) {
	tests := []struct {
		outcome owner.Outcome
		method  string
		want    int
		reason  string
	}{
		{owner.Unauthorised, "POST", 401, "withdrawn"},
		{owner.Unauthorised, "GET", 401, "withdrawn"},
		{owner.Unauthorised, "DELETE", 401, "withdrawn"},
		{owner.Forbidden, "POST", 409, "organisation"},
		{owner.Forbidden, "GET", 403, "organisation"},
		{owner.Forbidden, "DELETE", 403, "organisation"},
	}
	for _, test := range tests {
		h, _, client := newTestHandler(newKeyConfig("one"))
		client.outcome = test.outcome
		if got := sendKey(h, test.method, closedPath, "key-one", strings.NewReader("job")).Code; got != test.want {
			t.Errorf("got status %d for outcome %v of %s, want %d", got, test.outcome, test.method, test.want)
		}
		var text bytes.Buffer
		h.metrics.WritePrometheus(&text)
		if want := `rattanpath_intake_key_refusals_total{reason="` + test.reason + `"} 1`; !strings.Contains(text.String(), want) {
			t.Errorf("got metrics without %s for outcome %v", want, test.outcome)
		}
	}
}

// TestWithdrawnKeyIsRefusedFromTheNextVersionOn checks that keys follow the active
// configuration.
func TestWithdrawnKeyIsRefusedFromTheNextVersionOn(t *testing.T) {
	h, source, _ := newTestHandler(newKeyConfig("one"))
	steps := []struct {
		config *queue.Config
		want   int
	}{{newKeyConfig("one"), 200}, {newKeyConfig("two"), 401}, {newKeyConfig(), 401}, {newKeyConfig("one"), 200}}
	for i, step := range steps {
		source.config = step.config
		if got := sendKey(h, "POST", closedPath, "key-one", strings.NewReader("job")).Code; got != step.want {
			t.Errorf("got status %d in step %d, want %d", got, i, step.want)
		}
	}
}

// TestKeysAreNotShown guards against keys in log lines, metrics, responses and calls.
func TestKeysAreNotShown(t *testing.T) {
	var shown bytes.Buffer
	h, source, client := newTestHandler(newKeyConfig("one"))
	h.logger = core.NewLogger(&shown, "node")
	for _, outcome := range []owner.Outcome{owner.Done, owner.Unauthorised, owner.Forbidden, owner.Uncertain, owner.Overloaded} {
		client.outcome = outcome
		for _, path := range []string{closedPath, publicPath, "/closed/", "/none/"} {
			for _, method := range []string{"GET", "POST", "DELETE", "PUT"} {
				for _, key := range []string{"key-one", "key-other"} {
					_ = sendKey(h, method, path, key, strings.NewReader("bad")).Result().Write(&shown)
				}
			}
		}
	}
	source.config = nil
	_ = sendKey(h, "GET", closedPath, "key-one", nil).Result().Write(&shown)
	h.metrics.WritePrometheus(&shown)
	if shown.Len() == 0 || strings.Contains(shown.String(), "key-") {
		t.Errorf("got a key in %d bytes of output, want none", shown.Len())
	}
	if slices.ContainsFunc(client.requests, func(r owner.Request) bool { return bytes.Contains(r.KeyHash, []byte("key-")) }) {
		t.Error("got a key in a call to an owner, want its hash alone")
	}
}

// connListener is a listener that accepts one connection.
type connListener struct{ conns chan net.Conn }

func (l connListener) Accept() (net.Conn, error) {
	conn, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l connListener) Close() error   { return nil }
func (l connListener) Addr() net.Addr { return &net.UnixAddr{} }

// TestRefusalDoesNotAwaitBody guards against callers without a key that hold a connection by
// sending no body.
func TestRefusalDoesNotAwaitBody(t *testing.T) {
	for _, length := range []string{"Content-Length: 10", "Transfer-Encoding: chunked"} {
		synctest.Test(t, func(t *testing.T) {
			h, _, _ := newTestHandler(newKeyConfig("one"))
			near, far := net.Pipe()
			listener := connListener{make(chan net.Conn, 1)}
			listener.conns <- far
			server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(listener) }()
			_ = near.SetDeadline(time.Now().Add(time.Second))
			if _, err := io.WriteString(near, "POST "+closedPath+" HTTP/1.1\r\nHost: a.example\r\n"+length+"\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(near), nil)
			if err != nil || response.StatusCode != http.StatusUnauthorized {
				t.Errorf("got error %v and response %+v for a body with %s that isn't sent, want status 401", err, response, length)
			}
			_ = near.Close()
			close(listener.conns)
			_ = server.Close()
			time.Sleep(2 * time.Second)
		})
	}
}

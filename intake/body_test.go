package intake

import (
	"math"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/guard"
	"rattanpath/queue"
)

// serveGuarded serves a handler behind a gate and returns its URL.
func serveGuarded(t *testing.T, h http.Handler) string {
	t.Helper()
	gate := guard.NewGates(guard.DefaultLimits(0, 0), metrics.NewSet(), logr.Discard()).Callers
	server := &http.Server{Handler: h}
	gate.Configure(server)
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(gate.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + listener.Addr().String()
}

// post submits a job over a connection and returns the response's status and header.
func post(t *testing.T, url, body string) (int, http.Header) {
	t.Helper()
	return postWithKey(t, url, "", body)
}

// postWithKey does the same with an API key.
func postWithKey(t *testing.T, url, key, body string) (int, http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/x/"+testID, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Test-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// TestLargeJobIsRefusedBeforeDecoding guards against a job that is decoded or forwarded
// although its decoded form doesn't fit: a 503 must be true.
func TestLargeJobIsRefusedBeforeDecoding(t *testing.T) {
	h, _, client := newTestHandler(newTestConfig(1, "one"))
	h.codec.JobSize = func(body []byte) (int64, error) {
		if string(body) == "large" {
			return math.MaxInt32, nil
		}
		return int64(len(body)), nil
	}
	url := serveGuarded(t, h)
	if status, header := post(t, url, "large"); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got status %d and header %v, want 503 and Retry-After", status, header)
	}
	if len(client.calls) != 0 {
		t.Errorf("got calls %v for a refused job, want none", client.calls)
	}
	if status, _ := post(t, url, "job"); status != http.StatusOK {
		t.Errorf("got status %d for the next job, want 200", status)
	}
	if status, header := post(t, url, strings.Repeat("x", 65)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d and header %v for a body over the limit, want 413", status, header)
	}
}

// TestUnknownCallersAreLimited guards against callers without a key that may hold as much as
// those of organisations, where keys are required.
func TestUnknownCallersAreLimited(t *testing.T) {
	plain := newTestConfig(1, "one")
	public := newTestConfig(1, "one")
	public.Queues[0].Public = true
	holders := map[queue.KeyHash]string{queue.HashKey("key"): "acme"}
	keyed := public.WithOrganisations([]queue.Organisation{{Name: "acme"}}, holders)
	tests := map[string]struct {
		config *queue.Config
		key    string
		want   bool
	}{
		"no keys required":  {plain, "", true},
		"valid key":         {keyed, "key", true},
		"no key":            {keyed, "", false},
		"unknown key":       {keyed, "other", false},
		"key without a use": {plain, "key", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, _, _ := newTestHandler(test.config)
			known := make(chan bool, 1)
			url := serveGuarded(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				h.ServeHTTP(w, r)
				known <- guard.IsKnown(r)
			}))
			if status, _ := postWithKey(t, url, test.key, "job"); status != http.StatusOK {
				t.Errorf("got status %d, want 200 while there is room", status)
			}
			if got := <-known; got != test.want {
				t.Errorf("got a known caller: %t, want %t", got, test.want)
			}
		})
	}
}

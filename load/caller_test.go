package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"rattanpath/core"
	"rattanpath/fake"
)

// standbyTarget is the address of a server until that is closed, and then that of another.
type standbyTarget struct {
	server, standby *httptest.Server
	closed          atomic.Bool
}

// Addresses implements Targets.
func (s *standbyTarget) Addresses() []string {
	if s.closed.Load() {
		return []string{s.standby.Listener.Addr().String()}
	}
	return []string{s.server.Listener.Addr().String()}
}

// refuse answers that a request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set(core.VerdictHeader, core.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestRepeatedRequestMayHaveRun guards against a request that counts as not run although an earlier attempt at it,
// whose connection broke, has: an HTTP client repeats a GET by itself when a connection that was used before breaks.
func TestRepeatedRequestMayHaveRun(t *testing.T) {
	for name, closes := range map[string]bool{"at the same server": false, "at another server": true} {
		t.Run(name, func(t *testing.T) {
			starts := make(map[string]int)
			targets := &standbyTarget{standby: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { refuse(w) }))}
			defer targets.standby.Close()
			targets.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(fake.RequestIDHeader)
				if starts[id] > 0 {
					refuse(w)
					return
				}
				starts[id]++
				if len(starts) == 1 {
					// This request leaves a connection that the next one uses.
					w.Header().Set(core.VerdictHeader, core.Ran.String())
					_, _ = io.WriteString(w, fake.ResponseBody(id, 0))
					return
				}
				if closes {
					targets.closed.Store(true)
					_ = targets.server.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			}))
			defer targets.server.Close()
			caller := &Caller{Targets: targets, Recorder: NewRecorder(), Client: NewClient(0)}
			spec := RequestSpec{Service: "Catalogue", Path: "/query", Idempotent: true}
			if got, want := caller.Send(spec), Complete; got != want {
				t.Errorf("got result %d of the first request, want %d", got, want)
			}
			if got, want := caller.Send(spec), MayHaveRun; got != want {
				t.Errorf("got result %d, want %d", got, want)
			}
			if got := caller.Recorder.Audit(starts); !got.Clean() {
				t.Errorf("got findings %+v, want none", got)
			}
		})
	}
}

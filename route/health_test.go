package route

import (
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/config"
)

// TestEjectionAndProbes fails a host until it is ejected, fails its probes, and
// lets it come back.
func TestEjectionAndProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h health
		for i := 1; i <= ejectAfter; i++ {
			if got, want := h.failed(), i == ejectAfter; got != want {
				t.Fatalf("got eject %t after %d failures, want %t", got, i, want)
			}
		}
		h.eject()
		for _, span := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			// What was in flight makes the ejection no longer.
			h.failed()
			time.Sleep(span - time.Millisecond)
			if h.admits() {
				t.Fatalf("got a request admitted before %s, want none", span)
			}
			time.Sleep(time.Millisecond)
			first, second := h.admits(), h.admits()
			if !first || second {
				t.Fatalf("got requests admitted %t and %t after %s, want one probe", first, second, span)
			}
			h.failed()
		}
		time.Sleep(maxEjection)
		if !h.admits() {
			t.Fatal("got no probe, want one")
		}
		h.succeeded()
		first, second := h.admits(), h.admits()
		if !first || !second || h.ejected() {
			t.Error("got a host that is still ejected after a success, want it back")
		}
	})
}

// TestEjectionsAreBounded fails every host of a pool; most must stay in use.
func TestEjectionsAreBounded(t *testing.T) {
	router, _ := newRouter(t, 9, 1)
	service := router.Table().Services["S"]
	for _, target := range service.Targets {
		for range 3 * ejectAfter {
			Lease{Upstream: target.Upstream, service: service}.Failed()
		}
	}
	if got, want := service.Ejected(), 9/maxEjectedPart; got != want {
		t.Errorf("got %d of 9 hosts ejected, want %d", got, want)
	}
	if _, err := service.Admit(t.Context(), config.Interactive, nil); err != nil {
		t.Errorf("got %v, want a slot at a host that is not ejected", err)
	}
}

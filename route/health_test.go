package route

import (
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/config"
)

// TestEjectionAndProbes checks that a host is ejected after repeated failures,
// that each failed probe doubles the ejection time, and that a successful probe
// ends the ejection.
func TestEjectionAndProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h health
		for i := 1; i <= failureThreshold; i++ {
			if got, want := h.recordFailure(), i == failureThreshold; got != want {
				t.Fatalf("got eject %t after %d failures, want %t", got, i, want)
			}
		}
		h.eject()
		for _, duration := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			// Requests in flight when the ejection began do not extend it.
			h.recordFailure()
			time.Sleep(duration - time.Millisecond)
			if h.allowRequest() {
				t.Fatalf("got a request allowed before %s, want none", duration)
			}
			time.Sleep(time.Millisecond)
			first, second := h.allowRequest(), h.allowRequest()
			if !first || second {
				t.Fatalf("got requests allowed %t and %t after %s, want one probe", first, second, duration)
			}
			h.recordFailure()
		}
		time.Sleep(maxEjectionTime)
		if !h.allowRequest() {
			t.Fatal("got no probe, want one")
		}
		h.recordSuccess()
		first, second := h.allowRequest(), h.allowRequest()
		if !first || !second || h.ejected() {
			t.Error("got the host still ejected after a successful probe, want it in use")
		}
	})
}

// TestEjectionsAreLimited reports failures of every host of a pool and checks
// that most hosts stay in use.
func TestEjectionsAreLimited(t *testing.T) {
	router, _ := newTestRouter(t, 9, 1)
	service := router.Table().Services["S"]
	for _, target := range service.Targets {
		for range 3 * failureThreshold {
			Slot{Upstream: target.Upstream, service: service}.ReportFailure()
		}
	}
	if got, want := service.Ejected(), 9/minHostsPerEjection; got != want {
		t.Errorf("got %d of 9 hosts ejected, want %d", got, want)
	}
	if _, err := service.Admit(t.Context(), config.Interactive, nil); err != nil {
		t.Errorf("got %v, want a slot at a host that is not ejected", err)
	}
}

package intake

import (
	"testing"
	"time"

	"rattanpath/owner"
)

// Guards against callers of an organisation with a long backlog being asked back after a second,
// also by an entry node that remembers the refusal, and against others waiting longer.
func TestRetryAfterFollowsOwner(t *testing.T) {
	for wait, want := range map[time.Duration]string{0: "1", 200 * time.Millisecond: "1", 6200 * time.Millisecond: "7", 30 * time.Second: "30"} {
		h, _, client := newTestHandler(newTestConfig(1, "one"))
		client.outcome, client.wait = owner.Overloaded, wait
		if got := send(h, "POST", "/x/"+testID, "job"); got.Code != 503 || got.Header().Get("Retry-After") != want {
			t.Errorf("got status %d, Retry-After %q for a wait of %v, want 503 and %s", got.Code, got.Header().Get("Retry-After"), wait, want)
		}
		client.outcome, client.wait = owner.UnknownJob, 0
		if got := send(h, "POST", "/x/"+testID, "job"); got.Code != 503 || got.Header().Get("Retry-After") != want {
			t.Errorf("got status %d, Retry-After %q from memory for a wait of %v, want 503 and %s", got.Code, got.Header().Get("Retry-After"), wait, want)
		}
	}
}

package owner

import (
	"testing"

	"rattanpath/sched"
)

// TestUnknownOutcomesHaveNames checks that an outcome that isn't known, such as one of
// another version, has a text.
func TestUnknownOutcomesHaveNames(t *testing.T) {
	for _, value := range []int{-1, 100} {
		if got, want := Outcome(value).String(), "invalid"; got != want {
			t.Errorf("got %q for value %d, want %q", got, value, want)
		}
	}
}

// TestTooLargeJobIsDefinitelyNotRun checks that a job which the store doesn't take has an outcome
// of its own rather than an uncertain one.
func TestTooLargeJobIsDefinitelyNotRun(t *testing.T) {
	if got := outcomeFor(sched.ErrTooLarge); got != TooLarge || got.String() != "too-large" {
		t.Errorf("got outcome %v, want %v", got, TooLarge)
	}
}

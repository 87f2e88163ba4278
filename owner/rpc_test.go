package owner

import "testing"

// TestUnknownOutcomesHaveNames checks that an outcome that isn't known, such as one of
// another version, has a text.
func TestUnknownOutcomesHaveNames(t *testing.T) {
	for _, value := range []int{-1, 100} {
		if got, want := Outcome(value).String(), "invalid"; got != want {
			t.Errorf("got %q for value %d, want %q", got, value, want)
		}
	}
}

package engine

import "testing"

// TestGCPercent checks that only a busy node with room in its memory collects less often.
func TestGCPercent(t *testing.T) {
	const mb = 1 << 20
	tests := []struct {
		live, memory int64
		want         int
	}{
		{4 * mb, 512 * mb, 100},
		{20 * mb, 0, 100},
		{20 * mb, 512 * mb, 300},
		{64 * mb, 512 * mb, 220},
		{64 * mb, 180 * mb, 100},
		{400 * mb, 512 * mb, 100},
	}
	for _, test := range tests {
		if got := gcPercent(test.live, test.memory); got != test.want {
			t.Errorf("got %d%% for a live heap of %d MB in %d MB, want %d%%", got, test.live/mb, test.memory/mb, test.want)
		}
	}
}

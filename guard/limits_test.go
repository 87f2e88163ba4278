package guard

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestDefaultLimits guards against defaults that a legal client meets, or that leave too
// little of the machine to the process itself.
func TestDefaultLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(0, 1<<40).Draw(t, "memory")
		descriptors := rapid.IntRange(0, 1<<20).Draw(t, "descriptors")
		l := DefaultLimits(memory, descriptors)
		if err := l.Check(); err != nil {
			t.Fatalf("got %v, want valid defaults", err)
		}
		connections := l.CallerConnections + l.PeerConnections + 2*l.ServiceConnections
		if descriptors >= 200 && connections > 3*descriptors/4 {
			t.Fatalf("got %d connections, want at most 3 in 4 of %d descriptors", connections, descriptors)
		}
		if held := l.CallerBytes + l.PeerBytes + 2*l.ServiceBytes; memory >= assumedMemory && held > memory/4 {
			t.Fatalf("got %d bytes held, want at most a quarter of %d", held, memory)
		}
	})
	if got, want := DefaultLimits(0, 0), DefaultLimits(assumedMemory, assumedDescriptors); got != want {
		t.Errorf("got %+v without settings, want %+v", got, want)
	}
}

// TestCheck guards against limits of zero, and shares that are not numbers.
func TestCheck(t *testing.T) {
	err := (&Limits{UnknownShare: math.NaN()}).Check()
	if err == nil {
		t.Fatal("got no error for limits of zero, want one")
	}
	if got, want := strings.Count(err.Error(), ";")+1, 17; got != want {
		t.Errorf("got %d problems, want %d: %v", got, want, err)
	}
}

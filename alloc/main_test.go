package alloc

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

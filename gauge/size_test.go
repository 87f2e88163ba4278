package gauge

import (
	"fmt"
	"testing"

	"rattanpath/config"
)

// BenchmarkLoad merges, decodes and checks whole folders.
func BenchmarkLoad(b *testing.B) {
	for _, hosts := range []int{50, 730} {
		files := Synthesize(hosts, 22, 22)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Load(files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

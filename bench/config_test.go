package bench

import (
	"fmt"
	"testing"

	"rattanpath/config"
)

// BenchmarkLoadDeclarations merges, decodes and validates the declarations of a
// complete fleet.
func BenchmarkLoadDeclarations(b *testing.B) {
	for _, hosts := range []int{50, 730} {
		files := SyntheticFiles(hosts, 22, 22)
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

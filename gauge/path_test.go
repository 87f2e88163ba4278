package gauge

import (
	"context"
	"testing"

	"rattanpath/load"
)

// BenchmarkThroughNode sends requests through an entry node, one at a time on
// each processor.
func BenchmarkThroughNode(b *testing.B) {
	f, err := startFleet(context.Background(), Synthesize(12, 1, 1), 1, true)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close(context.Background())
	url := "http://" + f.Addresses()[0] + "/s0/get?Size=1000"
	client := load.NewClient(0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := fetch(client, url); err != nil {
				b.Error(err)
			}
		}
	})
}

package bench

import (
	"context"
	"testing"

	"rattanpath/load"
)

// BenchmarkRequestThroughNode sends requests through an entry node from GOMAXPROCS
// goroutines.
func BenchmarkRequestThroughNode(b *testing.B) {
	f, err := startFleet(context.Background(), SyntheticFiles(12, 1, 1), 1, true)
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

package abuse

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkOrdinary measures ordinary requests without a crowd, one at a time over one
// connection: the submission of a job and a query of its status. Run it in turns with that
// of another version.
func BenchmarkOrdinary(b *testing.B) {
	n := startNode(b)
	var posts, gets []time.Duration
	for i := 0; b.Loop(); i++ {
		url := n.jobURL(fmt.Sprintf("ordinary-%d", i))
		posts = append(posts, timed(b, http.MethodPost, url, []byte(ordinaryJob)))
		gets = append(gets, timed(b, http.MethodGet, url, nil))
	}
	for name, times := range map[string][]time.Duration{"post": posts, "get": gets} {
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us/"+name)
		b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us/"+name)
	}
}

// timed sends a request that must succeed and returns how long it took.
func timed(b *testing.B, method, url string, body []byte) time.Duration {
	b.Helper()
	start := time.Now()
	request, err := http.NewRequestWithContext(b.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("got status %d and error %v, want 200", response.StatusCode, err)
	}
	return time.Since(start)
}

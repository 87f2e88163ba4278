package guard

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestHeaderScanner guards against a body whose lines count as those of the header, which
// would refuse a legal request, however the bytes are cut into reads.
func TestHeaderScanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ending := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "ending")
		fields := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,5}: [a-z]{0,5}`), 0, 10).Draw(t, "fields")
		leading := rapid.IntRange(0, 2).Draw(t, "leading")
		header := strings.Repeat(ending, leading) + "GET / HTTP/1.1" + ending
		for _, field := range fields {
			header += field + ending
		}
		header += ending
		body := rapid.StringMatching(`[\n\ra]{0,20}`).Draw(t, "body")
		var s headerScanner
		gotSize, gotLines := 0, 0
		for data := []byte(header + body); len(data) > 0; {
			cut := rapid.IntRange(1, len(data)).Draw(t, "cut")
			size, lines := s.scan(data[:cut])
			gotSize, gotLines = gotSize+size, gotLines+lines
			data = data[cut:]
		}
		if gotSize != len(header) || gotLines != bytes.Count([]byte(header), []byte{'\n'}) || !s.ended {
			t.Fatalf("got %d bytes and %d lines, ended %t, want those of %q", gotSize, gotLines, s.ended, header)
		}
	})
}

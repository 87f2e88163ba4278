package proxy

import (
	"net"
	"net/http"
	"strings"
	"time"

	"rattanpath/core"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

const forwardedHeader = "X-Forwarded-For"

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// upstreamHeader returns the header to send to the upstream for a request with
// the given time remaining until its deadline.
func upstreamHeader(r *http.Request, remaining time.Duration) http.Header {
	header := r.Header.Clone()
	removeHopByHopHeaders(header)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Set(forwardedHeader, strings.Join(append(header.Values(forwardedHeader), host), ", "))
	}
	header.Set(core.TimeoutHeader, remaining.Round(time.Millisecond).String())
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from setting its default.
		header.Set("User-Agent", "")
	}
	return header
}

// copyHeader copies the header of an upstream's response to that of the caller.
// It drops hop-by-hop headers and the headers that only the proxy sets.
func copyHeader(dst, src http.Header) {
	removeHopByHopHeaders(src)
	src.Del(core.VerdictHeader)
	src.Del(core.CauseHeader)
	for name, values := range src {
		dst[name] = values
	}
}

// copyTrailer adds the trailer of an upstream's response to that of the caller.
func copyTrailer(dst, trailer http.Header) {
	for name, values := range trailer {
		dst[http.TrailerPrefix+name] = values
	}
}

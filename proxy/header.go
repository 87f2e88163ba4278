package proxy

import (
	"net"
	"net/http"
	"strings"
	"time"

	"rattanpath/core"
)

// hopHeaders concern one connection and are never forwarded.
var hopHeaders = []string{
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

// dropHopHeaders removes the headers that concern one connection, those that
// the Connection header names included.
func dropHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// upstreamHeader returns the header that an upstream gets for a request.
func upstreamHeader(r *http.Request, left time.Duration) http.Header {
	header := r.Header.Clone()
	dropHopHeaders(header)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Set(forwardedHeader, strings.Join(append(header.Values(forwardedHeader), host), ", "))
	}
	header.Set(core.TimeoutHeader, left.Round(time.Millisecond).String())
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	return header
}

// copyHeader copies an upstream's header to a caller's answer.
func copyHeader(to, from http.Header) {
	dropHopHeaders(from)
	from.Del(core.VerdictHeader)
	from.Del(core.CauseHeader)
	for name, values := range from {
		to[name] = values
	}
}

// copyTrailer adds an upstream's trailer after the body of a caller's answer.
func copyTrailer(to, trailer http.Header) {
	for name, values := range trailer {
		to[http.TrailerPrefix+name] = values
	}
}

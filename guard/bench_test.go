package guard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkRequest measures a request with a body of 500 bytes over one connection, with
// and without a gate. Both have the timeouts of package net/http.
func BenchmarkRequest(b *testing.B) {
	for name, gated := range map[string]bool{"plain": false, "gated": true} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = ReadBody(r, bodyLimit, 0)
				_, _ = io.WriteString(w, "{}")
			})}
			server.ReadHeaderTimeout, server.IdleTimeout = 3*time.Second, time.Minute
			if gated {
				gate := newTestGate(DefaultLimits(0, 0), 4)
				gate.Configure(server)
				listener = gate.Listen(listener)
			}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request := []byte(post(500, strings.Repeat("a", 500)))
			reader := bufio.NewReader(conn)
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}

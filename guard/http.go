package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// smallBody is the size up to which a body that the handler didn't read is read and
	// dropped, so that the connection can be used again.
	smallBody = 4 << 10
	// smallBodyTimeout limits the time for that.
	smallBodyTimeout = 500 * time.Millisecond
	// firstBodyBuffer is the largest size of the first buffer for a body, as long as none of
	// it has arrived. It is doubled as needed.
	firstBodyBuffer = 4 << 10
)

// connKey is the key of the context value that holds the connection of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if it passed no gate.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Configure sets the limits of the gate on a server, whose listener must be one of Listen.
func (g *Gate) Configure(server *http.Server) {
	server.ReadHeaderTimeout = g.limits.HeaderTimeout
	server.IdleTimeout = g.limits.IdleTimeout
	server.MaxHeaderBytes = g.limits.HeaderBytes
	server.ConnContext = withConn
	server.Handler = &handler{gate: g, next: server.Handler}
}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// handler serves requests of a gate's connections.
type handler struct {
	gate *Gate
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	c.endHeader()
	defer c.startHeader()
	request := *r
	request.Body = &trackedBody{ReadCloser: r.Body, ended: r.ContentLength == 0}
	response := &response{ResponseWriter: w, conn: c, request: &request}
	if countFields(r) > c.gate.limits.HeaderFields {
		c.gate.record(Fields)
		response.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	h.next.ServeHTTP(response, &request)
	response.finishBody()
}

// countFields returns the number of fields of a request's header and of its query.
func countFields(r *http.Request) int {
	count := 0
	for _, values := range r.Header {
		count += len(values)
	}
	if r.URL.RawQuery != "" {
		count += 1 + strings.Count(r.URL.RawQuery, "&")
	}
	return count
}

// trackedBody notes whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// response decides about the rest of the request's body before the header of the response
// is written, as package net/http would otherwise read on.
type response struct {
	http.ResponseWriter
	conn     *Conn
	request  *http.Request
	finished bool
}

// Unwrap is used by http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.finishBody()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.finishBody()
	return w.ResponseWriter.Write(p)
}

// finishBody drops the rest of a small body if it comes in time, and otherwise makes
// package net/http close the connection instead of reading on.
func (w *response) finishBody() {
	body, ok := w.request.Body.(*trackedBody)
	if w.finished || !ok || body.ended {
		return
	}
	w.finished = true
	if w.request.ContentLength <= smallBody && w.dropBody(body) {
		return
	}
	w.conn.gate.record(Unwanted)
	closeAfterResponse(w.ResponseWriter)
	_ = w.conn.SetReadDeadline(past)
}

// dropBody reads the rest of a small body. It returns false if that doesn't come in time.
func (w *response) dropBody(body *trackedBody) bool {
	_ = w.conn.SetReadDeadline(time.Now().Add(smallBodyTimeout))
	w.conn.account.restartWaiting()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, smallBody+1))
	w.conn.account.stopWaiting()
	if body.ended {
		_ = w.conn.SetReadDeadline(time.Time{})
	}
	return body.ended
}

// closeAfterResponse makes package net/http close the connection after the response, and leave
// a client that is still sending the time to read it. http.MaxBytesReader is the only way to
// request that; it does so when a body exceeds its limit.
func closeAfterResponse(w http.ResponseWriter) {
	one := io.NopCloser(strings.NewReader("x"))
	_, _ = http.MaxBytesReader(w, one, 0).Read(make([]byte, 1))
}

var (
	// ErrTooLarge means that a body is larger than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrSlow means that a body came too slowly.
	ErrSlow = errors.New("the body came too slowly")
)

// ReadBody returns the body of a request. It charges what it holds, and fails if the body
// is larger than limit or takes longer than the caller's timeout, 0 if the caller states
// none. The charge is released when the request has been served.
func ReadBody(r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	c := connOf(r)
	if c == nil {
		body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
		if int64(len(body)) > limit {
			return nil, ErrTooLarge
		}
		return body, err
	}
	if r.ContentLength > limit {
		c.gate.record(Size)
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if timeout <= 0 {
		timeout = c.gate.limits.BodyTimeout
	}
	c.account.restartWaiting()
	defer c.account.stopWaiting()
	reader := &bodyReader{conn: c, body: r.Body, limit: limit, end: time.Now().Add(timeout), first: firstBodyBuffer}
	if r.ContentLength > 0 {
		reader.first = min(reader.first, int(r.ContentLength))
	}
	body, err := reader.readAll()
	if late := c.expectRead(0); late && err != nil && !c.evicted.Load() {
		c.gate.record(Progress)
		err = ErrSlow
	}
	return body, err
}

// bodyReader reads a body within a time and with a minimum of progress.
type bodyReader struct {
	conn  *Conn
	body  io.Reader
	limit int64
	end   time.Time
	// first is the size of the first buffer.
	first int
	data  []byte
	// counted is how much of data had been read when the current period of progress
	// began, and credited when the client last got credit for it.
	counted, credited int
}

// progressUnit is how much of a body a client must send to get credit for progress, so
// that one that sends single bytes counts as one that keeps the process waiting.
const progressUnit = 1024

func (b *bodyReader) readAll() ([]byte, error) {
	b.startPeriod()
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
		n, err := b.body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > b.limit:
			b.conn.gate.record(Size)
			return nil, ErrTooLarge
		case err == io.EOF:
			return b.data, nil
		case err != nil:
			if b.conn.evicted.Load() {
				err = ErrEvicted
			}
			return nil, err
		}
		b.noteProgress()
	}
}

// noteProgress starts a new period, or gives credit, if enough has arrived.
func (b *bodyReader) noteProgress() {
	if len(b.data)-b.counted >= b.conn.gate.limits.ProgressBytes {
		b.counted = len(b.data)
		b.startPeriod()
	}
	if len(b.data)-b.credited >= progressUnit {
		b.credited = len(b.data)
		b.conn.account.restartWaiting()
	}
}

// startPeriod sets the time by which the next part of the body must have arrived.
func (b *bodyReader) startPeriod() {
	_ = b.conn.expectRead(max(1, min(b.conn.gate.limits.ProgressPeriod, time.Until(b.end))))
}

// grow doubles the buffer. It charges the new one before it releases the old one.
func (b *bodyReader) grow() error {
	size := min(max(b.first, 2*cap(b.data)), int(b.limit)+1)
	if err := b.conn.account.Charge(int64(size)); err != nil {
		if !errors.Is(err, ErrEvicted) {
			b.conn.gate.record(reasonOf(err))
		}
		return err
	}
	old := b.data
	b.data = append(make([]byte, 0, size), old...)
	b.conn.account.Release(int64(cap(old)))
	return nil
}

// Charge charges the connection of a request with bytes, until the request has been
// served.
func Charge(r *http.Request, bytes int64) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	err := c.account.Charge(bytes)
	if err != nil {
		c.gate.record(reasonOf(err))
	}
	return err
}

// SetKnown says whether a request is that of a caller with a valid key. Callers without
// one may hold only a share of what is held for all.
func SetKnown(r *http.Request, known bool) {
	if c := connOf(r); c != nil {
		c.account.SetKnown(known)
	}
}

// IsKnown reports whether a request counts as that of a caller with a valid key.
func IsKnown(r *http.Request) bool {
	c := connOf(r)
	return c == nil || !c.account.unknown.Load()
}

package guard

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Conn is a connection that passed a gate. Its account is charged with the headers that it
// reads, and each write has a deadline.
type Conn struct {
	net.Conn
	gate    *Gate
	account *Account
	// closeOnce makes Close release the account and leave the gate once.
	closeOnce sync.Once
	// evicted is set before the read deadline is moved into the past for good.
	evicted atomic.Bool
	// inHeader is set while the header of a request is read, which the field header tracks.
	inHeader   atomic.Bool
	header     headerScanner
	deadlineMu sync.Mutex
	// readBy and writeBy are the times of clock by which the client must have sent or read
	// more, 0 if there are none. They are checked from time to time, so that an ordinary
	// request sets no timers.
	readBy  atomic.Int64
	writeBy atomic.Int64
	// late is set after readBy has passed.
	late bool
	// writeFailed is set once the write in progress was made to fail. deadlineMu guards it.
	writeFailed bool
}

// expectRead sets the time within which the client must have sent more; 0 means none. It
// reports whether the last one had passed.
func (c *Conn) expectRead(within time.Duration) (late bool) {
	by := int64(0)
	if within > 0 {
		by = clock() + int64(within)
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.readBy.Store(by)
	if late = c.late; late && !c.evicted.Load() {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.late = false
	return late
}

// checkTimes makes a read or a write fail if its time has passed.
func (c *Conn) checkTimes(now int64) {
	if !isPast(&c.readBy, now) && !isPast(&c.writeBy, now) {
		return
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if isPast(&c.readBy, now) {
		c.late = true
		_ = c.Conn.SetReadDeadline(past)
	}
	if isPast(&c.writeBy, now) {
		c.failWrite()
	}
}

// isPast reports whether a time by which something must have happened, 0 for none, is over.
func isPast(by *atomic.Int64, now int64) bool {
	limit := by.Load()
	return limit != 0 && now > limit
}

// failWrite makes the write in progress fail. c.deadlineMu must be held.
func (c *Conn) failWrite() {
	c.writeFailed = true
	_ = c.Conn.SetWriteDeadline(past)
}

// endWrite notes the end of a write. If it succeeded just before it would have failed, the next
// one must not fail in its place.
func (c *Conn) endWrite() {
	c.writeBy.Store(0)
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.writeFailed {
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
	c.writeFailed = false
}

// evict makes reads fail from now on, and the write in progress: what the connection holds must
// become free even if the client doesn't read.
func (c *Conn) evict() {
	c.gate.record(Bytes)
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(past)
	if c.writeBy.Load() != 0 {
		c.failWrite()
	}
}

// SetReadDeadline implements net.Conn. The deadline of an evicted connection stays in the
// past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.evicted.Load() {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn. Writes have deadlines of their own.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. Writes have deadlines of their own.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// CloseWrite closes the sending side, as package net/http does before it closes a
// connection whose client may still be sending.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.account.Close()
		c.gate.remove(c)
	})
	return err
}

// Read implements net.Conn. It fails if the header of a request is too long or the budget
// is spent.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHeader.Load() {
		return n, err
	}
	size, lines := c.header.scan(p[:n])
	if c.header.lines > c.gate.limits.HeaderFields+headerExtraLines {
		return 0, c.refuse(Fields, "431 Request Header Fields Too Large", "")
	}
	if chargeErr := c.account.Charge(int64(size + lines*fieldMemory)); chargeErr != nil {
		return 0, c.refuse(reasonOf(chargeErr), "503 Service Unavailable", "Retry-After: 1\r\n")
	}
	return n, err
}

// headerExtraLines are the lines of a header that are not fields: the first and the last,
// and empty ones before it, which are allowed.
const headerExtraLines = 8

// reasonOf returns the reason for an error of Charge.
func reasonOf(err error) Reason {
	if errors.Is(err, ErrShare) {
		return Share
	}
	return Bytes
}

// refuse answers a request whose header isn't read to its end. It returns an error after
// which package net/http closes the connection without an answer of its own.
func (c *Conn) refuse(reason Reason, status, fields string) error {
	c.gate.record(reason)
	_, _ = c.Write([]byte("HTTP/1.1 " + status + "\r\n" + fields + "Connection: close\r\nContent-Length: 0\r\n\r\n"))
	return &net.OpError{Op: "read", Net: "tcp", Err: errors.New(status)}
}

// Write implements net.Conn. It fails if the client doesn't read in time.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeBy.Store(clock() + int64(c.gate.limits.WriteTimeout))
	defer c.endWrite()
	wasWaiting := c.account.waitingSince.Load()
	c.account.startWaiting()
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.record(Unread)
	}
	if wasWaiting == 0 {
		c.account.stopWaiting()
	}
	return n, err
}

// startHeader notes that the next request is awaited.
func (c *Conn) startHeader() {
	c.account.releaseAll()
	c.header = headerScanner{}
	c.inHeader.Store(true)
	c.account.restartWaiting()
}

// endHeader notes that a request is served.
func (c *Conn) endHeader() {
	c.inHeader.Store(false)
	c.account.stopWaiting()
}

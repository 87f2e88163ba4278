package guard

import (
	"os"

	"github.com/pkg/errors"
)

// ErrMessage means that a message is too large, or its length invalid.
var ErrMessage = errors.New("the message is too large")

// MessageReader reads the messages of package gob from a connection: each is a length and
// that number of bytes. Package gob allocates a buffer of the length that is claimed, so the
// connection is charged with it before the length is passed on.
type MessageReader struct {
	conn *Conn
	// left is how much of the current message is missing.
	left int
	// lengthBytes is how many bytes of its length are missing, and length the value of
	// the others.
	lengthBytes int
	length      uint64
	// identifier is the state of the type identifier with which a message begins.
	identifier identifierState
	// charged is the size of the last message, whose buffer package gob keeps until the
	// next one.
	charged int64
	// timed is set while a time limit for the rest of a message is in effect.
	timed bool
}

// Messages returns a reader of the messages of a connection, on which no headers are
// charged. The other side counts as unknown until MarkKnown.
func (c *Conn) Messages() *MessageReader {
	c.inHeader.Store(false)
	c.account.SetKnown(false)
	return &MessageReader{conn: c}
}

// MarkKnown notes that the other side has sent a valid call.
func (c *Conn) MarkKnown() { c.account.SetKnown(true) }

// Charge charges the connection with bytes until Release.
func (c *Conn) Charge(bytes int64) error { return c.account.Charge(bytes) }

// Release takes bytes off again.
func (c *Conn) Release(bytes int64) { c.account.Release(bytes) }

// Refused counts the failure of a Charge after which the connection is closed.
func (c *Conn) Refused(err error) {
	if !errors.Is(err, ErrEvicted) {
		c.gate.record(reasonOf(err))
	}
}

// Read implements io.Reader.
func (r *MessageReader) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.conn.evicted.Load() {
		r.conn.gate.record(Progress)
	}
	if parseErr := r.parse(p[:n]); parseErr != nil {
		return 0, parseErr
	}
	r.setDeadline()
	return n, err
}

// parse follows the messages in the next bytes of the connection.
func (r *MessageReader) parse(data []byte) error {
	for len(data) > 0 {
		if r.left > 0 {
			skipped := min(r.left, len(data))
			if err := r.parseIdentifier(data[:skipped]); err != nil {
				return err
			}
			r.left -= skipped
			data = data[skipped:]
			if r.left == 0 {
				r.conn.account.restartWaiting()
			}
			continue
		}
		first := data[0]
		data = data[1:]
		if err := r.parseLength(first); err != nil {
			return err
		}
	}
	return nil
}

// parseLength takes the next byte of a length: a byte below 128 is the length itself, any
// other the negated number of bytes that follow, big-endian.
func (r *MessageReader) parseLength(next byte) error {
	switch {
	case r.lengthBytes > 0:
		r.length = r.length<<8 | uint64(next)
		r.lengthBytes--
	case next < 128:
		r.length = uint64(next)
	default:
		r.length, r.lengthBytes = 0, -int(int8(next))
	}
	switch {
	case r.lengthBytes > 8:
		return r.tooLarge()
	case r.lengthBytes > 0:
		return nil
	}
	return r.begin()
}

// begin begins a message, whose length is complete.
func (r *MessageReader) begin() error {
	if r.length > uint64(r.conn.gate.limits.MessageBytes) {
		return r.tooLarge()
	}
	size := int64(r.length)
	if err := r.conn.Charge(size); err != nil {
		r.conn.Refused(err)
		return err
	}
	r.conn.Release(r.charged)
	r.charged, r.left, r.identifier = size, int(size), identifierState{}
	return nil
}

// identifierState is the state of a type identifier: that of a definition is negative. It is
// encoded like a length, with the sign in the lowest bit of its last byte.
type identifierState struct {
	begun, done bool
	// left is how many of its bytes are missing.
	left int
}

// definitionFactor is how many times its size the decoded form of a type's definition takes.
const definitionFactor = 4

// parseIdentifier takes the next bytes of a message. The connection is charged with the
// definitions of types for good, since package gob keeps them.
func (r *MessageReader) parseIdentifier(data []byte) error {
	for i := 0; i < len(data) && !r.identifier.done; i++ {
		id := &r.identifier
		switch {
		case id.begun:
			id.left--
		case data[i] >= 128:
			id.left = -int(int8(data[i]))
		}
		id.begun, id.done = true, id.left == 0
		if !id.done || data[i]&1 == 0 {
			continue
		}
		if err := r.conn.Charge(definitionFactor * r.charged); err != nil {
			r.conn.Refused(err)
			return err
		}
	}
	return nil
}

func (r *MessageReader) tooLarge() error {
	r.conn.gate.record(Size)
	return ErrMessage
}

// setDeadline limits the time for the rest of a message that has begun.
func (r *MessageReader) setDeadline() {
	partial := r.left > 0 || r.lengthBytes > 0
	switch {
	case partial && !r.timed:
		_ = r.conn.expectRead(r.conn.gate.limits.MessageTimeout)
	case !partial && r.timed:
		_ = r.conn.expectRead(0)
	}
	r.timed = partial
}

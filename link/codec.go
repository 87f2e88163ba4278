package link

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"rattanpath/guard"
)

// callMemory is what a call in progress takes besides its arguments: its goroutine and its
// response.
const callMemory = 4 << 10

// Sized is implemented by arguments of calls that know how much memory they take.
type Sized interface {
	HeldBytes() int64
}

// guardedCodec is the codec of package net/rpc for a connection that is charged with the
// calls in progress. It reads no further call while those in progress take the
// connection's share.
type guardedCodec struct {
	conn    *guard.Conn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	// sequence is that of the call being read, and err ends the connection after it.
	sequence uint64
	err      error

	mu sync.Mutex
	// calls holds what each call in progress was charged, by its sequence number.
	calls map[uint64]int64
	// ended is signalled when a call in progress ends, and endings counts them.
	ended   *sync.Cond
	endings int
}

func newGuardedCodec(conn *guard.Conn) *guardedCodec {
	buffer := bufio.NewWriter(conn)
	c := &guardedCodec{
		conn: conn, decoder: gob.NewDecoder(conn.Messages()), encoder: gob.NewEncoder(buffer), buffer: buffer,
		calls: make(map[uint64]int64),
	}
	c.ended = sync.NewCond(&c.mu)
	return c
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *guardedCodec) ReadRequestHeader(request *rpc.Request) error {
	if c.err != nil {
		// Package net/rpc goes on after an error in a body.
		return io.EOF
	}
	if err := c.decoder.Decode(request); err != nil {
		return err
	}
	c.sequence = request.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *guardedCodec) ReadRequestBody(body any) error {
	if c.err = c.decoder.Decode(body); c.err != nil || body == nil {
		return c.err
	}
	c.conn.MarkKnown()
	bytes := int64(callMemory)
	if sized, ok := body.(Sized); ok {
		bytes += sized.HeldBytes()
	}
	c.err = c.charge(bytes)
	return c.err
}

// charge charges the connection with a call. If the connection's share is spent, it waits until
// other calls have ended.
func (c *guardedCodec) charge(bytes int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, repeated := c.calls[c.sequence]; repeated {
		return errors.Errorf("a call of sequence number %d is in progress", c.sequence)
	}
	for {
		idle, endings := len(c.calls) == 0, c.endings
		// Unlocked, so that calls can end and release their bytes meanwhile.
		c.mu.Unlock()
		err := c.conn.Charge(bytes)
		c.mu.Lock()
		switch {
		case err == nil:
			c.calls[c.sequence] = bytes
			return nil
		case !errors.Is(err, guard.ErrShare) || idle:
			c.conn.Refused(err)
			return err
		}
		for c.endings == endings {
			c.ended.Wait()
		}
	}
}

// WriteResponse implements rpc.ServerCodec.
func (c *guardedCodec) WriteResponse(response *rpc.Response, body any) error {
	defer c.endCall(response.Seq)
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		// What was written of a response can't be taken back.
		_ = c.Close()
	}
	return err
}

// endCall releases what a call was charged.
func (c *guardedCodec) endCall(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.Release(c.calls[sequence])
	delete(c.calls, sequence)
	c.endings++
	c.ended.Broadcast()
}

// Close implements rpc.ServerCodec.
func (c *guardedCodec) Close() error { return c.conn.Close() }

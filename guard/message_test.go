package guard

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func newTestGate(limits Limits, connections int) *Gate {
	return NewGate("test", limits, connections, NewBudget(limits.PeerBytes, limits.PeerBytes, limits.PeerBytes), metrics.NewSet(), logr.Discard())
}

// scriptedConn is a connection from which given pieces can be read.
type scriptedConn struct {
	net.Conn
	pieces [][]byte
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	if c.pieces[0] = c.pieces[0][n:]; len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

// SetReadDeadline implements net.Conn.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *scriptedConn) Close() error { return nil }

// message is a value with types that package gob must define.
type message struct {
	Names  []string
	Nested map[string][]int
}

// TestMessageReader guards against a reader that loses track of the messages, however they
// are cut into reads: it would refuse a legal one or charge the wrong one.
func TestMessageReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent bytes.Buffer
		encoder := gob.NewEncoder(&sent)
		counts := rapid.SliceOfN(rapid.IntRange(0, 300), 0, 5).Draw(t, "messages")
		for _, count := range counts {
			if err := encoder.Encode(&message{Names: make([]string, count), Nested: map[string][]int{"a": make([]int, count)}}); err != nil {
				t.Fatal(err)
			}
		}
		conn := &scriptedConn{}
		for data := sent.Bytes(); len(data) > 0; {
			cut := rapid.IntRange(1, len(data)).Draw(t, "cut")
			conn.pieces, data = append(conn.pieces, data[:cut]), data[cut:]
		}
		gate := newTestGate(DefaultLimits(0, 0), 1)
		guarded := gate.Admit(conn)
		reader := guarded.Messages()
		decoder := gob.NewDecoder(reader)
		for _, want := range counts {
			var got message
			if err := decoder.Decode(&got); err != nil || len(got.Names) != want {
				t.Fatalf("got %d names and error %v, want %d", len(got.Names), err, want)
			}
		}
		if reader.left != 0 || reader.lengthBytes != 0 {
			t.Fatalf("got %d bytes left of a message, want none", reader.left)
		}
		_ = guarded.Close()
		if used, _, _ := gate.budget.Used(); used != 0 {
			t.Fatalf("got %d bytes charged after the end, want 0", used)
		}
	})
}

// TestMessageTooLarge guards against the memory that package gob allocates by the length
// that a message claims.
func TestMessageTooLarge(t *testing.T) {
	for name, data := range map[string][]byte{
		"64 MB":     {0xfc, 4, 0, 0, 0},
		"2^64-1":    {0xf8, 255, 255, 255, 255, 255, 255, 255, 255},
		"128 bytes": {0x80},
	} {
		gate := newTestGate(DefaultLimits(0, 0), 1)
		conn := gate.Admit(&scriptedConn{pieces: [][]byte{data}})
		if _, err := conn.Messages().Read(make([]byte, 100)); !errors.Is(err, ErrMessage) {
			t.Errorf("length of %s: got error %v, want %v", name, err, ErrMessage)
		}
		if got := gate.count(Size); got != 1 {
			t.Errorf("length of %s: got %d refusals, want 1", name, got)
		}
	}
}

package link

import (
	"context"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/guard"
)

// Slow is an RPC service whose calls wait until they are released.
type Slow struct {
	mu       sync.Mutex
	started  int
	released chan struct{}
}

// LargeArgument is an argument that takes much memory.
type LargeArgument struct {
	Text string
}

// HeldBytes implements Sized.
func (a *LargeArgument) HeldBytes() int64 { return int64(len(a.Text)) }

// Wait returns when the calls are released.
func (s *Slow) Wait(_ *LargeArgument, _ *bool) error {
	s.mu.Lock()
	s.started++
	s.mu.Unlock()
	<-s.released
	return nil
}

func (s *Slow) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// startGuardedServer starts a server behind a gate.
func startGuardedServer(t *testing.T, limits guard.Limits) (*Slow, *guard.Gate, string) {
	t.Helper()
	gate := guard.NewGates(limits, metrics.NewSet(), logr.Discard()).Peers
	server := NewServer("127.0.0.1:0", nil, logr.Discard())
	server.Limit(gate)
	slow := &Slow{released: make(chan struct{})}
	for name, receiver := range map[string]any{"Echo": Echo{}, "Slow": slow} {
		if err := server.Register(name, receiver); err != nil {
			t.Fatal(err)
		}
	}
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return slow, gate, server.Address()
}

// TestGuardedCalls guards against calls that fail or stay charged behind a gate.
func TestGuardedCalls(t *testing.T) {
	_, gate, address := startGuardedServer(t, guard.DefaultLimits(0, 0))
	client := NewClient(address, dial)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			word := []string{"hello", ""}[i%2]
			var reply string
			err := client.Call(t.Context(), "Echo.Say", word, &reply)
			var serverErr rpc.ServerError
			if reply != word || (word == "") != errors.As(err, &serverErr) {
				t.Errorf("got %q and %v for %q, want it back", reply, err, word)
			}
		})
	}
	calls.Wait()
	client.Close()
	await(t, "bytes charged", func() bool { s := gate.Status(); return s.Bytes == 0 && s.Connections == 0 })
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%s: got another state for 10 s", what)
}

// TestGuardedShare guards against a connection whose calls in progress take more than its
// share, and against calls that are lost when others wait for their end.
func TestGuardedShare(t *testing.T) {
	limits := guard.DefaultLimits(0, 0)
	limits.PeerBytes, limits.MessageBytes = 4<<20, 1<<20
	slow, gate, address := startGuardedServer(t, limits)
	client := NewClient(address, dial)
	defer client.Close()
	const calls, text = 20, 300_000
	var ended sync.WaitGroup
	for range calls {
		ended.Go(func() {
			var reply bool
			if err := client.Call(t.Context(), "Slow.Wait", &LargeArgument{Text: string(make([]byte, text))}, &reply); err != nil {
				t.Errorf("got %v, want the call to wait for others", err)
			}
		})
	}
	await(t, "calls in progress", func() bool { return slow.count() >= 4 })
	time.Sleep(100 * time.Millisecond)
	if got, most := gate.Status().PeakBytes, limits.PeerBytes; got > most {
		t.Errorf("got %d bytes charged, want at most %d", got, most)
	}
	if got := slow.count(); got >= calls {
		t.Errorf("got %d calls in progress, want fewer than all %d", got, calls)
	}
	close(slow.released)
	ended.Wait()
}

// TestGuardedRepeatedSequence guards against calls whose charge is released by another.
func TestGuardedRepeatedSequence(t *testing.T) {
	slow, gate, address := startGuardedServer(t, guard.DefaultLimits(0, 0))
	conn, err := dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	encoder := gob.NewEncoder(conn)
	for range 2 {
		if err := encoder.Encode(&rpc.Request{ServiceMethod: "Slow.Wait", Seq: 7}); err != nil {
			t.Fatal(err)
		}
		if err := encoder.Encode(&LargeArgument{}); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "calls in progress", func() bool { return slow.count() == 1 })
	close(slow.released)
	_, _ = io.Copy(io.Discard, conn)
	if got := slow.count(); got != 1 {
		t.Errorf("got %d calls, want only the first", got)
	}
	await(t, "connections", func() bool { s := gate.Status(); return s.Connections == 0 && s.Bytes == 0 })
}

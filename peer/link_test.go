package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/fold"
	"rattanpath/roster"
)

// fixedStates is a node that has folded nothing and is ready.
type fixedStates struct{}

func (fixedStates) State() *fold.State               { return fold.New() }
func (fixedStates) Ready() bool                      { return true }
func (fixedStates) SetReady()                        {}
func (fixedStates) LogFailing() bool                 { return false }
func (fixedStates) Since(int64) ([]core.Entry, bool) { return nil, true }
func (fixedStates) Offer([]core.Entry) error         { return nil }
func (fixedStates) Adopt(*fold.State)                {}

// emptyRosters is a node that has never read the host list.
type emptyRosters struct{}

func (emptyRosters) Roster() *roster.Roster       { return &roster.Roster{} }
func (emptyRosters) Adopt([]core.Host, time.Time) {}

// startPeer serves a peer and returns its address.
func startPeer(t *testing.T) string {
	t.Helper()
	exchanger := New(Options{Node: "peer"}, fixedStates{}, emptyRosters{}, roster.NewMembers("peer"), func() Load { return Load{InFlight: 7} }, logr.Discard())
	s, err := newServer("127.0.0.1:0", exchanger.Service(), nil, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.stop(context.Background()) })
	return s.listener.Addr().String()
}

// TestLinkOverRPC exchanges over net/rpc, twice on one connection.
func TestLinkOverRPC(t *testing.T) {
	link := NewLink(startPeer(t), nil)
	defer link.Close()
	for range 2 {
		answer, err := link.Exchange(t.Context(), Request{Standing: Standing{Node: "asker"}})
		if err != nil {
			t.Fatal(err)
		}
		if answer.Node != "peer" || answer.Load.InFlight != 7 {
			t.Errorf("got %+v, want the peer's name and load", answer)
		}
	}
}

// TestSilentPeer asks a peer that takes connections and never answers, and then
// one at the same link that does.
func TestSilentPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	link := NewLink(listener.Addr().String(), nil).(*rpcLink)
	defer link.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := link.Exchange(ctx, Request{}); err == nil {
		t.Error("got an answer from a silent peer, want an error")
	}
	if link.client != nil {
		t.Error("got the connection kept, want it closed")
	}
	link.address = startPeer(t)
	if _, err := link.Exchange(t.Context(), Request{}); err != nil {
		t.Errorf("got %v after the peer came back, want an answer", err)
	}
}

// TestConnectionsOfPeersAreBounded opens more connections than a node takes.
func TestConnectionsOfPeersAreBounded(t *testing.T) {
	address := startPeer(t)
	for range maxInbound {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("got %v, want the connection closed", err)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

package peer

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/fold"
	"rattanpath/link"
	"rattanpath/roster"
)

// fixedStates is a node that has folded nothing and is ready.
type fixedStates struct{}

func (fixedStates) State() *fold.State                      { return fold.New() }
func (fixedStates) Ready() bool                             { return true }
func (fixedStates) SetReady()                               {}
func (fixedStates) LogFailing() bool                        { return false }
func (fixedStates) EntriesSince(int64) ([]core.Entry, bool) { return nil, true }
func (fixedStates) ApplyEntries([]core.Entry) error         { return nil }
func (fixedStates) InstallState(*fold.State)                {}

// emptyRosters is a node that has never read the host list.
type emptyRosters struct{}

func (emptyRosters) Roster() *roster.Roster                { return &roster.Roster{} }
func (emptyRosters) UpdateFromPeer([]core.Host, time.Time) {}

// startPeer serves a peer and returns its address.
func startPeer(t *testing.T) string {
	t.Helper()
	exchanger := New(Options{Node: "peer"}, fixedStates{}, emptyRosters{}, roster.NewMembers("peer"), func() Load { return Load{InFlight: 7} }, logr.Discard())
	var traffic *core.TrafficCounter
	s := link.NewServer("127.0.0.1:0", traffic.Wrap, logr.Discard())
	if err := s.Register(serviceName, exchanger.Service()); err != nil {
		t.Fatal(err)
	}
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s.Address()
}

// TestLinkOverRPC exchanges over net/rpc, twice on one connection.
func TestLinkOverRPC(t *testing.T) {
	peer := NewLink(startPeer(t), nil)
	defer peer.Close()
	for range 2 {
		answer, err := peer.Exchange(t.Context(), Request{Standing: Standing{Node: "asker"}})
		if err != nil {
			t.Fatal(err)
		}
		if answer.Node != "peer" || answer.Load.InFlight != 7 {
			t.Errorf("got %+v, want the peer's name and load", answer)
		}
	}
}

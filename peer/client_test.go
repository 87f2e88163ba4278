package peer

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/link"
	"rattanpath/replay"
	"rattanpath/roster"
)

// fixedReplica is an empty replica that is ready.
type fixedReplica struct{}

func (fixedReplica) State() *replay.State                    { return replay.New() }
func (fixedReplica) Ready() bool                             { return true }
func (fixedReplica) SetReady()                               {}
func (fixedReplica) LogFailing() bool                        { return false }
func (fixedReplica) EntriesSince(int64) ([]core.Entry, bool) { return nil, true }
func (fixedReplica) ApplyEntries([]core.Entry) error         { return nil }
func (fixedReplica) InstallState(*replay.State)              {}

// emptyRosterCache is the cache of a node that has never read the host list.
type emptyRosterCache struct{}

func (emptyRosterCache) Roster() *roster.Roster                { return &roster.Roster{} }
func (emptyRosterCache) UpdateFromPeer([]core.Host, time.Time) {}

// startPeer starts an RPC server of a peer and returns its address.
func startPeer(t *testing.T) string {
	t.Helper()
	exchanger := New(Options{Node: "peer"}, fixedReplica{}, emptyRosterCache{}, roster.NewMembers("peer"), func() Load { return Load{InFlight: 7} }, logr.Discard())
	var traffic *core.TrafficCounter
	server := link.NewServer("127.0.0.1:0", traffic.Wrap, logr.Discard())
	if err := server.Register(serviceName, exchanger.Service()); err != nil {
		t.Fatal(err)
	}
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return server.Address()
}

// TestExchangeOverRPC makes two exchanges on one net/rpc connection.
func TestExchangeOverRPC(t *testing.T) {
	peer := NewClient(startPeer(t), nil)
	defer peer.Close()
	for range 2 {
		response, err := peer.Exchange(t.Context(), Request{Standing: Standing{Node: "caller"}})
		if err != nil {
			t.Fatal(err)
		}
		if response.Node != "peer" || response.Load.InFlight != 7 {
			t.Errorf("got %+v, want node %q with 7 requests in flight", response, "peer")
		}
	}
}

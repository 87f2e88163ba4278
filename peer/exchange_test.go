package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/follow"
	"rattanpath/replay"
	"rattanpath/roster"
)

// failedRosterCache is the cache of a node whose last read of the host list failed. It
// keeps the time of the list of a peer.
type failedRosterCache struct {
	readAt time.Time
}

func (*failedRosterCache) Roster() *roster.Roster {
	return &roster.Roster{Err: errors.New("the host list can't be read")}
}

func (c *failedRosterCache) UpdateFromPeer(_ []core.Host, readAt time.Time) { c.readAt = readAt }

// fixedPeer is a peer with a fixed response.
type fixedPeer struct{ response *Response }

func (p fixedPeer) Exchange(context.Context, Request) (*Response, error) { return p.response, nil }

func (fixedPeer) Close() {}

// newTestExchanger returns an exchanger with three records.
func newTestExchanger(t *testing.T, cache RosterCache) *Exchanger {
	t.Helper()
	replica := follow.New(follow.Streams{Records: fake.NewLog(0), Snapshots: fake.NewLog(0)}, time.Second, logr.Discard())
	for offset := range int64(3) {
		if err := replica.ApplyEntries([]core.Entry{{Offset: offset, Data: []byte("noise")}}); err != nil {
			t.Fatal(err)
		}
	}
	return New(Options{Node: "n"}, replica, cache, roster.NewMembers("n"), func() Load { return Load{} }, logr.Discard())
}

// TestHostListOfTheFutureIsNew checks that a peer's host list with a negative age counts
// as read now: one read in the future would keep out all later lists.
func TestHostListOfTheFutureIsNew(t *testing.T) {
	cache := &failedRosterCache{}
	e := newTestExchanger(t, cache)
	e.exchangeWith(t.Context(), fixedPeer{&Response{Hosts: []core.Host{{Name: "h"}}, HostsAge: -time.Hour}})
	if got := time.Until(cache.readAt); got > 0 {
		t.Errorf("got a host list read in %v, want one read by now", got)
	}
}

// FuzzExchange checks that neither a request nor a response of a peer makes a node
// panic, and that its state never goes back.
func FuzzExchange(f *testing.F) {
	state, err := replay.New().Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, message := range []any{
		Request{Standing: Standing{Node: "caller", Next: 1}, WantHosts: true},
		Response{Standing: Standing{Node: "peer", Next: 5}, Entries: []core.Entry{{Offset: 3, Data: []byte("noise")}}},
		Response{Standing: Standing{Node: "peer", Next: 3}, Hosts: []core.Host{{Name: "h"}}, State: state, Hash: replay.Hash(state)},
	} {
		var data bytes.Buffer
		if err := gob.NewEncoder(&data).Encode(message); err != nil {
			f.Fatal(err)
		}
		f.Add(data.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := newTestExchanger(t, &failedRosterCache{})
		next := e.replica.State().Next
		var response Response
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&response) == nil {
			// Fuzzing doesn't find hashes.
			response.Hash = replay.Hash(response.State)
			e.exchangeWith(t.Context(), fixedPeer{&response})
		}
		var request Request
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&request) == nil {
			_ = e.Service().Exchange(request, &Response{})
		}
		if got := e.replica.State().Next; got < next {
			t.Errorf("got next offset %d after %d, want none before it", got, next)
		}
		// Whatever was installed is served on.
		for _, from := range []int64{request.Next, -1, 0, e.replica.State().Next - 1} {
			_ = e.Service().Exchange(Request{Standing: Standing{Next: from}}, &Response{})
		}
	})
}

package relay

import (
	"time"

	"rattanpath/pool"
)

const (
	// maxExchangeWait limits the time for which a node may delay its reply to a batch.
	maxExchangeWait = time.Second
	// maxResults is the most results in a reply to a batch.
	maxResults = 500
)

// Batch is a message to a node that calls hosts for another one.
type Batch struct {
	// Session identifies the sender. First is set in the first message of a session: a node that
	// has restarted since doesn't know it.
	Session uint64
	First   bool
	Calls   []Call
	// Deadline is that of each call, see Request.Deadline.
	Deadline time.Duration
	// Wait is how long the node may delay its reply until it has a result.
	Wait time.Duration
}

// Call is a numbered request of a session. Only the ID and the address of its host are set.
type Call struct {
	Number  uint64
	Request Request
}

// Results are the reply to a batch: the outcomes of calls in it and in earlier ones.
type Results struct {
	// Unknown is set if the node doesn't know the session. It has then executed nothing of the batch.
	Unknown bool
	// Busy is set if the node has too much of its own work for calls of others.
	Busy    bool
	Results []Result
	// Clock is the reading of the node's clock.
	Clock time.Duration
}

// Result is the outcome of a call.
type Result struct {
	Number   uint64
	Response Response
}

// HeldBytes returns approximately how much memory the batch takes.
func (b *Batch) HeldBytes() int64 {
	var held int64
	for i := range b.Calls {
		held += b.Calls[i].Request.HeldBytes()
	}
	return held
}

// wait returns how long the reply may be delayed.
func (b *Batch) wait() time.Duration { return min(max(0, b.Wait), maxExchangeWait) }

// addressOf returns what a node needs to know of a host to call it.
func addressOf(host *pool.Host) pool.Host { return pool.Host{ID: host.ID, Address: host.Address} }

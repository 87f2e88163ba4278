package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// recordKey is the key of the record that names the owner of the topic.
	recordKey = "claim"
	// writerName is the writer name that all claimants use.
	writerName = "claim"
	// maxAttempts limits the attempts of Acquire while others write to the topic.
	maxAttempts = 8
	retryDelay  = 30 * time.Millisecond
)

// Journal reads and writes the records of topics.
type Journal interface {
	Append(ctx context.Context, write store.Write) (int64, error)
	Newest(ctx context.Context, topic string) (store.Snapshot, error)
}

// record is the stored owner of a topic.
type record struct {
	Epoch int64
	Node  string
	// Nonce distinguishes the claims of one node.
	Nonce string
	// Released means that the node has released the topic and stopped writing.
	Released bool `json:",omitempty"`
}

// Claim is the ownership of a topic until another node claims it.
type Claim struct {
	// Epoch is higher than that of every previous claim.
	Epoch int64
	// Records holds the newest record of each key at the time of the claim.
	Records []store.Record
	// SentAt is a reading of the clock before the claim was appended: the ownership can't be
	// taken as confirmed any later. It is 0 if an earlier attempt appended the claim.
	SentAt time.Duration
	// PreviousNode is the previous owner, or empty. PreviousReleased means that it had
	// released the topic.
	PreviousNode     string
	PreviousReleased bool

	node  string
	nonce string
}

// Acquire claims a topic. The nonce must be unique to a claim and stay the same when
// that claim is retried. While others write to the topic, it retries up to
// maxAttempts times.
func Acquire(ctx context.Context, journal Journal, topic, node, nonce string, clock core.Clock) (*Claim, error) {
	for range maxAttempts {
		c, err := tryAcquire(ctx, journal, topic, node, nonce, clock)
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, store.ErrOffsetConflict) && !errors.Is(err, store.ErrFenced) {
			return nil, err
		}
		if err := core.Sleep(ctx, retryDelay); err != nil {
			return nil, err
		}
	}
	return nil, errors.Errorf("claiming topic %s: too many conflicting writes", topic)
}

func tryAcquire(ctx context.Context, journal Journal, topic, node, nonce string, clock core.Clock) (*Claim, error) {
	snapshot, err := journal.Newest(ctx, topic)
	if err != nil {
		return nil, err
	}
	if len(snapshot.Malformed) > 0 {
		// What the owner of a topic doesn't know of, it would do again.
		return nil, errors.Wrapf(snapshot.Malformed[0].Err, "reading the records of %s", topic)
	}
	c := &Claim{node: node, nonce: nonce}
	var current record
	for _, r := range snapshot.Records {
		if r.Key != recordKey {
			c.Records = append(c.Records, r)
			continue
		}
		if err := json.Unmarshal(r.Value, &current); err != nil {
			return nil, errors.Wrapf(err, "decoding the claim of %s", topic)
		}
	}
	c.PreviousNode, c.PreviousReleased = current.Node, current.Released
	if current.Nonce == nonce {
		// An earlier attempt succeeded but its response was lost.
		c.Epoch = current.Epoch
		return c, nil
	}
	c.Epoch = current.Epoch + 1
	c.SentAt = clock()
	return c, c.appendClaim(ctx, journal, topic, snapshot.Next)
}

// appendClaim appends the claim record if the topic still ends at the given offset.
func (c *Claim) appendClaim(ctx context.Context, journal Journal, topic string, end int64) error {
	encoded, err := c.encode(false)
	if err != nil {
		return err
	}
	_, err = journal.Append(ctx, store.Write{
		Topic:   topic,
		Records: []store.Record{encoded},
		Writer:  writerName,
		Epoch:   c.Epoch,
		// The store must not mistake the claims of two nodes for a repeated write.
		Sequence:    c.firstSequence(),
		ExpectedEnd: &end,
	})
	if errors.Is(err, store.ErrOutOfSequence) {
		// Another node has claimed the topic under the same epoch.
		return store.ErrOffsetConflict
	}
	return err
}

// sequenceBits is the size of a claim's first sequence number.
const sequenceBits = 40

// firstSequence returns the sequence number of the claim's first write. It is hashed
// from the node and the nonce, so that claims differ.
func (c *Claim) firstSequence() int64 {
	return int64(xxhash.Sum64String(c.node+"/"+c.nonce) >> (64 - sequenceBits))
}

func (c *Claim) encode(released bool) (store.Record, error) {
	value, err := json.Marshal(record{Epoch: c.Epoch, Node: c.node, Nonce: c.nonce, Released: released})
	return store.Record{Key: recordKey, Value: value}, errors.Wrap(err, "encoding a claim")
}

// ReleaseRecord returns the record that releases the topic.
func (c *Claim) ReleaseRecord() (store.Record, error) { return c.encode(true) }

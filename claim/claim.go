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
	// recordKey is the key of the record that says who has the topic.
	recordKey = "claim"
	// writer is the name under which every claimant writes.
	writer = "claim"
	// attempts is how often a claim is tried while others write.
	attempts = 8
	pause    = 30 * time.Millisecond
)

// Journal keeps the records of topics.
type Journal interface {
	Append(ctx context.Context, write store.Write) (int64, error)
	Newest(ctx context.Context, topic string) (store.Snapshot, error)
}

// record says who has a topic.
type record struct {
	Epoch int64
	Node  string
	// Nonce tells the claims of one node apart.
	Nonce string
	// Released means that the node has given the topic up and decides no more.
	Released bool `json:",omitempty"`
}

// Claim is the right to decide on the matter of a topic, until another node
// claims it.
type Claim struct {
	// Epoch is higher than that of every older claim.
	Epoch int64
	// Records are the newest of each key at the time of the claim.
	Records []store.Record
	// Before is the node that had the topic before, or nothing, and Released says
	// that it had given the topic up.
	Before   string
	Released bool

	node  string
	nonce string
}

// Take claims a topic. The nonce must differ between claims, but be the same
// when one is tried again.
func Take(ctx context.Context, journal Journal, topic, node, nonce string) (*Claim, error) {
	for range attempts {
		c, err := try(ctx, journal, topic, node, nonce)
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, store.ErrOffsetConflict) && !errors.Is(err, store.ErrFenced) {
			return nil, err
		}
		if err := core.Sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
	return nil, errors.Errorf("others keep writing to %s", topic)
}

func try(ctx context.Context, journal Journal, topic, node, nonce string) (*Claim, error) {
	table, err := journal.Newest(ctx, topic)
	if err != nil {
		return nil, err
	}
	c := &Claim{node: node, nonce: nonce}
	var last record
	for _, r := range table.Records {
		if r.Key != recordKey {
			c.Records = append(c.Records, r)
			continue
		}
		if err := json.Unmarshal(r.Value, &last); err != nil {
			return nil, errors.Wrapf(err, "decoding the claim of %s", topic)
		}
	}
	c.Before, c.Released = last.Node, last.Released
	if last.Nonce == nonce {
		// An earlier attempt took effect and its answer was lost.
		c.Epoch = last.Epoch
		return c, nil
	}
	c.Epoch = last.Epoch + 1
	return c, c.write(ctx, journal, topic, table.Next)
}

// write appends the claim if the topic still ends where it was read.
func (c *Claim) write(ctx context.Context, journal Journal, topic string, at int64) error {
	claimed, err := c.record(false)
	if err != nil {
		return err
	}
	_, err = journal.Append(ctx, store.Write{
		Topic:   topic,
		Records: []store.Record{claimed},
		Writer:  writer,
		Epoch:   c.Epoch,
		// The claims of two nodes must not pass for one that is repeated.
		Sequence:    c.first(),
		ExpectedEnd: &at,
	})
	if errors.Is(err, store.ErrOutOfSequence) {
		// Another node has claimed the same epoch.
		return store.ErrOffsetConflict
	}
	return err
}

// sequenceBits bounds the number of the first write of a claim.
const sequenceBits = 40

// first returns the number of the first write of the claim, which differs between
// claims.
func (c *Claim) first() int64 {
	return int64(xxhash.Sum64String(c.node+"/"+c.nonce) >> (64 - sequenceBits))
}

func (c *Claim) record(released bool) (store.Record, error) {
	value, err := json.Marshal(record{Epoch: c.Epoch, Node: c.node, Nonce: c.nonce, Released: released})
	return store.Record{Key: recordKey, Value: value}, errors.Wrap(err, "encoding a claim")
}

// Release returns the record that says that the node decides no more.
func (c *Claim) Release() (store.Record, error) { return c.record(true) }

package store

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Record is one record of a topic.
type Record struct {
	Key string
	// Value is the new value of the key; an empty value deletes the key.
	Value  []byte
	Offset int64
}

// Write is an atomic append to a topic.
type Write struct {
	Topic   string
	Records []Record
	// Writer and Epoch fence off earlier writers of the topic: the store rejects
	// epochs lower than the highest it has seen.
	Writer string
	Epoch  int64
	// Sequence numbers the writes of an epoch that carry records, so that a retry
	// of a recent write is idempotent and gets the original response. A write
	// without records only verifies the epoch.
	Sequence int64
	// ExpectedEnd, if not nil, makes the write conditional: it fails with
	// ErrOffsetConflict unless this is the offset after the topic's last record.
	ExpectedEnd *int64
}

// Snapshot holds the newest record of each key of a topic.
type Snapshot struct {
	Records []Record
	// Malformed lists the items that can't be decoded and were left out.
	Malformed []MalformedItem
	// Next is the offset to continue reading from. The snapshot reflects every
	// record before it and may also contain later ones.
	Next int64
}

// MalformedItem is an item of a list that can't be decoded. Key is empty if it names none.
type MalformedItem struct {
	Key string
	Err error
}

// Batch holds consecutive records in append order.
type Batch struct {
	Records []Record
	// Next is the offset after the last record, and End the offset after the last one
	// of the topic.
	Next int64
	End  int64
}

// Membership is a request to join or leave a group that shares a topic's
// partitions.
type Membership struct {
	Group  string
	Member string
	Topic  string
	// TTL is how long the membership is valid without a renewal.
	TTL time.Duration
	// Generation is the last generation of the group that the member has seen.
	Generation int64
}

// Assignment lists the partitions assigned to a member of a group.
type Assignment struct {
	Generation int64
	Partitions []int
}

// PartitionOwner names the group member that a partition is assigned to.
type PartitionOwner struct {
	Partition int
	Member    string
}

// Errors of store calls that had no effect.
var (
	// ErrFenced means that a writer with a higher epoch has taken over.
	ErrFenced = errors.New("a writer with a higher epoch has taken over the topic")
	// ErrOffsetConflict means that the topic does not end at Write.ExpectedEnd.
	ErrOffsetConflict = errors.New("the topic has grown since it was read")
	// ErrOutOfSequence means that Write.Sequence does not follow the last one.
	ErrOutOfSequence = errors.New("the sequence number does not follow the last one")
	// ErrExpired means that the requested records are past their retention.
	ErrExpired = errors.New("the records have expired")
	// ErrRefused means that the store is overloaded, unavailable or out of space.
	ErrRefused = errors.New("the store refused the call")
	// ErrFull is an ErrRefused: appends of records are refused until records are trimmed or
	// expire.
	ErrFull = errors.WithMessage(ErrRefused, "out of space")
	// ErrTooLarge means that a record or a write is larger than the store allows, so that
	// repeating it is of no use.
	ErrTooLarge = errors.New("the store doesn't take a record or a write of that size")
	// ErrInvalid means that the store rejects the write for another reason than its size or
	// the state of the topic.
	ErrInvalid = errors.New("the store rejects the write")
)

// WrapTopic adds an action and its topic to an error. It returns nil if err is
// nil.
func WrapTopic(err error, action, topic string) error {
	if err == nil {
		return nil
	}
	return errors.WithMessage(err, fmt.Sprintf("%s %s", action, topic))
}

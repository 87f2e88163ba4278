package store

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Record is the newest state of one key of a topic.
type Record struct {
	Key string
	// Value is the state of the key; a record without one removes the key.
	Value  []byte
	Offset int64
}

// Write is one append to a topic. Its records are appended together or not at
// all.
type Write struct {
	Topic   string
	Records []Record
	// Writer and Epoch fence older writers of the topic: once an epoch has been
	// seen, lower ones are refused.
	Writer string
	Epoch  int64
	// Sequence numbers the writes of one epoch that have records. A repeat of a
	// recent one has no second effect and gets its first answer. A write without
	// records only confirms the epoch.
	Sequence int64
	// At, if it is not nil, is where the topic must end for the write to happen.
	ExpectedEnd *int64
}

// Snapshot is the newest record of each key.
type Snapshot struct {
	Records []Record
	// Next is an offset such that every record before it is reflected in the
	// table; the table may hold newer ones as well.
	Next int64
}

// Batch is a run of records as they were appended.
type Batch struct {
	Records []Record
	// Next is the offset after the last record.
	Next int64
}

// Membership asks for a share of a topic's partitions.
type Membership struct {
	Group      string
	Member     string
	Topic      string
	TTL        time.Duration
	Generation int64
}

// Assignment is what a member of a group holds.
type Assignment struct {
	Generation int64
	Partitions []int
}

// PartitionOwner says which member holds a partition.
type PartitionOwner struct {
	Partition int
	Member    string
}

// Errors of the store that say that nothing was done.
var (
	// ErrFenced means that a writer with a higher epoch has taken over.
	ErrFenced = errors.New("a writer with a higher epoch has taken over the topic")
	// ErrOffsetConflict means that the topic doesn't end where the write wanted it to.
	ErrOffsetConflict = errors.New("the topic has grown since it was read")
	// ErrOutOfSequence means that the sequence number of the write doesn't follow.
	ErrOutOfSequence = errors.New("the sequence number does not follow the last one")
	// ErrExpired means that the records asked for are kept no longer.
	ErrExpired = errors.New("the records have expired")
	// ErrRefused means that the store refused the call and did nothing.
	ErrRefused = errors.New("the store refused the call")
)

// WrapTopic adds the topic to an error.
func WrapTopic(err error, action, topic string) error {
	if err == nil {
		return nil
	}
	return errors.WithMessage(err, fmt.Sprintf("%s %s", action, topic))
}

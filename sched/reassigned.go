package sched

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanpath/store"
)

const (
	// movedPrefix begins the keys of the records of moved queues.
	movedPrefix = "m/"
	// allQueues stands in the place of a queue for a version that holds for all of them: the newest
	// of which Queues has given a list.
	allQueues = ""
)

// movedQueues holds from which version of the configuration on callers' nodes may submit new jobs
// of a queue, since it was assigned to another service before or in that version. Those that act
// on an older one don't know which jobs the other service may have accepted.
type movedQueues struct {
	versions map[string]int64
	// stored holds the versions that are persisted, and unwritten what to call once those of
	// other queues are.
	stored    map[string]int64
	unwritten map[string][]func()
}

// movedRecord is the stored form of a moved queue. The next owner may act on an older version of
// the configuration than this one.
type movedRecord struct {
	Queue   string `json:",omitempty"`
	Version int64
}

// QueueList is which queues a cell holds jobs of.
type QueueList struct {
	Queues []string
	// ConfigVersion is the version of the node's configuration when the list was made. From
	// then on no owner of the cell accepts new jobs of queues which that version assigns to
	// another service, unless the caller's node acts on a newer one.
	ConfigVersion int64
}

// isReassigned reports whether a queue was assigned to another service in a version of the
// configuration that the caller's node doesn't know, or may have been. c.mu must be held until a
// new job is added, so that Queues and RecordMove miss none.
func (c *Cell) isReassigned(key string, caller Caller) bool {
	if caller.ConfigVersion < c.moved.versions[key] {
		return true
	}
	if c.options.Config == nil {
		return false
	}
	config := c.options.Config()
	if config == nil || config.Version < c.moved.versions[allQueues] {
		return caller.ConfigVersion < c.moved.versions[allQueues]
	}
	if config.Version <= caller.ConfigVersion {
		return false
	}
	q := config.Queue(key)
	return q != nil && q.Policy.Service != c.options.Service
}

// RecordMove makes this owner and all after it refuse new jobs of a queue from nodes that act on a
// configuration older than the given version, in which the queue was assigned to another service.
// It returns once that is persisted.
func (c *Cell) RecordMove(ctx context.Context, queue string, version int64) error {
	c.mu.Lock()
	switch {
	case c.isLost() || c.stopped:
		c.mu.Unlock()
		return ErrNotOwner
	case version <= c.moved.stored[queue]:
		c.mu.Unlock()
		return nil
	case c.storeUnavailable():
		c.mu.Unlock()
		return ErrStoreUnavailable
	}
	if version > c.moved.versions[queue] {
		c.moved.versions[queue] = version
		c.logger.Info("queue moved", "queue", queue, "version", version, "epoch", c.epoch)
	}
	persisted := make(chan struct{})
	c.moved.unwritten[queue] = append(c.moved.unwritten[queue], func() { close(persisted) })
	wake(c.writeWake)
	c.mu.Unlock()
	return c.awaitPersisted(ctx, persisted)
}

func newMovedQueues() movedQueues {
	return movedQueues{versions: make(map[string]int64), stored: make(map[string]int64), unwritten: make(map[string][]func())}
}

// take returns the write of the moved queues that are to be persisted.
func (m *movedQueues) take() (jobWrite, error) {
	unwritten := m.unwritten
	m.unwritten = make(map[string][]func())
	var moved jobWrite
	var records []store.Record
	for _, queue := range slices.Sorted(maps.Keys(unwritten)) {
		version := m.versions[queue]
		value, err := json.Marshal(movedRecord{Queue: queue, Version: version})
		if err != nil {
			return moved, errors.Wrapf(err, "encoding the moved queue %s", queue)
		}
		records = append(records, store.Record{Key: fmt.Sprintf("%s%016x", movedPrefix, xxhash.Sum64String(queue)), Value: value})
		moved.onPersisted = append(moved.onPersisted, func() { m.stored[queue] = max(m.stored[queue], version) })
		moved.onPersisted = append(moved.onPersisted, unwritten[queue]...)
	}
	moved.writes = [][]store.Record{records}
	return moved, nil
}

// load restores a moved queue from its record.
func (m *movedQueues) load(value []byte) error {
	var record movedRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return errors.Wrap(err, "decoding a moved queue")
	}
	m.versions[record.Queue], m.stored[record.Queue] = record.Version, record.Version
	return nil
}

// Queues returns the queues that the cell holds jobs of, ended ones included. It confirms that this
// node owned the cell meanwhile, and that no later owner takes new jobs from nodes of older versions
// before it knows the version of the list itself.
func (c *Cell) Queues(ctx context.Context) (QueueList, error) {
	c.mu.Lock()
	var list QueueList
	if c.options.Config != nil {
		if config := c.options.Config(); config != nil {
			list.ConfigVersion = config.Version
		}
	}
	held := make(map[string]bool)
	for key := range c.jobs {
		held[key.Queue] = true
	}
	c.mu.Unlock()
	list.Queues = slices.Sorted(maps.Keys(held))
	if err := c.RecordMove(ctx, allQueues, list.ConfigVersion); err != nil {
		return list, err
	}
	return list, c.ConfirmOwnership(ctx)
}

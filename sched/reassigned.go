package sched

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanpath/queue"
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
	// open holds the queues that each list of this owner has given as open to nodes of older
	// versions, nil before the first. An owner that inherits a version doesn't know them.
	open map[string]bool
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
	// then on no owner of the cell accepts new jobs from callers' nodes that act on an older one,
	// except those of queues in Open.
	ConfigVersion int64
	// Open holds queues that this version assigns to the service, as did those of earlier lists.
	Open []string
}

// isReassigned reports whether a queue was assigned to another service in a version of the
// configuration that the caller's node doesn't know, or may have been. c.mu must be held until a
// new job is added, so that Queues and RecordMove miss none.
func (c *Cell) isReassigned(key string, caller Caller) bool {
	if caller.ConfigVersion < c.moved.versions[key] {
		return true
	}
	if caller.ConfigVersion < c.moved.versions[allQueues] && !c.moved.open[key] {
		// The queue may come back, as in a version after that of a list. Jobs that were submitted
		// elsewhere by nodes which relied on the list are then unknown here.
		return true
	}
	config := c.config()
	if config == nil || config.Version <= caller.ConfigVersion {
		return false
	}
	q := config.Queue(key)
	return q != nil && q.Policy.Service != c.options.Service
}

// config returns the configuration of this node, or nil if it has none.
func (c *Cell) config() *queue.Config {
	if c.options.Config == nil {
		return nil
	}
	return c.options.Config()
}

// RecordMove makes this owner and all after it refuse new jobs of a queue from nodes that act on a
// configuration older than the given version, in which the queue was assigned to another service.
// It returns once that is persisted.
func (c *Cell) RecordMove(ctx context.Context, queue string, version int64) error {
	c.mu.Lock()
	persisted, err := c.recordMove(queue, version)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	return c.awaitPersisted(ctx, persisted)
}

// recordMove does the same, but returns a channel that is closed once that is persisted. c.mu must be held.
func (c *Cell) recordMove(key string, version int64) (persisted chan struct{}, err error) {
	persisted = make(chan struct{})
	switch {
	case c.isLost() || c.stopped:
		return nil, ErrNotOwner
	case version <= c.moved.stored[key]:
		close(persisted)
		return persisted, nil
	case c.storeUnavailable():
		return nil, ErrStoreUnavailable
	}
	if version > c.moved.versions[key] {
		c.moved.versions[key] = version
		c.logger.Info("queue moved", "queue", key, "version", version, "epoch", c.epoch)
	}
	c.moved.unwritten[key] = append(c.moved.unwritten[key], func() { close(persisted) })
	wake(c.writeWake)
	return persisted, nil
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
// node owned the cell meanwhile, and that no later owner takes new jobs from nodes of older versions.
// Nothing may be accepted between the list and the version that closes the cell to such nodes.
func (c *Cell) Queues(ctx context.Context) (QueueList, error) {
	c.mu.Lock()
	list := c.listQueues()
	persisted, err := c.recordMove(allQueues, list.ConfigVersion)
	c.mu.Unlock()
	if err != nil {
		return list, err
	}
	if err := c.awaitPersisted(ctx, persisted); err != nil {
		return list, err
	}
	return list, c.ConfirmOwnership(ctx)
}

// listQueues returns the list of Queues, and records which queues it gives as open. c.mu must be held.
func (c *Cell) listQueues() QueueList {
	held := make(map[string]bool)
	for key := range c.jobs {
		held[key.Queue] = true
	}
	list := QueueList{Queues: slices.Sorted(maps.Keys(held))}
	if config := c.config(); config != nil {
		list.ConfigVersion = config.Version
		c.moved.keepOpen(config, c.options.Service)
	}
	list.Open = slices.Sorted(maps.Keys(c.moved.open))
	return list
}

// keepOpen leaves those queues open to nodes of older versions that a configuration assigns to a
// service, unless an earlier list didn't. The version of the list must not have been recorded yet.
func (m *movedQueues) keepOpen(config *queue.Config, service string) {
	isFirst := m.open == nil && m.versions[allQueues] == 0
	open := make(map[string]bool)
	for _, q := range config.Queues {
		if key := q.Key(); q.Policy.Service == service && (isFirst || m.open[key]) {
			open[key] = true
		}
	}
	m.open = open
}

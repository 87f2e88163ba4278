package sched

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/claim"
	"rattanpath/store"
)

const (
	// storeBytes is what the store holds in all before it refuses appends.
	storeBytes = 400_000_000
	// liveShare is the share of storeBytes for the newest records of all cells. The rest is
	// left to records that were replaced since the last trim, to the records of hosts, and to
	// the changes of jobs that were accepted.
	liveShare = 0.6
	// minTopicBytes and maxTopicBytes bound the part of one cell. Services differ in load, and
	// a topic holds 200 MB at most.
	minTopicBytes = 16_000_000
	maxTopicBytes = 100_000_000
	// trimShare is how much a cell appends between two trims as a share of its part, and
	// minTrimBytes and maxTrimBytes bound that: with little load, records expire before
	// it is worth a call.
	trimShare    = 0.2
	minTrimBytes = 4_000_000
	maxTrimBytes = 16_000_000
	// trimRetryDelay is the time between two trims that fail or free too little.
	trimRetryDelay = 5 * time.Second
	// fullPause is how long after the store was full no new jobs are accepted, so that
	// ends and the changes of accepted jobs are stored first.
	fullPause = 2 * time.Second
	// taskBytes is about what a task of a new job takes in the store while it runs.
	taskBytes = 100
)

// ErrStoreFull means that the records of the service take so much of the store that no
// further job is accepted; nothing was changed.
var ErrStoreFull = errors.New("the store has no room for new jobs")

// Trimmer deletes old records of topics.
type Trimmer interface {
	// Trim deletes the records of a topic before an offset, except for the newest of
	// each key.
	Trim(ctx context.Context, topic string, before int64) error
}

// TopicShare returns the value of Options.TopicBytes for a number of services.
func TopicShare(services int) int {
	return min(max(minTopicBytes, int(liveShare*storeBytes)/max(1, services)), maxTopicBytes)
}

// topicSize describes what the topic of a cell holds.
type topicSize struct {
	// sizes holds the size of the newest record of each key, and live is their sum.
	sizes map[string]int
	live  int
	// appended is the size of what was appended since the last trim, and end is the end
	// of the topic, 0 if unknown.
	appended int
	end      int64
	// trimming is set while a trim is under way, and trimmedAt is when the last one began.
	trimming  bool
	trimmedAt time.Time
	// fullAt is when the store last refused records because it was full.
	fullAt time.Time
}

// add counts confirmed records.
func (s *topicSize) add(records []store.Record) {
	if s.sizes == nil {
		s.sizes = make(map[string]int)
	}
	for _, record := range records {
		size := recordOverhead + len(record.Key) + len(record.Value)
		s.appended += size
		s.live -= s.sizes[record.Key]
		if len(record.Value) == 0 {
			delete(s.sizes, record.Key)
			continue
		}
		s.sizes[record.Key] = size
		s.live += size
	}
}

// topicBytes returns how much the newest records of the cell may take.
func (c *Cell) topicBytes() int {
	if c.options.TopicBytes > 0 {
		return c.options.TopicBytes
	}
	return TopicShare(1)
}

// trimBytes returns how much is appended between two trims.
func (c *Cell) trimBytes() int {
	return min(max(minTrimBytes, int(trimShare*float64(c.topicBytes()))), maxTrimBytes)
}

// hasStoreSpaceFor reports whether the records of a new job may be added to the topic. c.mu must be
// held.
func (c *Cell) hasStoreSpaceFor(e *jobEntry) bool {
	if !c.topic.fullAt.IsZero() && time.Since(c.topic.fullAt) < fullPause {
		return false
	}
	return c.topic.live+len(e.job.Plan.Spec)+e.job.UnassignedTasks()*taskBytes <= c.topicBytes()
}

// recordsConfirmed counts records that the store has confirmed, and trims the topic if enough
// has been appended. c.mu must be held.
func (c *Cell) recordsConfirmed(records []store.Record, end int64) {
	c.topic.add(records)
	if len(records) > 0 {
		c.topic.end = end
	}
	if c.topic.appended >= c.trimBytes() {
		c.trim()
	}
}

// trim deletes the records of the topic that were replaced. c.mu must be held.
func (c *Cell) trim() {
	s := &c.topic
	if c.options.Trimmer == nil || s.trimming || s.end == 0 || time.Since(s.trimmedAt) < trimRetryDelay {
		return
	}
	s.trimming, s.trimmedAt = true, time.Now()
	end, appended := s.end, s.appended
	c.spawn(func(ctx context.Context) {
		err := c.options.Trimmer.Trim(ctx, Topic(c.options.Service), end)
		c.mu.Lock()
		defer c.mu.Unlock()
		s.trimming = false
		if err != nil {
			c.logger.Info("trim failed", "err", err.Error())
			return
		}
		s.appended -= appended
		c.options.Metrics.Trims.Inc()
		c.logger.Info("topic trimmed", "appended", appended, "live", s.live, "end", end)
	})
}

// handleStoreFull records that the store has refused records because it is full, and trims the
// topic even if little was appended since the last trim. c.mu must be held.
func (c *Cell) handleStoreFull() {
	c.topic.fullAt = time.Now()
	c.trim()
}

// ownershipVerified records that no other node had claimed the cell at a local time. It is called
// while the store is full, so that leases are renewed although nothing can be written.
func (c *Cell) ownershipVerified(sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = sent
}

// acquire claims the topic of the cell. If the store is full it first trims the topic, since the
// previous owner may be unable to. Only the newest record of each key is needed.
func acquire(ctx context.Context, options Options, nonce string) (*claim.Claim, error) {
	topic := Topic(options.Service)
	acquired, err := claim.Acquire(ctx, options.Journal, topic, options.Node, nonce, options.Clock)
	if !errors.Is(err, store.ErrFull) || options.Trimmer == nil {
		return acquired, err
	}
	snapshot, readErr := options.Journal.Newest(ctx, topic)
	if readErr != nil {
		return nil, err
	}
	if err := options.Trimmer.Trim(ctx, topic, snapshot.Next); err != nil {
		return nil, err
	}
	return claim.Acquire(ctx, options.Journal, topic, options.Node, nonce, options.Clock)
}

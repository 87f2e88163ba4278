package fake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// storeLatency is the time that a call takes.
	storeLatency = 4 * time.Millisecond
	// storePartitions is the number of partitions of a topic.
	storePartitions = 32
	// dedupWindow is the number of an epoch's latest writes that are deduplicated.
	dedupWindow = 5
)

// errNoResponse is returned by a call that timed out.
var errNoResponse error = timeoutError{}

type timeoutError struct{}

func (timeoutError) Error() string { return "no response" }

// Timeout marks the error as a timeout, as those of package net are.
func (timeoutError) Timeout() bool { return true }

// Store is an in-memory fake of the platform's store: topics with conditional and
// fenced writes, and groups that assign partitions to their members.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	// failures holds failure modes by node name; allNodes applies to every node.
	failures map[string]FailureMode
	// responsesToLose is how many more writes of each node time out and take effect
	// after writeDelay.
	responsesToLose map[string]int
	writeDelay      time.Duration
	// extraLatency is added to storeLatency.
	extraLatency time.Duration
	limits       StoreLimits
	// trims counts the calls of Trim.
	trims    int
	appended core.Signal
}

// StoreLimits are the limits of the store in bytes; 0 means none.
type StoreLimits struct {
	// Record and Call limit a record and a write.
	Record int
	Call   int
	// Total limits what all topics hold.
	Total int
}

// FailureMode is the way in which the store fails calls. Of two modes that apply to
// a call, the higher one takes effect.
type FailureMode int

// The failure modes of the store.
const (
	// NoFailure means that calls succeed.
	NoFailure FailureMode = iota
	// Rejecting means that calls are refused without taking effect.
	Rejecting
	// Unresponsive means that calls time out without taking effect.
	Unresponsive
)

// allNodes is the key of Store.failures that applies to every node.
const allNodes = ""

type topic struct {
	// records holds the records at the offsets from first to end-1.
	records []store.Record
	first   int64
	end     int64
	// latest holds the newest record of each key.
	latest map[string]store.Record
	// epoch is the highest epoch of a writer, and nextSequence the sequence number of
	// its next write.
	epoch        int64
	nextSequence int64
	// endBySequence holds the end of the topic after each of the latest writes of the
	// epoch, by sequence number. A repeated write returns it.
	endBySequence map[int64]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		topics:          make(map[string]*topic),
		groups:          make(map[string]*group),
		failures:        make(map[string]FailureMode),
		responsesToLose: make(map[string]int),
	}
}

// SetFailure sets the failure mode of the calls of a node, or of all nodes if node is
// empty.
func (s *Store) SetFailure(node string, mode FailureMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[node] = mode
}

// LoseResponses makes the next writes of a node time out and take effect after the
// delay.
func (s *Store) LoseResponses(node string, writes int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose[node] = writes
	s.writeDelay = delay
}

// SetExtraLatency sets a time that is added to every call.
func (s *Store) SetExtraLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraLatency = latency
}

// SetLimits sets the limits of the store.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// Compact drops the history of all topics. Only the newest record of each key is
// left, which Newest returns; reads of older offsets fail with store.ErrExpired.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.trim(t.end)
	}
}

// Put writes a record without a writer, as the operator or a host does.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([]store.Record{{Key: key, Value: value}})
	s.appended.Notify()
}

// Value returns the newest value of a key, or nil.
func (s *Store) Value(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topicName).latest[key].Value
}

// Keys returns the keys of a topic that have a value.
func (s *Store) Keys(topicName string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.topic(topicName).latest))
}

func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{latest: make(map[string]store.Record), endBySequence: make(map[int64]int64)}
	}
	return s.topics[name]
}

func (t *topic) add(records []store.Record) int64 {
	for _, record := range records {
		record.Offset = t.end
		record.Value = slices.Clone(record.Value)
		t.records = append(t.records, record)
		t.end++
		if len(record.Value) == 0 {
			delete(t.latest, record.Key)
			continue
		}
		t.latest[record.Key] = record
	}
	return t.end
}

// trim drops the records before an offset. The newest of each key stays in latest.
func (t *topic) trim(before int64) {
	if before = min(before, t.end); before > t.first {
		t.records = slices.Clone(t.records[before-t.first:])
		t.first = before
	}
}

// bytes returns the size of what the topic holds.
func (t *topic) bytes() int {
	size := 0
	for _, record := range t.records {
		size += recordSize(record)
	}
	for _, record := range t.latest {
		if record.Offset < t.first {
			size += recordSize(record)
		}
	}
	return size
}

// recordOverhead is the size of a record's lengths in a write.
const recordOverhead = 5

func recordSize(record store.Record) int {
	return recordOverhead + len(record.Key) + len(record.Value)
}

// checkLimits returns the error of a write that the limits don't allow. s.mu must be held.
func (s *Store) checkLimits(write store.Write) error {
	total := 0
	for _, record := range write.Records {
		size := recordSize(record)
		if s.limits.Record > 0 && size > s.limits.Record {
			return store.ErrTooLarge
		}
		total += size
	}
	switch {
	case s.limits.Call > 0 && total > s.limits.Call:
		return store.ErrTooLarge
	case s.limits.Total > 0 && total > 0 && s.bytes() >= s.limits.Total:
		return store.ErrFull
	default:
		return nil
	}
}

func (s *Store) bytes() int {
	size := 0
	for _, t := range s.topics {
		size += t.bytes()
	}
	return size
}

// Bytes returns the size of what the store holds.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes()
}

// appendWithin applies a write unless the limits don't allow it. s.mu must be held.
func (s *Store) appendWithin(write store.Write) (int64, error) {
	if err := s.checkLimits(write); err != nil {
		return 0, err
	}
	return s.topic(write.Topic).append(write)
}

// append applies a write and returns the end of the topic after it. It checks the
// epoch, the sequence number and the expected end of a write that names its writer.
func (t *topic) append(write store.Write) (int64, error) {
	if write.Writer == "" {
		return t.add(write.Records), nil
	}
	switch {
	case write.Epoch < t.epoch:
		return 0, store.ErrFenced
	case write.Epoch == t.epoch && len(write.Records) > 0:
		if end, done := t.endBySequence[write.Sequence]; done {
			return end, nil
		}
		if write.Sequence != t.nextSequence {
			return 0, store.ErrOutOfSequence
		}
	}
	if write.ExpectedEnd != nil && *write.ExpectedEnd != t.end {
		return 0, store.ErrOffsetConflict
	}
	if write.Epoch > t.epoch {
		t.epoch = write.Epoch
		t.endBySequence = make(map[int64]int64)
		t.nextSequence = write.Sequence
	}
	if len(write.Records) == 0 {
		return t.end, nil
	}
	end := t.add(write.Records)
	t.endBySequence[write.Sequence] = end
	delete(t.endBySequence, write.Sequence-dedupWindow)
	t.nextSequence = write.Sequence + 1
	return end, nil
}

// StoreClient is one node's client of the store.
type StoreClient struct {
	store *Store
	node  string
}

// Client returns a node's client of the store.
func (s *Store) Client(node string) *StoreClient { return &StoreClient{store: s, node: node} }

// beginCall waits for the latency of a call and returns an error if the failure mode
// of the node requires one.
func (c *StoreClient) beginCall(ctx context.Context) error {
	c.store.mu.Lock()
	latency := storeLatency + c.store.extraLatency
	c.store.mu.Unlock()
	if err := core.Sleep(ctx, latency); err != nil {
		return err
	}
	c.store.mu.Lock()
	failure := max(c.store.failures[allNodes], c.store.failures[c.node])
	c.store.mu.Unlock()
	switch failure {
	case Rejecting:
		return store.ErrRefused
	case Unresponsive:
		return awaitTimeout(ctx)
	default:
		return nil
	}
}

// Append implements claim.Journal.
func (c *StoreClient) Append(ctx context.Context, write store.Write) (int64, error) {
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	if c.store.loseResponse(c.node, write) {
		return 0, awaitTimeout(ctx)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	defer c.store.appended.Notify()
	return c.store.appendWithin(write)
}

// Trim implements sched.Trimmer.
func (c *StoreClient) Trim(ctx context.Context, topicName string, before int64) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.trims++
	c.store.topic(topicName).trim(before)
	return nil
}

// Trims returns the number of calls of Trim.
func (s *Store) Trims() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trims
}

// loseResponse reports whether LoseResponses applies to a write, and if so schedules
// it.
func (s *Store) loseResponse(node string, write store.Write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToLose[node] == 0 {
		return false
	}
	s.responsesToLose[node]--
	After(s.writeDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		defer s.appended.Notify()
		_, _ = s.appendWithin(write)
	})
	return true
}

// Newest implements claim.Journal.
func (c *StoreClient) Newest(ctx context.Context, topicName string) (store.Snapshot, error) {
	if err := c.beginCall(ctx); err != nil {
		return store.Snapshot{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	t := c.store.topic(topicName)
	snapshot := store.Snapshot{Next: t.end}
	for _, key := range slices.Sorted(maps.Keys(t.latest)) {
		snapshot.Records = append(snapshot.Records, t.latest[key])
	}
	return snapshot, nil
}

// Read implements queue.Reader and pool.Reader.
func (c *StoreClient) Read(ctx context.Context, topicName string, from int64, wait time.Duration) (store.Batch, error) {
	if err := c.beginCall(ctx); err != nil {
		return store.Batch{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		c.store.mu.Lock()
		appended := c.store.appended.Changed()
		t := c.store.topic(topicName)
		if from < t.first {
			c.store.mu.Unlock()
			return store.Batch{}, store.ErrExpired
		}
		batch := store.Batch{Records: slices.Clone(t.records[from-t.first:]), Next: t.end, End: t.end}
		c.store.mu.Unlock()
		remaining := time.Until(deadline)
		if len(batch.Records) > 0 || remaining <= 0 {
			return batch, nil
		}
		select {
		case <-appended:
		case <-time.After(remaining):
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		}
	}
}

package fake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// storeLatency is the time of a call of the store.
	storeLatency = 4 * time.Millisecond
	// storePartitions is how many partitions a topic has.
	storePartitions = 32
	// recentWrites is how many writes of an epoch are told from new ones.
	recentWrites = 5
)

// errSilent is what a call without an answer looks like to its caller.
var errSilent = errors.New("no answer")

// Store is a stand-in for the platform's store.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	// down is how the store treats all nodes, or single ones by name.
	down map[string]Outage
	// lose is how many writes of a node are done and not answered.
	lose map[string]int
	// lateBy is when a write whose answer is lost is done.
	lateBy time.Duration
	// slowBy is how much longer each call takes.
	slowBy time.Duration
	grown  core.Signal
}

// Outage is a way in which the store fails a node.
type Outage int

// The ways in which the store fails.
const (
	// Serving means that it doesn't.
	Serving Outage = iota
	// Refusing means that it answers that it has done nothing.
	Refusing
	// Silent means that it does nothing and doesn't answer.
	Silent
)

// everyNode stands for all nodes in the table of outages.
const everyNode = ""

type topic struct {
	records []store.Record
	first   int64
	end     int64
	newest  map[string]store.Record
	epoch   int64
	next    int64
	recent  map[int64]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		topics: make(map[string]*topic),
		groups: make(map[string]*group),
		down:   make(map[string]Outage),
		lose:   make(map[string]int),
	}
}

// Fail makes the store fail one node, or all of them if node is empty.
func (s *Store) Fail(node string, outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[node] = outage
}

// LoseAnswers makes the next writes of a node be done, after a time, and not
// answered.
func (s *Store) LoseAnswers(node string, writes int, lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose[node] = writes
	s.lateBy = lateBy
}

// Slow makes every call take longer by a time.
func (s *Store) Slow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowBy = by
}

// Forget makes the store drop all records that are not the newest of their key.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.records = nil
		t.first = t.end
	}
}

// Put writes a record as the operator or a host does.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([]store.Record{{Key: key, Value: value}})
	s.grown.Notify()
}

// Value returns the newest record of a key.
func (s *Store) Value(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topicName).newest[key].Value
}

func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]store.Record), recent: make(map[int64]int64)}
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
			delete(t.newest, record.Key)
			continue
		}
		t.newest[record.Key] = record
	}
	return t.end
}

// append does one write.
func (t *topic) append(write store.Write) (int64, error) {
	if write.Writer == "" {
		return t.add(write.Records), nil
	}
	switch {
	case write.Epoch < t.epoch:
		return 0, store.ErrFenced
	case write.Epoch == t.epoch && len(write.Records) > 0:
		if end, done := t.recent[write.Sequence]; done {
			return end, nil
		}
		if write.Sequence != t.next {
			return 0, store.ErrOutOfSequence
		}
	}
	if write.ExpectedEnd != nil && *write.ExpectedEnd != t.end {
		return 0, store.ErrOffsetConflict
	}
	if write.Epoch > t.epoch {
		t.epoch = write.Epoch
		t.recent = make(map[int64]int64)
		t.next = write.Sequence
	}
	if len(write.Records) == 0 {
		return t.end, nil
	}
	end := t.add(write.Records)
	t.recent[write.Sequence] = end
	delete(t.recent, write.Sequence-recentWrites)
	t.next = write.Sequence + 1
	return end, nil
}

// Client is the store as one node reaches it.
type Client struct {
	store *Store
	node  string
}

// Client returns the store as a node reaches it.
func (s *Store) Client(node string) *Client { return &Client{store: s, node: node} }

// enter spends the time of a call and returns the error of an outage.
func (c *Client) enter(ctx context.Context) error {
	c.store.mu.Lock()
	latency := storeLatency + c.store.slowBy
	c.store.mu.Unlock()
	if err := core.Sleep(ctx, latency); err != nil {
		return err
	}
	c.store.mu.Lock()
	outage := max(c.store.down[everyNode], c.store.down[c.node])
	c.store.mu.Unlock()
	switch outage {
	case Refusing:
		return store.ErrRefused
	case Silent:
		return unanswered(ctx)
	default:
		return nil
	}
}

// Append implements claim.Journal.
func (c *Client) Append(ctx context.Context, write store.Write) (int64, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	if c.store.losesAnswer(c.node, write) {
		return 0, unanswered(ctx)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	defer c.store.grown.Notify()
	return c.store.topic(write.Topic).append(write)
}

// losesAnswer reports whether a write isn't answered; then it is done later.
func (s *Store) losesAnswer(node string, write store.Write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose[node] == 0 {
		return false
	}
	s.lose[node]--
	time.AfterFunc(s.lateBy, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		defer s.grown.Notify()
		_, _ = s.topic(write.Topic).append(write)
	})
	return true
}

// Newest implements claim.Journal.
func (c *Client) Newest(ctx context.Context, topicName string) (store.Snapshot, error) {
	if err := c.enter(ctx); err != nil {
		return store.Snapshot{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	t := c.store.topic(topicName)
	table := store.Snapshot{Next: t.end}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		table.Records = append(table.Records, t.newest[key])
	}
	return table, nil
}

// Read implements queue.Reader and pool.Reader.
func (c *Client) Read(ctx context.Context, topicName string, from int64, wait time.Duration) (store.Batch, error) {
	if err := c.enter(ctx); err != nil {
		return store.Batch{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		c.store.mu.Lock()
		grown := c.store.grown.Changed()
		t := c.store.topic(topicName)
		if from < t.first {
			c.store.mu.Unlock()
			return store.Batch{}, store.ErrExpired
		}
		chunk := store.Batch{Records: slices.Clone(t.records[from-t.first:]), Next: t.end}
		c.store.mu.Unlock()
		left := time.Until(deadline)
		if len(chunk.Records) > 0 || left <= 0 {
			return chunk, nil
		}
		select {
		case <-grown:
		case <-time.After(left):
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		}
	}
}

// group divides the partitions of a topic among its members.
type group struct {
	generation int64
	members    map[string]*member
	// holders are the holders of the partitions, and wanted who is to hold them.
	holders map[int]string
	wanted  map[int]string
}

type member struct {
	lapses time.Time
	knows  int64
}

func (s *Store) group(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: make(map[string]*member), holders: make(map[int]string), wanted: make(map[int]string)}
	}
	return s.groups[name]
}

// Join implements owner.Group.
func (c *Client) Join(ctx context.Context, membership store.Membership) (store.Assignment, error) {
	if err := c.enter(ctx); err != nil {
		return store.Assignment{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	g := c.store.group(membership.Group)
	g.lapse(time.Now())
	m := g.members[membership.Member]
	if m == nil {
		m = &member{}
		g.members[membership.Member] = m
		g.deal()
	}
	m.lapses = time.Now().Add(membership.TTL)
	m.knows = membership.Generation
	g.settle()
	share := store.Assignment{Generation: g.generation}
	for partition, holder := range g.holders {
		if holder == membership.Member && g.wanted[partition] == holder {
			share.Partitions = append(share.Partitions, partition)
		}
	}
	slices.Sort(share.Partitions)
	return share, nil
}

// Leave implements owner.Group.
func (c *Client) Leave(ctx context.Context, membership store.Membership) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	g := c.store.group(membership.Group)
	if g.members[membership.Member] != nil {
		delete(g.members, membership.Member)
		g.deal()
		g.settle()
	}
	return nil
}

// PartitionOwners implements owner.Group.
func (c *Client) PartitionOwners(ctx context.Context, name string) ([]store.PartitionOwner, error) {
	if err := c.enter(ctx); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	g := c.store.group(name)
	g.lapse(time.Now())
	var holdings []store.PartitionOwner
	for partition, holder := range g.holders {
		holdings = append(holdings, store.PartitionOwner{Partition: partition, Member: holder})
	}
	slices.SortFunc(holdings, func(a, b store.PartitionOwner) int { return a.Partition - b.Partition })
	return holdings, nil
}

// Deal makes the store deal all partitions of a group out anew at once, without
// asking their holders.
func (s *Store) Deal(name string, shift int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	for partition := range storePartitions {
		if len(names) > 0 {
			g.wanted[partition] = names[(partition+shift)%len(names)]
			g.holders[partition] = g.wanted[partition]
		}
	}
}

// lapse drops the members that have been silent for too long.
func (g *group) lapse(now time.Time) {
	for name, m := range g.members {
		if now.After(m.lapses) && !m.lapses.IsZero() {
			delete(g.members, name)
			g.deal()
		}
	}
	g.settle()
}

// deal decides who is to hold each partition.
func (g *group) deal() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	for partition := range storePartitions {
		delete(g.wanted, partition)
		if len(names) > 0 {
			g.wanted[partition] = names[partition%len(names)]
		}
	}
}

// settle gives partitions to those who are to hold them, once the holders before
// know.
func (g *group) settle() {
	for partition := range storePartitions {
		holder := g.holders[partition]
		m := g.members[holder]
		if holder == g.wanted[partition] || (m != nil && m.knows < g.generation) {
			continue
		}
		delete(g.holders, partition)
		if g.wanted[partition] != "" {
			g.holders[partition] = g.wanted[partition]
		}
	}
}

// itoa returns a number as text.

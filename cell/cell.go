package cell

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/store"
	"rattanpath/tasks"
)

// Times of a cell.
const (
	// ownershipTimeout is how long after its last confirmed write a cell that can't reach
	// the store goes on extending leases.
	ownershipTimeout = 4 * time.Second
	// maxCountAge is how long after its last confirmed write a cell vouches for
	// counts.
	maxCountAge = 5 * time.Second
	// maxWriteInterval is the longest time between two writes; an empty one confirms that
	// no other node has taken over.
	maxWriteInterval = time.Second
	// storeDownAfter is how long writes must have failed before new jobs are refused.
	storeDownAfter = 300 * time.Millisecond
	// leaseFraction is the part of the longest lease that is granted, up to maxLease.
	// A longer lease outlives a longer loss of its owner; a shorter one frees the
	// tasks of a lost host sooner.
	leaseFraction = 0.7
	maxLease      = 4500 * time.Millisecond
	// releaseTimeout bounds the last writes of a cell that is given up.
	releaseTimeout = 500 * time.Millisecond
	// tickInterval is the time between two looks at leases, due times and stops.
	tickInterval = 100 * time.Millisecond
	// takeoverMargin is added to the time after which nothing of an older owner can
	// be at work.
	takeoverMargin = 500 * time.Millisecond
	// retentionMargin is how long an ended job is kept beyond its promised time.
	retentionMargin = 60 * time.Second
)

// Errors of a cell.
var (
	// ErrNotOwner means that this node doesn't have the cell.
	ErrNotOwner = errors.New("this node does not have the cell of the service")
	// ErrStoreUnavailable means that nothing new can be kept, and nothing was done.
	ErrStoreUnavailable = errors.New("the store can't be reached")
	// ErrUncertain means that the change may have been kept, or may be yet.
	ErrUncertain = errors.New("the store did not confirm the change in time")
	// ErrUnknownJob means that there is no such job.
	ErrUnknownJob = errors.New("no such job")
	// ErrIDConflict means that another queue of the service has a job of that ID.
	ErrIDConflict = errors.New("another queue of the service has a job of that ID")
)

// Options say what a cell is for and what it works with.
type Options struct {
	Service string
	Node    string
	Journal claim.Journal
	Hosts   lease.Hosts
	// Advisor may be nil if no queue has one.
	Advisor Advisor
	Clock   core.Clock
	// MaxLease is the longest lease that a host grants.
	MaxLease time.Duration
	// KeepEnded is how long an ended job must be known.
	KeepEnded time.Duration
	// BatchBytes bounds the records of one write.
	BatchBytes int
	Logger     logr.Logger
	Metrics    *Metrics
}

// jobEntry is a job and what is known of its records.
type jobEntry struct {
	job *tasks.Job
	// definitionWritten means that a write that is confirmed or under way has the definition.
	definitionWritten bool
	// persisted means that the store has confirmed the definition.
	persisted bool
	// dirty means that the job has changed since the last write began. Then are
	// the calls for when the next write is confirmed.
	dirty       bool
	onPersisted []func()
	// persistedPhase is the phase in the store: what callers may be told.
	persistedPhase tasks.Phase
	// retryAfter is when a job whose tasks were refused is tried again.
	retryAfter time.Time
	// advice is what the advisor has said of the job's steps.
	advice map[stepKey]*stepAdvice
}

// Cell decides for one service.
type Cell struct {
	options Options
	logger  logr.Logger
	epoch   int64
	claim   *claim.Claim
	writer  *claim.Writer

	mu        sync.Mutex
	jobs      map[tasks.Key]*jobEntry
	byID      map[string]*jobEntry
	open      map[*jobEntry]bool
	dirtyJobs []*jobEntry
	// onAllPersisted are the calls for when all that has changed is written.
	onAllPersisted []func()
	hosts          map[string]*host
	// claimedAt and confirmed are when the cell was claimed and when the last write
	// that the store has confirmed was sent.
	claimedAt   time.Duration
	confirmedAt time.Duration
	// confirmRequestedAt is the last moment after which a confirmation is asked for.
	confirmRequestedAt time.Duration
	// failingSince is since when writes fail; zero if they don't.
	failingSince time.Time
	stopped      bool
	// submittedCPU is the processor time that jobs have asked for, by how long tasks of
	// their queue take.
	submittedCPU int64
	// lastUnansweredAt is when a host last left a call unanswered; zero if none did.
	lastUnansweredAt time.Duration
	// meanRunTimes are how long tasks of each queue have taken of late; none for a queue
	// of which none has ended. Callers' guesses are too rough to count on.
	meanRunTimes map[string]time.Duration
	// advisorCalls counts the questions to the advisor that are under way.
	advisorCalls int

	writeWake    chan struct{}
	scheduleWake chan struct{}
	// unexpiredLeases are the times for which leases of hosts may hold that the last owner
	// didn't reach.
	unexpiredLeases map[string]time.Duration
	releasing       chan struct{}
	lost            chan struct{}
	lostOnce        sync.Once
	ctx             context.Context
	wg              sync.WaitGroup
}

// Topic returns the topic of a service's cell.
func Topic(service string) string { return "cell." + service }

func newCell(options Options) *Cell {
	return &Cell{
		options:      options,
		logger:       options.Logger.WithName("cell").WithValues("service", options.Service),
		jobs:         make(map[tasks.Key]*jobEntry),
		byID:         make(map[string]*jobEntry),
		open:         make(map[*jobEntry]bool),
		hosts:        make(map[string]*host),
		meanRunTimes: make(map[string]time.Duration),
		writeWake:    make(chan struct{}, 1),
		scheduleWake: make(chan struct{}, 1),
		releasing:    make(chan struct{}),
		lost:         make(chan struct{}),
	}
}

// Epoch returns the epoch in which this node has the cell.
func (c *Cell) Epoch() int64 { return c.epoch }

// Run decides until ctx ends or the cell is lost to another node.
func (c *Cell) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.ctx = ctx
	c.mu.Lock()
	for _, h := range c.hosts {
		c.startHost(h)
	}
	c.mu.Unlock()
	writes, stopWrites := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWrites()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.loopWrites(writes)
	}()
	c.wg.Go(func() { c.loopSchedule(ctx) })
	c.wg.Go(func() { c.loopTimers(ctx) })
	select {
	case <-ctx.Done():
	case <-c.lost:
	}
	cancel()
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.wg.Wait()
	c.release(written, stopWrites)
}

// release keeps what has changed and says in the store that this node decides no
// more, as far as the store takes it in time.
func (c *Cell) release(written <-chan struct{}, stopWrites context.CancelFunc) {
	timer := time.AfterFunc(releaseTimeout, stopWrites)
	defer timer.Stop()
	close(c.releasing)
	wake(c.writeWake)
	<-written
	if c.isLost() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	records, err := c.releaseRecords()
	if err == nil {
		_, err = c.writer.Write(ctx, records)
	}
	c.logger.Info("cell released", "epoch", c.epoch, "recorded", err == nil)
}

// releaseRecords returns what the next owner must know.
func (c *Cell) releaseRecords() ([]store.Record, error) {
	doubts, err := c.encodeLeases()
	if err != nil {
		return nil, err
	}
	released, err := c.claim.Release()
	return []store.Record{doubts, released}, err
}

// Lost returns a channel that is closed when another node has the cell.
func (c *Cell) Lost() <-chan struct{} { return c.lost }

// markLost gives the cell up.
func (c *Cell) markLost(why string) {
	c.lostOnce.Do(func() {
		c.logger.Info("cell lost", "epoch", c.epoch, "why", why)
		c.options.Metrics.Losses.Inc()
		close(c.lost)
	})
}

// isLost reports whether another node has the cell.
func (c *Cell) isLost() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}

// spawn runs a call in the background for as long as the cell runs. It must be
// called with the lock held.
func (c *Cell) spawn(run func(context.Context)) {
	if c.stopped || c.ctx == nil {
		return
	}
	c.wg.Go(func() { run(c.ctx) })
}

// loopTimers looks at what only time changes.
func (c *Cell) loopTimers(ctx context.Context) {
	for core.Sleep(ctx, tickInterval) == nil {
		c.mu.Lock()
		c.expireLeases()
		c.evictHosts(time.Now())
		c.removeEnded(time.Now())
		c.mu.Unlock()
		wake(c.scheduleWake)
	}
}

// wake wakes the loop that waits on a channel.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// SetHosts takes in which hosts the pool has.
func (c *Cell) SetHosts(view pool.View) {
	if view.At.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, info := range view.Hosts {
		if info.Service == c.options.Service {
			c.updateHost(id, info)
		}
	}
	for id, h := range c.hosts {
		info := view.Hosts[id]
		h.inPool = info != nil && info.Service == c.options.Service
	}
	wake(c.scheduleWake)
}

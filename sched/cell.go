package sched

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/claim"
	"rattanpath/coloc"
	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/speed"
	"rattanpath/store"
	"rattanpath/tasks"
)

// Timing and retention of a cell.
const (
	// ownershipTimeout is how long after its last confirmed write a cell that
	// can't reach the store goes on renewing leases and starting runs.
	ownershipTimeout = 4 * time.Second
	// maxCountAge is how long after its last confirmed write a cell serves
	// Pending.
	maxCountAge = 5 * time.Second
	// maxWriteInterval is the longest time between two writes. An empty write
	// confirms that no other node has taken over.
	maxWriteInterval = time.Second
	// storeDownAfter is how long writes must have failed before new jobs are
	// rejected.
	storeDownAfter = 300 * time.Millisecond
	// leaseFraction is the fraction of the longest lease that is granted, up to
	// maxLease. A longer lease survives a longer outage of the owner; a shorter
	// one frees the tasks of a lost host sooner.
	leaseFraction = 0.7
	maxLease      = 4500 * time.Millisecond
	// releaseTimeout bounds the last writes of a cell that stops.
	releaseTimeout = 500 * time.Millisecond
	// tickInterval is the time between two checks of leases, due times, cordons
	// and ended jobs.
	tickInterval = 100 * time.Millisecond
	// takeoverMargin is added to the time after which no run of a previous owner
	// can still be active.
	takeoverMargin = 500 * time.Millisecond
	// retentionMargin is how long an ended job is kept beyond
	// Options.JobRetention.
	retentionMargin = 60 * time.Second
)

// Errors returned by a cell.
var (
	// ErrNotOwner means that this node doesn't own the cell.
	ErrNotOwner = errors.New("this node does not own the cell of the service")
	// ErrStoreUnavailable means that the store doesn't accept writes; nothing was
	// changed.
	ErrStoreUnavailable = errors.New("the store can't be reached")
	// ErrOverloaded means that the job would be started too late; nothing was changed.
	ErrOverloaded = errors.New("too many tasks wait to be started")
	// ErrTooLarge means that the store doesn't take the records of the job; nothing was
	// changed.
	ErrTooLarge = errors.New("the job is too large to be stored")
	// ErrUncertain means that the change may or may not be persisted, now or
	// later.
	ErrUncertain = errors.New("the store did not confirm the change in time")
	// ErrUnknownJob means that the job does not exist.
	ErrUnknownJob = errors.New("no such job")
	// ErrIDConflict means that another queue of the service has a job with the
	// same ID.
	ErrIDConflict = errors.New("another queue of the service has a job with that ID")
	// ErrReassigned means that the node's newer configuration assigns the queue to another
	// service; nothing was changed.
	ErrReassigned = errors.New("the queue was assigned to another service")
	// ErrForbidden means that the job belongs to another organisation than the caller;
	// nothing was changed.
	ErrForbidden = errors.New("the job belongs to another organisation")
)

// Options configures a Cell.
type Options struct {
	Service    string
	Node       string
	Journal    claim.Journal
	HostClient lease.HostClient
	// Advisor may be nil if no queue of the service uses one.
	Advisor Advisor
	Clock   core.Clock
	// Config, if not nil, returns the node's active configuration, or nil if it has none.
	Config func() *queue.Config
	// MaxLease is the longest lease that a host grants.
	MaxLease time.Duration
	// MaxRecordAge is how old the record of a host may be when a start command reaches
	// it: it may have shrunk since. 0 means that there is no limit.
	MaxRecordAge time.Duration
	// JudgeHosts makes the cell place tasks by the observed speed of hosts.
	JudgeHosts bool
	// JobRetention is how long the state of an ended job can be queried.
	JobRetention time.Duration
	// BatchBytes limits the size of one write.
	BatchBytes int
	// RecordBytes is the largest record that the store takes, 0 if unknown.
	RecordBytes int
	// TopicBytes limits the newest records of the cell when a job is submitted, see
	// TopicShare; 0 stands for the share of a single service.
	TopicBytes int
	// Trimmer may be nil; the topic is then never trimmed.
	Trimmer Trimmer
	// Link limits what all cells of the node send.
	Link    *Link
	Logger  logr.Logger
	Metrics *Metrics
}

// jobEntry is a job and the state of its records in the store.
type jobEntry struct {
	job *tasks.Job
	// definitionWritten is set once the definition is part of a write, confirmed
	// or in flight.
	definitionWritten bool
	// stored is what the store holds of the job's progress.
	stored tasks.StoredProgress
	// persisted is set once the store has confirmed the definition.
	persisted bool
	// rejected is set if the store has rejected the records of a new job. heldUntil is when
	// those of an accepted one are tried again after a rejection, and held is set until they
	// have been stored.
	rejected  bool
	held      bool
	heldUntil time.Time
	// dirty is set if the job has changed since the last write began. onPersisted
	// is called once the next write is confirmed.
	dirty       bool
	onPersisted []func()
	// persistedPhase is the phase in the store, which is the one that callers see.
	persistedPhase tasks.Phase
	// retryAfter is the earliest time for the next attempt after a host refused a
	// task.
	retryAfter time.Time
	// longestRuns holds the longest run time so far of each step with a task done.
	longestRuns map[stepKey]time.Duration
	// withdrawn is closed if the job is withdrawn before it is part of a write, and
	// submittedCPU is what it adds to that of the cell. Both are set for submitted jobs only.
	withdrawn    chan struct{}
	submittedCPU int64
	// paces holds the pace that runs of each step have shown, and stalls how many runs of
	// a task were stopped as stalled.
	paces  map[int]stepPace
	stalls map[tasks.ID]int
	// presumedCrashes are the runs that count as crashed because their host fell silent.
	presumedCrashes map[runKey]bool
	// gaps holds the gaps of the serving tasks that have had a run and have none.
	gaps map[tasks.ID]*gap
	// overdue holds the runs of serving tasks that were logged as not confirmed.
	overdue map[tasks.ID]overdueRun
	// unstarted is the number of tasks that were never started.
	unstarted int
	// lastEnd is when the last run ended or was given up, zero if none was.
	lastEnd time.Time
	// advice holds the advisor's decisions by step.
	advice map[stepKey]*stepAdvice
}

// Cell schedules the jobs of one service.
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
	// orphanKeys are the keys of parts whose job no longer exists, to be deleted.
	orphanKeys []string
	topic      topicSize
	// heldJobs are the accepted jobs whose records the store has rejected.
	heldJobs map[*jobEntry]bool
	// onAllPersisted is called once all changes so far are persisted.
	onAllPersisted []func()
	hosts          map[string]*host
	// forgotten holds the hosts that were deleted from hosts a short time ago, by ID.
	forgotten map[string]forgottenHost
	// machines holds the machines of the hosts, by address.
	machines map[string]*machine
	// claimedAt is when the cell was claimed, and confirmedAt when the last write
	// that the store has confirmed was sent.
	claimedAt   time.Duration
	confirmedAt time.Duration
	// confirmRequestedAt is when ConfirmOwnership was last called; a write sent
	// after that must be confirmed.
	confirmRequestedAt time.Duration
	// failingSince is when writes began to fail; zero if the last one succeeded.
	failingSince time.Time
	// recoveringUntil is until when, after an outage of the store, work that was started
	// goes before other work.
	recoveringUntil time.Time
	stopped         bool
	// plannedBytes is the size of the start commands of assigned runs that have not
	// been sent, and backlogBytes that of all tasks that were never started.
	plannedBytes int
	backlogBytes int
	// backlogByOrganisation is the part of backlogBytes of each organisation.
	backlogByOrganisation map[string]int
	// startQueueFullAt is when assignment last waited for planned start commands; zero
	// if it never did.
	startQueueFullAt time.Duration
	// submittedCPU is the CPU time requested by submitted jobs in
	// millicore-milliseconds, estimated from the mean run time of their queue.
	submittedCPU int64
	// lastLostReplyAt is when a call that may have reached a host last timed out
	// or failed; zero if none did.
	lastLostReplyAt time.Duration
	// meanRunTimes is the moving average of run times by queue. Queues in which no
	// run has finished are missing: callers' estimates are too rough to be used
	// instead.
	meanRunTimes map[string]time.Duration
	interference interference
	// kindTimes is the moving average of run times by kind.
	kindTimes map[runKind]time.Duration
	// stepRatios is the moving average, by queue, of the longest run time of a step's
	// tasks relative to the estimate.
	stepRatios map[string]float64
	// speeds holds the speeds of the hosts, which were last assessed at assessedAt, in
	// assessTime.
	speeds     *speed.Estimator
	assessedAt time.Time
	assessTime time.Duration
	// advisorCalls is the number of calls to the advisor in flight.
	advisorCalls int
	activity     activity
	replyTime    replyTime
	quotas       quotas
	moved        movedQueues
	// Local times of what isn't done at each tick: evictedAt is when hosts were last searched for
	// the serving tasks of cordoned hosts, unplacedAt when unplaced was last counted,
	// waitsLoggedAt when serving tasks that wait for a host were last logged, overdueAt
	// when runs of serving tasks were last searched for ones that aren't confirmed, and reachAt
	// when the hosts that answer were last counted.
	evictedAt     time.Duration
	unplacedAt    time.Duration
	unplaced      int
	waitsLoggedAt time.Duration
	overdueAt     time.Duration
	reachAt       time.Duration
	// removedAt is when ended jobs were last searched for ones to be deleted.
	removedAt time.Time
	// lowReachSince is the local time since which fewer than half of the hosts answer, 0 if
	// more do.
	lowReachSince time.Duration
	// startRepliedAt is when a host last replied to a start command.
	startRepliedAt time.Duration

	writeWake    chan struct{}
	scheduleWake chan struct{}
	// unexpiredLeases is, for each host that the previous owner couldn't reach,
	// how long after claimedAt its leases may still be valid.
	unexpiredLeases map[string]time.Duration
	releasing       chan struct{}
	lost            chan struct{}
	lostOnce        sync.Once
	ctx             context.Context
	wg              sync.WaitGroup
}

// Topic returns the store topic of a service's cell.
func Topic(service string) string { return "cell." + service }

func newCell(options Options) *Cell {
	return &Cell{
		options:      options,
		logger:       options.Logger.WithName("cell").WithValues("service", options.Service),
		jobs:         make(map[tasks.Key]*jobEntry),
		byID:         make(map[string]*jobEntry),
		open:         make(map[*jobEntry]bool),
		hosts:        make(map[string]*host),
		forgotten:    make(map[string]forgottenHost),
		machines:     make(map[string]*machine),
		heldJobs:     make(map[*jobEntry]bool),
		meanRunTimes: make(map[string]time.Duration),
		stepRatios:   make(map[string]float64),
		interference: interference{estimator: coloc.NewEstimator()},
		kindTimes:    make(map[runKind]time.Duration),
		speeds:       speed.New(),
		moved:        newMovedQueues(),
		quotas:       quotas{service: options.Service},
		writeWake:    make(chan struct{}, 1),
		scheduleWake: make(chan struct{}, 1),
		releasing:    make(chan struct{}),
		lost:         make(chan struct{}),
	}
}

// Epoch returns the epoch in which this node claimed the cell.
func (c *Cell) Epoch() int64 { return c.epoch }

// Run schedules jobs until ctx ends or another node takes the cell over.
func (c *Cell) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.ctx = ctx
	for _, h := range c.hosts {
		c.startHostLoop(h)
	}
	c.mu.Unlock()
	writeCtx, stopWrites := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWrites()
	// A claim that took long is confirmed at once.
	wake(c.writeWake)
	writesDone := make(chan struct{})
	go func() {
		defer close(writesDone)
		c.loopWrites(writeCtx)
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
	c.options.Metrics.setSlowHosts(c.options.Service, 0)
	c.options.Metrics.setOverdueRuns(c.options.Service, 0)
	c.release(writesDone, stopWrites)
}

// release persists the remaining changes and marks the claim as released in the
// store, if the store confirms these writes within releaseTimeout.
func (c *Cell) release(writesDone <-chan struct{}, stopWrites context.CancelFunc) {
	timer := time.AfterFunc(releaseTimeout, stopWrites)
	defer timer.Stop()
	close(c.releasing)
	wake(c.writeWake)
	<-writesDone
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

// releaseRecords returns the final records for the next owner.
func (c *Cell) releaseRecords() ([]store.Record, error) {
	leases, err := c.encodeLeases()
	if err != nil {
		return nil, err
	}
	released, err := c.claim.ReleaseRecord()
	return []store.Record{leases, released}, err
}

// Lost returns a channel that is closed when another node has taken the cell
// over.
func (c *Cell) Lost() <-chan struct{} { return c.lost }

// markLost closes the lost channel, which ends Run.
func (c *Cell) markLost(reason string) {
	c.lostOnce.Do(func() {
		c.logger.Info("cell lost", "epoch", c.epoch, "why", reason)
		c.options.Metrics.Losses.Inc()
		close(c.lost)
	})
}

// isLost reports whether another node has taken the cell over.
func (c *Cell) isLost() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}

// spawn runs a function in the background until the cell stops. c.mu must be
// held.
func (c *Cell) spawn(run func(context.Context)) {
	if c.stopped || c.ctx == nil {
		return
	}
	c.wg.Go(func() { run(c.ctx) })
}

// loopTimers runs the periodic checks.
func (c *Cell) loopTimers(ctx context.Context) {
	sleptAt := c.options.Clock()
	for core.Sleep(ctx, tickInterval) == nil {
		c.mu.Lock()
		c.activity.recordTimerLag(c.options.Clock()-sleptAt, tickInterval)
		c.expireLeases()
		c.expireForgotten()
		c.expireMachines()
		c.updateEvidence(c.options.Clock())
		c.evictHosts(time.Now())
		c.removeEnded(time.Now())
		c.retryHeld(time.Now())
		c.logWaits(time.Now())
		c.logOverdue()
		c.logReach()
		c.assessSpeeds(time.Now())
		c.logActivity()
		c.mu.Unlock()
		wake(c.scheduleWake)
		sleptAt = c.options.Clock()
	}
}

// wake wakes the loop that receives from a channel.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// SetHosts updates the hosts of the pool.
func (c *Cell) SetHosts(view pool.View) {
	if view.ReadAt.IsZero() {
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
		listed := info != nil && info.Service == c.options.Service
		if h.inPool && !listed {
			c.logUnlisted(h)
		}
		h.inPool = listed
	}
	wake(c.scheduleWake)
}

package infra

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"rattanpath/alloc"
	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/store"
)

const (
	// topic stores the records of the controller.
	topic = "depot"
	// reconcileInterval is the time between two calls of reconcile.
	reconcileInterval = 250 * time.Millisecond
	// leadershipValidity is how long after a successful write the leader may
	// send orders.
	leadershipValidity = 750 * time.Millisecond
	// confirmInterval is the time between two checks that this node still
	// leads.
	confirmInterval = 250 * time.Millisecond
	// writeTimeout bounds a write to the store.
	writeTimeout = time.Second
	// orderTimeout bounds the call that sends an order to the cloud. It is part of
	// the time that a new leader waits before it sends an order for the same
	// machine.
	orderTimeout = 500 * time.Millisecond
	// cordonDuration is how long a host stays cordoned after the last request.
	// If an order got no response but was accepted, the machine has left its
	// pool by then.
	cordonDuration = 4 * time.Second
	// cellCallTimeout bounds a call to the owner of a cell.
	cellCallTimeout = 400 * time.Millisecond
	// refusalDelay is how long a machine in standby that the cloud has refused to move isn't
	// planned to move, so that others are.
	refusalDelay = 5 * time.Second
	// listInterval is the time between two listings of the machines.
	listInterval = 500 * time.Millisecond
)

// CellClient calls the owners of cells, which may run on any node.
type CellClient interface {
	Report(ctx context.Context, service string) (sched.Report, error)
	Cordon(ctx context.Context, service string, hosts []string, duration time.Duration, evict bool) ([]sched.HostReport, error)
	// Retire reports that the machines of hosts have left the pool.
	Retire(ctx context.Context, service string, hosts []sched.RetiredHost) error
	// Allot replaces what the leader lends to the cell of a service.
	Allot(ctx context.Context, service string, allotment sched.Allotment) error
}

// LeaderClient calls previous leaders.
type LeaderClient interface {
	// Resign makes the node at an address stop sending orders as the leader of
	// any epoch before the given one. It returns the time since the last order
	// for each machine.
	Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error)
}

// ConfigSource returns the active configuration, or nil if there is none, and
// the maintenance waves by number.
type ConfigSource interface {
	Config() *queue.Config
	Waves() map[int64]*queue.Wave
}

// Options configures a Controller.
type Options struct {
	Node string
	// Address is where this node serves calls from other nodes.
	Address  string
	Cloud    Cloud
	Cells    CellClient
	Leaders  LeaderClient
	Operator ConfigSource
	Journal  claim.Journal
	Clock    core.Clock
	// IsLeader reports whether the controller is assigned to this node.
	IsLeader func() bool
	// WaveStatus returns the record that reports the status of a wave to the
	// operator. It is written to StatusTopic.
	WaveStatus  func(number int64, completed bool) (key string, value []byte, err error)
	StatusTopic string
	// OrdersPerSecond is the number of orders that the cloud accepts, 0 if unknown.
	OrdersPerSecond float64
	// MachineLease is how long after an order for a machine no other leader may
	// send orders for it.
	MachineLease        time.Duration
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
	// MaxLease is the longest lease that a host grants to an owner.
	MaxLease time.Duration
	Logger   logr.Logger
	Metrics  *metrics.Set
}

// Controller assigns machines to pools and schedules their maintenance while
// this node is the leader.
type Controller struct {
	options Options
	logger  logr.Logger
	term    *term

	mu sync.Mutex
	// leaderEpoch is the last epoch in which this node was the leader. resigned
	// is set once a newer leader has made it resign.
	leaderEpoch int64
	resigned    bool
	// inFlight counts the orders that await a response, and orderDone signals
	// the end of one. lastOrdered is, for each machine, the latest time at
	// which the cloud can have accepted its last order.
	inFlight    int
	orderDone   core.Signal
	lastOrdered map[string]time.Duration
}

// New returns a Controller, which is started by Run.
func New(options Options) *Controller {
	return &Controller{options: options, logger: options.Logger.WithName("depot")}
}

// term is the state of this node's current term as the leader.
type term struct {
	*Controller
	claim        *claim.Claim
	writer       *claim.Writer
	statusWriter *claim.Writer
	confirmedAt  time.Duration
	// intents are the recent orders by machine. If the previous leader's intents
	// could not be decoded, no order is sent before holdAllUntil.
	intents      intents
	holdAllUntil time.Duration
	waves        map[int64]*wave
	machines     []Machine
	listedAt     time.Duration
	// unknown is the number of machines in an unknown state that was last logged.
	unknown    int
	pools      map[string]*poolState
	operations map[string]*operation
	// listed holds, by machine, the hosts that the cloud lists.
	listed map[string]listedHost
	// refusedAt is when the cloud last refused to move a machine, by machine.
	refusedAt map[string]time.Duration
	// departed holds, by service, the hosts that have left the pool a short time ago.
	departed map[string][]*departedHost
	absent   absentHosts
	lender   lender
	// planned is the input of the last plan of moves, and shortages holds the pools that
	// lacked hosts after it.
	planned   []alloc.Pool
	shortages map[string]*shortage
}

// operation is an order that a machine is carrying out.
type operation struct {
	kind      operationKind
	startedAt time.Duration
	// toPool is the destination of a move.
	toPool string
	// leaving is the host that the accepted order takes out of fromPool, or zero once
	// the owner of the pool has been told.
	leaving  sched.RetiredHost
	fromPool string
}

type operationKind int

const (
	moveOperation operationKind = iota
	maintenanceOperation
)

// Run runs the controller until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	for core.Sleep(ctx, reconcileInterval) == nil {
		switch {
		case !c.options.IsLeader():
			c.stepDown(ctx)
		case c.term == nil:
			c.acquire(ctx)
		default:
			c.term.reconcile(ctx)
		}
	}
	c.stepDown(context.WithoutCancel(ctx))
}

// stepDown ends the term and records for the next leader that this one sends no
// more orders.
func (c *Controller) stepDown(ctx context.Context) {
	t := c.term
	if t == nil {
		return
	}
	c.term = nil
	record, err := t.claim.ReleaseRecord()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		_, err = t.writer.Write(ctx, []store.Record{record})
	}
	c.logger.Info("machine controller stepped down", "epoch", t.claim.Epoch, "recorded", err == nil)
}

// acquire claims the leadership and starts a term.
func (c *Controller) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	acquired, err := claim.Acquire(ctx, c.options.Journal, topic, c.options.Node, uuid.NewString(), c.options.Clock)
	if err != nil {
		c.logger.Info("failed to claim the machine controller leadership", "err", err.Error())
		return
	}
	now := c.options.Clock()
	t := &term{
		Controller:   c,
		claim:        acquired,
		writer:       acquired.NewWriter(c.options.Journal, topic, c.options.Clock),
		statusWriter: acquired.NewSecondaryWriter(c.options.Journal, c.options.StatusTopic, c.options.Clock),
		confirmedAt:  acquired.SentAt,
		intents:      intents{Machines: make(map[string]*intent)},
		waves:        make(map[int64]*wave),
		pools:        make(map[string]*poolState),
		operations:   make(map[string]*operation),
		departed:     make(map[string][]*departedHost),
		absent:       absentHosts{since: make(map[sched.RetiredHost]time.Duration)},
		refusedAt:    make(map[string]time.Duration),
	}
	c.beginTerm(acquired.Epoch)
	t.loadRecords(acquired.Records)
	t.adoptIntents(ctx)
	c.term = t
	c.logger.Info("machine controller leadership claimed", "epoch", acquired.Epoch, "before", acquired.PreviousNode, "released", acquired.PreviousReleased, "intents", len(t.intents.Machines), "took", c.options.Clock()-now)
}

// beginTerm records that this node is the leader of an epoch.
func (c *Controller) beginTerm(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderEpoch, c.resigned = epoch, false
	c.lastOrdered = make(map[string]time.Duration)
}

// loseLeadership ends the term because another node is the leader.
func (t *term) loseLeadership(reason string) {
	t.logger.Info("machine controller leadership lost", "epoch", t.claim.Epoch, "why", reason)
	t.Controller.term = nil
}

// loadRecords restores the state that previous leaders stored.
func (t *term) loadRecords(records []store.Record) {
	for _, record := range records {
		if record.Key == intentKey {
			t.loadIntents(record.Value)
			continue
		}
		suffix, isWave := strings.CutPrefix(record.Key, waveKeyPrefix)
		number, err := strconv.ParseInt(suffix, 10, 64)
		if !isWave || err != nil {
			continue
		}
		w := &wave{}
		if err := json.Unmarshal(record.Value, &w.waveRecord); err != nil {
			t.logger.Error(err, "failed to decode the record of a maintenance wave; restarting the wave", "wave", number)
			continue
		}
		t.waves[number] = w
	}
}

// reconcile refreshes the state of the fleet and sends the resulting orders.
func (t *term) reconcile(ctx context.Context) {
	if !t.confirmLeadership(ctx) {
		return
	}
	config := t.options.Operator.Config()
	if config == nil {
		return
	}
	if !t.refreshMachines(ctx) {
		t.lendWithoutMachines(ctx, config)
		return
	}
	t.retireDeparted(ctx)
	t.refreshReports(ctx, config)
	t.lendQuotas(ctx, config)
	t.expireOperations()
	if !t.canOrder() {
		return
	}
	t.dispatch(ctx, append(t.advanceWaves(ctx), t.planMoves(config)...))
	t.logShortages()
}

// canOrder reports whether no other leader can be sending orders.
func (t *term) canOrder() bool {
	return !t.hasResigned() && t.options.Clock()-t.confirmedAt < leadershipValidity
}

// confirmLeadership checks every confirmInterval, by an empty write, that no
// other node has claimed the leadership.
func (t *term) confirmLeadership(ctx context.Context) bool {
	if t.options.Clock()-t.confirmedAt < confirmInterval {
		return true
	}
	return t.writeRecords(ctx, nil)
}

// writeRecords stores records and reports whether that succeeded. A successful
// write confirms the leadership.
func (t *term) writeRecords(ctx context.Context, records []store.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sentAt, err := t.writer.Write(ctx, records)
	switch {
	case err == nil:
		t.confirmedAt = sentAt
		return true
	case claim.EndsClaim(err):
		t.loseLeadership(err.Error())
	default:
		t.logger.Info("failed to write the machine controller's records", "err", err.Error())
	}
	return false
}

// logUnknown logs how many machines are in an unknown state, if that has changed.
func (t *term) logUnknown(machines []Machine) {
	unknown, first := 0, ""
	for _, m := range machines {
		if m.State != Unknown {
			continue
		}
		if unknown++; unknown == 1 {
			first = m.Name
		}
	}
	if unknown != t.unknown {
		t.unknown = unknown
		t.logger.Info("machines in unknown state", "count", unknown, "machine", first)
	}
}

// refreshMachines lists the machines if the last listing is older than
// listInterval, and reports whether the list is current.
func (t *term) refreshMachines(ctx context.Context) bool {
	now := t.options.Clock()
	if t.machines != nil && now-t.listedAt < listInterval {
		return true
	}
	machines, err := t.options.Cloud.Machines(ctx)
	if err != nil {
		t.logger.Info("failed to list machines", "err", err.Error())
		return false
	}
	sortByName(machines)
	t.logUnknown(machines)
	t.machines, t.listedAt = machines, now
	return true
}

package depot

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

	"rattanpath/cell"
	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/queue"
	"rattanpath/store"
)

const (
	// topic keeps the records of the depot.
	topic = "depot"
	// reconcileInterval is the time between two rounds of decisions.
	reconcileInterval = 250 * time.Millisecond
	// leadershipValidity is how long after a confirmed write orders are given.
	leadershipValidity = 750 * time.Millisecond
	// confirmInterval is the time between two confirmations.
	confirmInterval = 250 * time.Millisecond
	// writeTimeout bounds a write.
	writeTimeout = time.Second
	// orderTimeout bounds an order; it is part of the time that a new holder waits.
	orderTimeout = 500 * time.Millisecond
	// cordonDuration is how long a host stays cordoned after the last wish. A host
	// whose machine was ordered away without an answer is as good as gone by then.
	cordonDuration = 4 * time.Second
	// cellCallTimeout bounds a call of a cell's owner.
	cellCallTimeout = 400 * time.Millisecond
	// listInterval is the time between two lists of machines.
	listInterval = 500 * time.Millisecond
)

// CellClient asks the owners of cells, whichever nodes they are.
type CellClient interface {
	Report(ctx context.Context, service string) (cell.Report, error)
	Cordon(ctx context.Context, service string, hosts []string, length time.Duration, vacate bool) ([]cell.HostReport, error)
	// Retire says that the machines of hosts are out of the pool.
	Retire(ctx context.Context, service string, hosts []string) error
}

// LeaderClient asks other nodes that had the depot.
type LeaderClient interface {
	// Resign makes the node at an address give no more orders as a holder before an
	// epoch. It returns how long ago each machine was last ordered.
	Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error)
}

// ConfigSource returns what the operator has written.
type ConfigSource interface {
	Config() *queue.Config
	Waves() map[int64]*queue.Wave
}

// Options say what a depot works with.
type Options struct {
	Node string
	// Address is where this node answers others.
	Address string
	Cloud   Cloud
	Cells   CellClient
	Leaders LeaderClient
	Config  ConfigSource
	Journal claim.Journal
	Clock   core.Clock
	// IsLeader reports whether the depot falls to this node.
	IsLeader func() bool
	// WaveStatus returns the record that reports the state of a wave, which goes
	// to StatusTopic.
	WaveStatus  func(number int64, completed bool) (key string, value []byte, err error)
	StatusTopic string
	// MachineLease is the time in which two holders must not take turns.
	MachineLease        time.Duration
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
	Logger              logr.Logger
	Metrics             *metrics.Set
}

// Controller decides on the machines while this node has the depot.
type Controller struct {
	options Options
	logger  logr.Logger
	term    *term

	mu sync.Mutex
	// leaderEpoch is the last epoch in which this node had the depot, and resigned
	// means that a newer holder has made it resign.
	leaderEpoch int64
	resigned    bool
	// inFlight counts the orders that are being sent; ended tells that one no longer
	// is. Ordered is when each machine was ordered at the latest.
	inFlight    int
	orderDone   core.Signal
	lastOrdered map[string]time.Duration
}

// New returns a depot.
func New(options Options) *Controller {
	return &Controller{options: options, logger: options.Logger.WithName("depot")}
}

// term is the time for which this node has the depot.
type term struct {
	*Controller
	claim        *claim.Claim
	writer       *claim.Writer
	statusWriter *claim.Writer
	confirmedAt  time.Duration
	// intents are the machines that were lately ordered. With quietAll, it isn't
	// known until then which an older holder had meant to order.
	intents      intents
	holdAllUntil time.Duration
	waves        map[int64]*wave
	machines     []Machine
	listedAt     time.Duration
	pools        map[string]*poolState
	operations   map[string]*operation
}

// operation is an order that a machine carries out.
type operation struct {
	kind      operationKind
	startedAt time.Duration
	// toPool is the pool that a machine moves to.
	toPool string
}

type operationKind int

const (
	moveOperation operationKind = iota
	maintenanceOperation
)

// Run decides until ctx ends.
func (d *Controller) Run(ctx context.Context) {
	for core.Sleep(ctx, reconcileInterval) == nil {
		switch {
		case !d.options.IsLeader():
			d.stepDown(ctx)
		case d.term == nil:
			d.acquire(ctx)
		default:
			d.term.reconcile(ctx)
		}
	}
	d.stepDown(context.WithoutCancel(ctx))
}

// stepDown tells the next holder that this one gives no more orders.
func (d *Controller) stepDown(ctx context.Context) {
	t := d.term
	if t == nil {
		return
	}
	d.term = nil
	record, err := t.claim.Release()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		_, err = t.writer.Write(ctx, []store.Record{record})
	}
	d.logger.Info("depot given up", "epoch", t.claim.Epoch, "recorded", err == nil)
}

// acquire claims the depot.
func (d *Controller) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	taken, err := claim.Take(ctx, d.options.Journal, topic, d.options.Node, uuid.NewString())
	if err != nil {
		d.logger.Info("the depot could not be claimed", "err", err.Error())
		return
	}
	now := d.options.Clock()
	t := &term{
		Controller:   d,
		claim:        taken,
		writer:       taken.NewWriter(d.options.Journal, topic, d.options.Clock),
		statusWriter: taken.NewSideWriter(d.options.Journal, d.options.StatusTopic, d.options.Clock),
		confirmedAt:  now,
		intents:      intents{Machines: make(map[string]*intent)},
		waves:        make(map[int64]*wave),
		pools:        make(map[string]*poolState),
		operations:   make(map[string]*operation),
	}
	d.beginTerm(taken.Epoch)
	t.loadRecords(taken.Records)
	t.adoptIntents(ctx)
	d.term = t
	d.logger.Info("depot claimed", "epoch", taken.Epoch, "before", taken.Before, "released", taken.Released, "intents", len(t.intents.Machines), "took", d.options.Clock()-now)
}

// beginTerm notes that this node has the depot in an epoch.
func (d *Controller) beginTerm(epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaderEpoch, d.resigned = epoch, false
	d.lastOrdered = make(map[string]time.Duration)
}

// loseLeadership notes that another node has the depot.
func (t *term) loseLeadership(why string) {
	t.logger.Info("depot lost", "epoch", t.claim.Epoch, "why", why)
	t.Controller.term = nil
}

// loadRecords reads the records of an older holder.
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
			t.logger.Error(err, "the record of a wave can't be read; the wave begins anew", "wave", number)
			continue
		}
		t.waves[number] = w
	}
}

// reconcile makes one round of decisions.
func (t *term) reconcile(ctx context.Context) {
	if !t.confirmLeadership(ctx) {
		return
	}
	table := t.options.Config.Config()
	if table == nil || !t.refreshMachines(ctx) {
		return
	}
	t.refreshReports(ctx, table)
	t.expireOperations()
	if !t.canOrder() {
		return
	}
	t.dispatch(ctx, append(t.advanceWaves(ctx), t.planMoves(table)...))
}

// canOrder reports whether no other holder can be giving orders.
func (t *term) canOrder() bool {
	return !t.hasResigned() && t.options.Clock()-t.confirmedAt < leadershipValidity
}

// confirmLeadership makes sure now and then that no other node has the depot.
func (t *term) confirmLeadership(ctx context.Context) bool {
	if t.options.Clock()-t.confirmedAt < confirmInterval {
		return true
	}
	return t.writeRecords(ctx, nil)
}

// writeRecords keeps records and reports whether it could.
func (t *term) writeRecords(ctx context.Context, records []store.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sent, err := t.writer.Write(ctx, records)
	switch {
	case err == nil:
		t.confirmedAt = sent
		return true
	case claim.Lost(err):
		t.loseLeadership(err.Error())
	default:
		t.logger.Info("the depot can't write", "err", err.Error())
	}
	return false
}

// refreshMachines reads the list of machines if it is old.
func (t *term) refreshMachines(ctx context.Context) bool {
	now := t.options.Clock()
	if t.machines != nil && now-t.listedAt < listInterval {
		return true
	}
	machines, err := t.options.Cloud.Machines(ctx)
	if err != nil {
		t.logger.Info("the machines could not be listed", "err", err.Error())
		return false
	}
	sortByName(machines)
	t.machines, t.listedAt = machines, now
	return true
}

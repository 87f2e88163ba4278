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
	// roundEvery is the time between two rounds of decisions.
	roundEvery = 250 * time.Millisecond
	// validTime is how long after a confirmed write orders are given.
	validTime = 750 * time.Millisecond
	// confirmEvery is the time between two confirmations.
	confirmEvery = 250 * time.Millisecond
	// writeTime bounds a write.
	writeTime = time.Second
	// orderTime bounds an order; it is part of the time that a new holder waits.
	orderTime = 500 * time.Millisecond
	// cordonTime is how long a host stays cordoned after the last wish. A host
	// whose machine was ordered away without an answer is as good as gone by then.
	cordonTime = 4 * time.Second
	// askTime bounds a call of a cell's owner.
	askTime = 400 * time.Millisecond
	// listEvery is the time between two lists of machines.
	listEvery = 500 * time.Millisecond
)

// Cells asks the owners of cells, whichever nodes they are.
type Cells interface {
	Report(ctx context.Context, service string) (cell.Report, error)
	Cordon(ctx context.Context, service string, hosts []string, length time.Duration, vacate bool) ([]cell.HostReport, error)
	// Retire says that the machines of hosts are out of the pool.
	Retire(ctx context.Context, service string, hosts []string) error
}

// Holders asks other nodes that had the depot.
type Holders interface {
	// Resign makes the node at an address give no more orders as a holder before an
	// epoch. It returns how long ago each machine was last ordered.
	Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error)
}

// Tables returns what the operator has written.
type Tables interface {
	Table() *queue.Table
	Waves() map[int64]*queue.Wave
}

// Options say what a depot works with.
type Options struct {
	Node string
	// Address is where this node answers others.
	Address string
	Cloud   Cloud
	Cells   Cells
	Holders Holders
	Tables  Tables
	Journal claim.Journal
	Clock   core.Clock
	// Holds reports whether the depot falls to this node.
	Holds func() bool
	// WaveStatus returns the record that reports the state of a wave, which goes
	// to StatusTopic.
	WaveStatus  func(number int64, completed bool) (key string, value []byte, err error)
	StatusTopic string
	// HolderLease is the time in which two holders must not take turns.
	HolderLease time.Duration
	MoveTime    time.Duration
	UpkeepTime  time.Duration
	Logger      logr.Logger
	Set         *metrics.Set
}

// Depot decides on the machines while this node has the depot.
type Depot struct {
	options Options
	logger  logr.Logger
	term    *term

	mu sync.Mutex
	// holding is the last epoch in which this node had the depot, and resigned
	// means that a newer holder has made it resign.
	holding  int64
	resigned bool
	// underWay counts the orders that are being sent; ended tells that one no longer
	// is. Ordered is when each machine was ordered at the latest.
	underWay int
	ended    core.Signal
	ordered  map[string]time.Duration
}

// New returns a depot.
func New(options Options) *Depot {
	return &Depot{options: options, logger: options.Logger.WithName("depot")}
}

// term is the time for which this node has the depot.
type term struct {
	*Depot
	claim     *claim.Claim
	writer    *claim.Writer
	status    *claim.Writer
	confirmed time.Duration
	// intents are the machines that were lately ordered. With quietAll, it isn't
	// known until then which an older holder had meant to order.
	intents  intents
	quietAll time.Duration
	waves    map[int64]*wave
	machines []Machine
	listedAt time.Duration
	reports  map[string]*pool
	busy     map[string]*errand
}

// errand is an order that a machine carries out.
type errand struct {
	kind  errandKind
	since time.Duration
	// to is the pool that a machine moves to.
	to string
}

type errandKind int

const (
	errandMove errandKind = iota
	errandUpkeep
)

// Run decides until ctx ends.
func (d *Depot) Run(ctx context.Context) {
	for core.Sleep(ctx, roundEvery) == nil {
		switch {
		case !d.options.Holds():
			d.release(ctx)
		case d.term == nil:
			d.take(ctx)
		default:
			d.term.round(ctx)
		}
	}
	d.release(context.WithoutCancel(ctx))
}

// release tells the next holder that this one gives no more orders.
func (d *Depot) release(ctx context.Context) {
	t := d.term
	if t == nil {
		return
	}
	d.term = nil
	record, err := t.claim.ReleaseRecord()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTime)
		defer cancel()
		_, err = t.writer.Write(ctx, []store.Record{record})
	}
	d.logger.Info("depot given up", "epoch", t.claim.Epoch, "recorded", err == nil)
}

// take claims the depot.
func (d *Depot) take(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	taken, err := claim.Acquire(ctx, d.options.Journal, topic, d.options.Node, uuid.NewString())
	if err != nil {
		d.logger.Info("the depot could not be claimed", "err", err.Error())
		return
	}
	now := d.options.Clock()
	t := &term{
		Depot:     d,
		claim:     taken,
		writer:    taken.NewWriter(d.options.Journal, topic, d.options.Clock),
		status:    taken.NewSecondaryWriter(d.options.Journal, d.options.StatusTopic, d.options.Clock),
		confirmed: now,
		intents:   intents{Machines: make(map[string]*intent)},
		waves:     make(map[int64]*wave),
		reports:   make(map[string]*pool),
		busy:      make(map[string]*errand),
	}
	d.hold(taken.Epoch)
	t.load(taken.Records)
	t.inherit(ctx)
	d.term = t
	d.logger.Info("depot claimed", "epoch", taken.Epoch, "before", taken.PreviousNode, "released", taken.PreviousReleased, "intents", len(t.intents.Machines), "took", d.options.Clock()-now)
}

// hold notes that this node has the depot in an epoch.
func (d *Depot) hold(epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holding, d.resigned = epoch, false
	d.ordered = make(map[string]time.Duration)
}

// lose notes that another node has the depot.
func (t *term) lose(why string) {
	t.logger.Info("depot lost", "epoch", t.claim.Epoch, "why", why)
	t.Depot.term = nil
}

// load reads the records of an older holder.
func (t *term) load(records []store.Record) {
	for _, record := range records {
		if record.Key == intentKey {
			t.loadIntents(record.Value)
			continue
		}
		suffix, isWave := strings.CutPrefix(record.Key, waveKey)
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

// round makes one round of decisions.
func (t *term) round(ctx context.Context) {
	if !t.confirm(ctx) {
		return
	}
	table := t.options.Tables.Table()
	if table == nil || !t.list(ctx) {
		return
	}
	t.ask(ctx, table)
	t.settleErrands()
	if !t.mayOrder() {
		return
	}
	t.give(ctx, append(t.runWaves(ctx), t.runMoves(table)...))
}

// mayOrder reports whether no other holder can be giving orders.
func (t *term) mayOrder() bool {
	return !t.hasResigned() && t.options.Clock()-t.confirmed < validTime
}

// confirm makes sure now and then that no other node has the depot.
func (t *term) confirm(ctx context.Context) bool {
	if t.options.Clock()-t.confirmed < confirmEvery {
		return true
	}
	return t.write(ctx, nil)
}

// write keeps records and reports whether it could.
func (t *term) write(ctx context.Context, records []store.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	sent, err := t.writer.Write(ctx, records)
	switch {
	case err == nil:
		t.confirmed = sent
		return true
	case claim.IsSuperseded(err):
		t.lose(err.Error())
	default:
		t.logger.Info("the depot can't write", "err", err.Error())
	}
	return false
}

// list reads the list of machines if it is old.
func (t *term) list(ctx context.Context) bool {
	now := t.options.Clock()
	if t.machines != nil && now-t.listedAt < listEvery {
		return true
	}
	machines, err := t.options.Cloud.Machines(ctx)
	if err != nil {
		t.logger.Info("the machines could not be listed", "err", err.Error())
		return false
	}
	byName(machines)
	t.machines, t.listedAt = machines, now
	return true
}

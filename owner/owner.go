package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"rattanpath/cell"
	"rattanpath/core"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/views"
)

const (
	// checkEvery is the longest time between two comparisons of the cells that
	// run with those that should.
	checkEvery = 500 * time.Millisecond
	// claimPause is the time after a failed claim.
	claimPause = 200 * time.Millisecond
	// claimTime bounds an attempt to claim a cell.
	claimTime = 5 * time.Second
)

// Tables returns the configuration in force, or nil.
type Tables interface {
	Config() *queue.Config
	Changed() <-chan struct{}
}

// Hosts returns what is known of the hosts of all pools.
type Hosts interface {
	View() pool.View
	Changed() <-chan struct{}
}

// Owner runs the cells that fall to this node.
type Owner struct {
	member     *Member
	tables     Tables
	hosts      Hosts
	partitions int
	options    cell.Options
	logger     logr.Logger

	mu      sync.Mutex
	cells   map[string]*tenure
	wg      sync.WaitGroup
	stopped bool
}

// tenure is the time for which this node has a cell.
type tenure struct {
	owner   *Owner
	service string
	cancel  context.CancelFunc
	// cell is nil until it is claimed.
	cell *cell.Cell
}

// New returns an owner without cells. The options say what its cells work with.
func New(member *Member, tables Tables, hosts Hosts, partitions int, options cell.Options, logger logr.Logger) *Owner {
	return &Owner{
		member:     member,
		tables:     tables,
		hosts:      hosts,
		partitions: partitions,
		options:    options,
		logger:     logger.WithName("owner"),
		cells:      make(map[string]*tenure),
	}
}

// Hurry makes this node look at once for partitions that others gave up.
func (o *Owner) Hurry() { o.member.Hurry() }

// Active reports whether this node has any cell.
func (o *Owner) Active() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.cells) > 0
}

// Cell returns the cell of a service if this node has it.
func (o *Owner) Cell(service string) *cell.Cell {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := o.cells[service]; t != nil {
		return t.cell
	}
	return nil
}

// Views returns what the cells of this node believe of themselves, by service.
func (o *Owner) Views() []views.Cell {
	var all []views.Cell
	for _, c := range o.running() {
		all = append(all, c.View())
	}
	slices.SortFunc(all, func(a, b views.Cell) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// HoldsFleet reports whether the duty that no service has falls to this node.
func (o *Owner) HoldsFleet() bool {
	return slices.Contains(o.member.Held(), partitionOfFleet(o.partitions))
}

// Run starts and stops cells until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	for {
		changed := o.member.Changed()
		reconfigured := o.tables.Changed()
		o.compare(ctx)
		select {
		case <-changed:
		case <-reconfigured:
		case <-time.After(checkEvery):
		case <-ctx.Done():
			o.stopAll()
			return
		}
	}
}

// RunHosts tells the cells of hosts that come, change and go.
func (o *Owner) RunHosts(ctx context.Context) {
	for {
		changed := o.hosts.Changed()
		o.tellHosts()
		select {
		case <-changed:
		case <-time.After(checkEvery):
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owner) tellHosts() {
	view := o.hosts.View()
	for _, c := range o.running() {
		c.SetHosts(view)
	}
}

func (o *Owner) running() []*cell.Cell {
	o.mu.Lock()
	defer o.mu.Unlock()
	var cells []*cell.Cell
	for _, t := range o.cells {
		if t.cell != nil {
			cells = append(cells, t.cell)
		}
	}
	return cells
}

// wanted returns the services whose cells fall to this node.
func (o *Owner) wanted() map[string]bool {
	wanted := make(map[string]bool)
	table := o.tables.Config()
	if table == nil {
		return wanted
	}
	held := o.member.Held()
	for rank, service := range table.Services {
		if slices.Contains(held, partitionOf(rank, o.partitions)) {
			wanted[service.Name] = true
		}
	}
	return wanted
}

// compare starts the cells that fall to this node and stops all others.
func (o *Owner) compare(ctx context.Context) {
	wanted := o.wanted()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	for service, t := range o.cells {
		if !wanted[service] {
			o.logger.Info("cell given up", "service", service)
			t.cancel()
			delete(o.cells, service)
		}
	}
	for service := range wanted {
		if o.cells[service] == nil {
			o.begin(ctx, service)
		}
	}
}

func (o *Owner) begin(ctx context.Context, service string) {
	ctx, cancel := context.WithCancel(ctx)
	t := &tenure{owner: o, service: service, cancel: cancel}
	o.cells[service] = t
	o.wg.Go(func() { t.run(ctx) })
}

// run claims the cell and runs it until the tenure ends or the cell is lost.
func (t *tenure) run(ctx context.Context) {
	defer t.end()
	options := t.owner.options
	options.Service = t.service
	nonce := uuid.NewString()
	for ctx.Err() == nil {
		claimCtx, cancel := context.WithTimeout(ctx, claimTime)
		c, err := cell.Claim(claimCtx, options, nonce)
		cancel()
		if err != nil {
			t.owner.logger.Info("a cell could not be claimed", "service", t.service, "err", err.Error())
			_ = core.Sleep(ctx, claimPause)
			continue
		}
		c.SetHosts(t.owner.hosts.View())
		t.owner.mu.Lock()
		t.cell = c
		t.owner.mu.Unlock()
		c.Run(ctx)
		return
	}
}

// end takes the tenure off the list unless another one has replaced it.
func (t *tenure) end() {
	t.cancel()
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if t.owner.cells[t.service] == t {
		delete(t.owner.cells, t.service)
	}
}

// stopAll gives up all cells.
func (o *Owner) stopAll() {
	o.mu.Lock()
	o.stopped = true
	for service, t := range o.cells {
		t.cancel()
		delete(o.cells, service)
	}
	o.mu.Unlock()
	o.wg.Wait()
}

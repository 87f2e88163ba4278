package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"rattanpath/core"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/views"
)

const (
	// reconcileInterval is the longest time between two reconciliations.
	reconcileInterval = 500 * time.Millisecond
	// claimRetryDelay is the time between a failed claim and the next one.
	claimRetryDelay = 200 * time.Millisecond
)

// ConfigSource returns the active configuration, or nil if there is none yet.
type ConfigSource interface {
	Config() *queue.Config
	Changed() <-chan struct{}
}

// HostSource returns the known hosts of all pools.
type HostSource interface {
	View() pool.View
	Changed() <-chan struct{}
}

// Supervisor runs the cells whose partitions are assigned to this node.
type Supervisor struct {
	member     *Member
	config     ConfigSource
	hosts      HostSource
	partitions int
	options    sched.Options
	logger     logr.Logger

	mu      sync.Mutex
	runners map[string]*cellRunner
	wg      sync.WaitGroup
	stopped bool
	cellLog cellLog
	// claimed is notified when a claim has succeeded.
	claimed core.Signal
}

// cellRunner claims and runs one cell while its partition is assigned to this
// node.
type cellRunner struct {
	supervisor *Supervisor
	service    string
	cancel     context.CancelFunc
	// cell is nil until the claim succeeds.
	cell *sched.Cell
}

// NewSupervisor returns a supervisor without cells. The options apply to all its
// cells, except for Service.
func NewSupervisor(member *Member, config ConfigSource, hosts HostSource, partitions int, options sched.Options, logger logr.Logger) *Supervisor {
	return &Supervisor{
		member:     member,
		config:     config,
		hosts:      hosts,
		partitions: partitions,
		options:    options,
		logger:     logger.WithName("owner"),
		runners:    make(map[string]*cellRunner),
		cellLog:    cellLog{unserved: make(map[string]unservedService)},
	}
}

// RenewNow renews the node's membership soon, to pick up partitions that others
// have released.
func (s *Supervisor) RenewNow() { s.member.RenewNow() }

// HasCells reports whether any cell is assigned to this node.
func (s *Supervisor) HasCells() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runners) > 0
}

// Cell returns the cell of a service, or nil if this node has not claimed it.
func (s *Supervisor) Cell(service string) *sched.Cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runners[service]; r != nil {
		return r.cell
	}
	return nil
}

// awaitCell waits until this node runs the cell of a service and reports whether it
// does. It doesn't wait if the cell is not assigned to the node.
func (s *Supervisor) awaitCell(ctx context.Context, service string) bool {
	for {
		claimed := s.claimed.Changed()
		if s.Cell(service) != nil {
			return true
		}
		if !s.hasRunner(service) {
			return false
		}
		select {
		case <-claimed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Supervisor) hasRunner(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[service] != nil
}

// Views returns the views of this node's cells, sorted by service.
func (s *Supervisor) Views() []views.Cell {
	var all []views.Cell
	for _, c := range s.runningCells() {
		all = append(all, c.View())
	}
	slices.SortFunc(all, func(a, b views.Cell) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// OwnsFleetPartition reports whether the fleet partition, whose owner runs the
// machine controller, is assigned to this node.
func (s *Supervisor) OwnsFleetPartition() bool {
	return slices.Contains(s.member.Partitions(), fleetPartition(s.partitions))
}

// Run starts and stops cells as partitions are reassigned, until ctx ends. It then
// stops all cells.
func (s *Supervisor) Run(ctx context.Context) {
	for {
		changed := s.member.Changed()
		reconfigured := s.config.Changed()
		s.reconcile(ctx)
		select {
		case <-changed:
		case <-reconfigured:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
			s.stopAll()
			return
		}
	}
}

// RunHostUpdates passes changes of hosts to the cells until ctx ends.
func (s *Supervisor) RunHostUpdates(ctx context.Context) {
	for {
		changed := s.hosts.Changed()
		s.updateHosts()
		select {
		case <-changed:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Supervisor) updateHosts() {
	view := s.hosts.View()
	for _, c := range s.runningCells() {
		c.SetHosts(view)
	}
}

func (s *Supervisor) runningCells() []*sched.Cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cells []*sched.Cell
	for _, r := range s.runners {
		if r.cell != nil {
			cells = append(cells, r.cell)
		}
	}
	return cells
}

// assignedServices returns the services whose partitions are assigned to this node.
func (s *Supervisor) assignedServices() map[string]bool {
	config := s.config.Config()
	if config == nil {
		return nil
	}
	return s.servicesOf(config, s.member.Partitions())
}

// reconcile starts the cells assigned to this node, stops all others, and updates the
// organisations of those that run. While the membership is expired it claims no cell, since
// another node may own it by now. Running cells go on: they notice if they have been claimed.
func (s *Supervisor) reconcile(ctx context.Context) {
	assigned, expired := s.assignedServices(), s.member.Expired()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	for service, r := range s.runners {
		if !assigned[service] || expired && r.cell == nil {
			s.logger.Info("cell stopped", "service", service)
			r.cancel()
			delete(s.runners, service)
		}
	}
	for service := range assigned {
		if s.runners[service] == nil && !expired {
			s.startCell(ctx, service)
		}
	}
	s.updateOrganisations()
	s.logRunning()
	s.logUnserved(time.Now())
}

// updateOrganisations passes the organisations of the configuration to the cells that run. s.mu
// must be held.
func (s *Supervisor) updateOrganisations() {
	config := s.config.Config()
	for _, r := range s.runners {
		if r.cell != nil {
			r.cell.SetOrganisations(config)
		}
	}
}

func (s *Supervisor) startCell(ctx context.Context, service string) {
	ctx, cancel := context.WithCancel(ctx)
	r := &cellRunner{supervisor: s, service: service, cancel: cancel}
	s.runners[service] = r
	s.wg.Go(func() { r.run(ctx) })
}

// run claims the cell and runs it until ctx ends or another node takes it over. A claim
// has no timeout but those of its calls: it may go on as long as the membership lasts.
func (r *cellRunner) run(ctx context.Context) {
	defer r.remove()
	options := r.supervisor.options
	options.Service = r.service
	options.Config = r.supervisor.config.Config
	options.TopicBytes = r.supervisor.topicBytes()
	nonce := uuid.NewString()
	for ctx.Err() == nil {
		c, err := sched.Claim(ctx, options, nonce)
		if err != nil {
			r.supervisor.logger.Info("failed to claim a cell", "service", r.service, "err", err.Error())
			_ = core.Sleep(ctx, claimRetryDelay)
			continue
		}
		c.SetOrganisations(r.supervisor.config.Config())
		c.SetHosts(r.supervisor.hosts.View())
		r.supervisor.mu.Lock()
		r.cell = c
		r.supervisor.logRunning()
		r.supervisor.mu.Unlock()
		r.supervisor.claimed.Notify()
		c.Run(ctx)
		return
	}
}

// topicBytes returns the share of the store for the topic of one cell.
func (s *Supervisor) topicBytes() int {
	config := s.config.Config()
	if config == nil {
		return 0
	}
	return sched.TopicShare(len(config.Services))
}

// remove deletes the runner from the supervisor unless it has been replaced.
func (r *cellRunner) remove() {
	r.cancel()
	r.supervisor.mu.Lock()
	defer r.supervisor.mu.Unlock()
	if r.supervisor.runners[r.service] == r {
		delete(r.supervisor.runners, r.service)
		r.supervisor.logRunning()
	}
}

// stopAll stops all cells and waits for them.
func (s *Supervisor) stopAll() {
	s.mu.Lock()
	s.stopped = true
	for service, r := range s.runners {
		r.cancel()
		delete(s.runners, service)
	}
	s.logRunning()
	s.logUnserved(time.Now())
	s.mu.Unlock()
	defer s.logUnservedLater()()
	s.wg.Wait()
}

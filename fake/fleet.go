package fake

import (
	"context"
	"sync"
	"time"

	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// Hosts are stand-ins for upstream hosts, as one node reaches them.
type Hosts struct {
	mu      sync.Mutex
	runners map[string]*Runner
	// cut names the hosts that the node can't reach.
	cut map[string]bool
	// Room returns what a task occupies.
	Room func(name tasks.ID) tasks.Resources
}

// NewHosts returns the runners as a node reaches them.
func NewHosts(runners map[string]*Runner, room func(name tasks.ID) tasks.Resources) *Hosts {
	return &Hosts{runners: runners, cut: make(map[string]bool), Room: room}
}

// Cut keeps the node's calls from a host, or lets them through again.
func (h *Hosts) Cut(id string, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[id] = cut
}

// View returns the entries of all hosts.
func (h *Hosts) View() pool.View {
	view := pool.View{Hosts: make(map[string]*pool.Host), ReadAt: time.Now()}
	for id, runner := range h.runners {
		view.Hosts[id] = runner.Info()
	}
	return view
}

func (h *Hosts) runner(ctx context.Context, id string) (*Runner, error) {
	h.mu.Lock()
	runner, cut := h.runners[id], h.cut[id]
	h.mu.Unlock()
	if cut || runner == nil {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		return nil, errSilent
	}
	return runner, nil
}

// Start implements lease.Hosts.
func (h *Hosts) Start(ctx context.Context, host *pool.Host, order lease.StartCommand) (lease.Reply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.Reply{}, err
	}
	return runner.Start(ctx, order, h.Room(order.Task))
}

// Stop implements lease.Hosts.
func (h *Hosts) Stop(ctx context.Context, host *pool.Host, order lease.StopCommand) (lease.Reply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.Reply{}, err
	}
	return runner.Stop(ctx, order)
}

// Pace implements lease.Hosts.
func (h *Hosts) Pace(ctx context.Context, host *pool.Host, order lease.PaceCommand) (lease.Reply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.Reply{}, err
	}
	return runner.Pace(ctx, order)
}

// Heartbeat implements lease.Hosts.
func (h *Hosts) Heartbeat(ctx context.Context, host *pool.Host, order lease.Heartbeat) (lease.HeartbeatReply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.HeartbeatReply{}, err
	}
	return runner.Hold(ctx, order)
}

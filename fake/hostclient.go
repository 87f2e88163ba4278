package fake

import (
	"context"
	"sync"
	"time"

	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// HostClient is one node's client of a set of fake hosts.
type HostClient struct {
	mu      sync.Mutex
	runners map[string]*Runner
	// partitioned holds the IDs of the hosts that the node can't reach.
	partitioned map[string]bool
	// TaskResources returns the resources that a task requires.
	TaskResources func(task tasks.ID) tasks.Resources
}

// NewHostClient returns a client of the runners, which are keyed by host ID.
func NewHostClient(runners map[string]*Runner, taskResources func(task tasks.ID) tasks.Resources) *HostClient {
	return &HostClient{runners: runners, partitioned: make(map[string]bool), TaskResources: taskResources}
}

// SetPartitioned sets whether the node's calls to a host time out.
func (h *HostClient) SetPartitioned(id string, partitioned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned[id] = partitioned
}

// View returns the current records of all hosts.
func (h *HostClient) View() pool.View {
	view := pool.View{Hosts: make(map[string]*pool.Host), ReadAt: time.Now()}
	for id, runner := range h.runners {
		view.Hosts[id] = runner.Info()
	}
	return view
}

func (h *HostClient) runner(ctx context.Context, id string) (*Runner, error) {
	h.mu.Lock()
	runner, partitioned := h.runners[id], h.partitioned[id]
	h.mu.Unlock()
	if partitioned || runner == nil {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		return nil, errNoResponse
	}
	return runner, nil
}

// Start implements lease.HostClient.
func (h *HostClient) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.Reply{}, err
	}
	return runner.Start(ctx, command, h.TaskResources(command.Task))
}

// Stop implements lease.HostClient.
func (h *HostClient) Stop(ctx context.Context, host *pool.Host, command lease.StopCommand) (lease.Reply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.Reply{}, err
	}
	return runner.Stop(ctx, command)
}

// Pace implements lease.HostClient.
func (h *HostClient) Pace(ctx context.Context, host *pool.Host, command lease.PaceCommand) (lease.Reply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.Reply{}, err
	}
	return runner.Pace(ctx, command)
}

// Heartbeat implements lease.HostClient.
func (h *HostClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	runner, err := h.runner(ctx, host.ID)
	if err != nil {
		return lease.HeartbeatReply{}, err
	}
	return runner.Heartbeat(ctx, heartbeat)
}

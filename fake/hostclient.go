package fake

import (
	"context"
	"sync"
	"time"

	"rattanpath/core"
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
	latency       func(host string, command any) Latency
}

// Latency is the time that one call takes in each direction.
type Latency struct {
	Request time.Duration
	Reply   time.Duration
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

// SetLatency sets a function that returns the latency of each call to a host, so that
// calls overtake each other. Without one, calls take no extra time.
func (h *HostClient) SetLatency(latency func(host string, command any) Latency) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = latency
}

// latencyOf returns the latency of a call.
func (h *HostClient) latencyOf(id string, command any) Latency {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.latency == nil {
		return Latency{}
	}
	return h.latency(id, command)
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

// call delivers a command to a host and returns its reply, each after the latency of
// its direction.
func call[Reply any](ctx context.Context, h *HostClient, id string, command any, deliver func(*Runner) (Reply, error)) (Reply, error) {
	var none Reply
	latency := h.latencyOf(id, command)
	if err := travel(ctx, latency.Request); err != nil {
		return none, err
	}
	runner, err := h.runner(ctx, id)
	if err != nil {
		return none, err
	}
	reply, err := deliver(runner)
	if err != nil {
		return none, err
	}
	return reply, travel(ctx, latency.Reply)
}

// travel waits for the latency of one direction. It starts no timer for none: one of
// zero length can crash the runtime under the race detector with paused time.
func travel(ctx context.Context, latency time.Duration) error {
	if latency <= 0 {
		return ctx.Err()
	}
	return core.Sleep(ctx, latency)
}

// Start implements lease.HostClient.
func (h *HostClient) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	return call(ctx, h, host.ID, command, func(runner *Runner) (lease.Reply, error) {
		return runner.Start(ctx, command, h.TaskResources(command.Task))
	})
}

// Stop implements lease.HostClient.
func (h *HostClient) Stop(ctx context.Context, host *pool.Host, command lease.StopCommand) (lease.Reply, error) {
	return call(ctx, h, host.ID, command, func(runner *Runner) (lease.Reply, error) { return runner.Stop(ctx, command) })
}

// Pace implements lease.HostClient.
func (h *HostClient) Pace(ctx context.Context, host *pool.Host, command lease.PaceCommand) (lease.Reply, error) {
	return call(ctx, h, host.ID, command, func(runner *Runner) (lease.Reply, error) { return runner.Pace(ctx, command) })
}

// Heartbeat implements lease.HostClient.
func (h *HostClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	return call(ctx, h, host.ID, heartbeat, func(runner *Runner) (lease.HeartbeatReply, error) { return runner.Heartbeat(ctx, heartbeat) })
}

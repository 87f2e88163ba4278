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
	// unlisted holds the IDs of the hosts whose records have expired.
	unlisted map[string]bool
	// TaskResources returns the resources that a task requires.
	TaskResources func(task tasks.ID) tasks.Resources
	latency       func(host string, command any) Latency
	// clock is the node's clock. readAt is its reading at the last read of the host
	// records, 0 if there was none, seen the time of each record that was read, and
	// writtenAfter the reading after which that record was written.
	clock        core.Clock
	readAt       time.Duration
	seen         map[string]time.Time
	writtenAfter map[string]time.Duration
	recordsDown  bool
}

// Latency is the time that one call takes in each direction.
type Latency struct {
	Request time.Duration
	Reply   time.Duration
}

// NewHostClient returns a client of the runners, which are keyed by host ID.
func NewHostClient(runners map[string]*Runner, taskResources func(task tasks.ID) tasks.Resources) *HostClient {
	return &HostClient{
		runners: runners, partitioned: make(map[string]bool), unlisted: make(map[string]bool), TaskResources: taskResources,
		clock: core.BootClock, seen: make(map[string]time.Time), writtenAfter: make(map[string]time.Duration),
	}
}

// SetClock sets the node's clock.
func (h *HostClient) SetClock(clock core.Clock) { h.clock = clock }

// SetRecordsDown sets whether the node can't read the host records.
func (h *HostClient) SetRecordsDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordsDown = down
}

// SetPartitioned sets whether the node's calls to a host time out.
func (h *HostClient) SetPartitioned(id string, partitioned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned[id] = partitioned
}

// SetUnlisted sets whether the record of a host has expired.
func (h *HostClient) SetUnlisted(id string, unlisted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unlisted[id] = unlisted
}

// AddRunner adds a host.
func (h *HostClient) AddRunner(id string, runner *Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runners[id] = runner
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

// View reads the newest records of all hosts. Its ReadAt is zero if that fails.
func (h *HostClient) View() pool.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recordsDown {
		return pool.View{}
	}
	view := pool.View{Hosts: make(map[string]*pool.Host), ReadAt: time.Now()}
	for id, runner := range h.runners {
		if h.unlisted[id] {
			continue
		}
		record := runner.record()
		if !h.seen[id].Equal(record.at) {
			h.seen[id], h.writtenAfter[id] = record.at, h.readAt
		}
		record.info.WrittenAfter = h.writtenAfter[id]
		view.Hosts[id] = &record.info
	}
	h.readAt = h.clock()
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
	if err := core.Sleep(ctx, latency.Request); err != nil {
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
	return reply, core.Sleep(ctx, latency.Reply)
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

// knownIncarnation returns the current incarnation of a host, or 0 if no caller has had a reply to
// a heartbeat of it.
func (h *HostClient) knownIncarnation(id string) int64 {
	h.mu.Lock()
	runner := h.runners[id]
	h.mu.Unlock()
	if runner == nil {
		return 0
	}
	return runner.knownIncarnation()
}

// Heartbeat implements lease.HostClient.
func (h *HostClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	var receiver *Runner
	known := h.knownIncarnation(host.ID)
	reply, err := call(ctx, h, host.ID, heartbeat, func(runner *Runner) (lease.HeartbeatReply, error) {
		receiver = runner
		return runner.receiveHeartbeat(ctx, heartbeat, known)
	})
	if err == nil {
		receiver.recordReply(reply)
	}
	return reply, err
}

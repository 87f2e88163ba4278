package stub

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/platform"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	// hostHeartbeat is the time between two records of a host.
	hostHeartbeat = 1500 * time.Millisecond
	// recordTTL is how long a host's record stays without another one.
	recordTTL = 3 * hostHeartbeat
	// longestLease is the longest lease that a host grants.
	longestLease = 10 * time.Second
	// recordCheckInterval is the time between two looks at whether a record is due.
	recordCheckInterval = 50 * time.Millisecond
)

// hostState says what becomes of calls to a host and of the records that it writes.
type hostState int

const (
	hostUp hostState = iota
	// hostCut means that the host runs, but neither calls nor records get through.
	hostCut
	// hostSilent means that the host has crashed and calls get no answer.
	hostSilent
	// hostRefusing means that the host has crashed and connections are refused.
	hostRefusing
	// hostHolding means that the host has crashed and calls wait for its next incarnation.
	hostHolding
)

// Host is a host that is called over HTTP, on a machine of its own.
type Host struct {
	// Runner runs the host's tasks.
	Runner   *fake.Runner
	platform *Platform
	endpoint *endpoint

	// commands keeps a crash from happening while a command is carried out.
	commands sync.RWMutex
	mu       sync.Mutex
	state    hostState
	// writtenAt is when the host last wrote its record, zero if that has expired.
	writtenAt time.Time
	// held is closed once calls wait no more.
	held chan struct{}
}

// AddHost starts a host, which writes its record until ctx ends. Its clock runs clockRate
// times as fast as the real one.
func (p *Platform) AddHost(ctx context.Context, id string, capacity tasks.Resources, clockRate float64) (*Host, error) {
	return p.addHost(ctx, id, Service, capacity, clockRate)
}

func (p *Platform) addHost(ctx context.Context, id, service string, capacity tasks.Resources, clockRate float64) (*Host, error) {
	h := &Host{platform: p}
	var err error
	if h.endpoint, err = newEndpoint(p, h.handler()); err != nil {
		return nil, err
	}
	info := pool.Host{ID: id, Service: service, Address: h.endpoint.address, DataCentre: "a", Capacity: capacity}
	h.Runner = fake.NewRunner(info, clockRate, p.Checker, p.profile)
	h.Runner.SetLongestLease(longestLease)
	h.writeRecord()
	go h.Runner.Run(ctx)
	go h.loop(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, h)
	return h, nil
}

// loop writes the host's record and lets it expire, until ctx ends. Then it stops the host.
func (h *Host) loop(ctx context.Context) {
	for core.Sleep(ctx, recordCheckInterval) == nil {
		h.mu.Lock()
		age := time.Since(h.writtenAt)
		due := h.state == hostUp && age >= hostHeartbeat && !h.platform.isStoreDown()
		expired := !h.writtenAt.IsZero() && age >= recordTTL
		h.mu.Unlock()
		switch {
		case due:
			h.writeRecord()
		case expired:
			h.expireRecord()
		}
	}
	_ = h.endpoint.set(func() {
		clear(h.endpoint.cutOff)
		h.endpoint.refusing = true
	})
}

func (h *Host) writeRecord() {
	h.mu.Lock()
	defer h.mu.Unlock()
	info := h.Runner.Info()
	value, _ := json.Marshal(map[string]any{
		"service": info.Service, "address": info.Address, "zone": info.DataCentre, "state": "ready",
		"capacity": capacityOf(info), "born": info.Incarnation, "clockMs": h.Runner.HostTime().Milliseconds(),
	})
	h.platform.Store.Put(platform.HostTopic, info.ID, value)
	h.writtenAt = time.Now()
}

func (h *Host) expireRecord() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.platform.Store.Put(platform.HostTopic, h.Runner.Info().ID, nil)
	h.writtenAt = time.Time{}
}

func capacityOf(info *pool.Host) map[string]int64 {
	return map[string]int64{"cpu": info.Capacity.CPU, "memMb": info.Capacity.MemMB, "gpu": info.Capacity.GPU}
}

// change sets the state if it is one of some, and reports whether it was.
func (h *Host) change(to hostState, from ...hostState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(from, h.state) {
		return false
	}
	h.state = to
	return true
}

func (h *Host) isReachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == hostUp
}

// IsUsable reports whether the host is up, can be reached and has a record.
func (h *Host) IsUsable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == hostUp && !h.writtenAt.IsZero()
}

// HasCrashed reports whether the host has crashed and not restarted since.
func (h *Host) HasCrashed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == hostSilent || h.state == hostRefusing || h.state == hostHolding
}

// machineState returns the state in which the cloud lists the host's machine.
func (h *Host) machineState() string {
	if h.HasCrashed() {
		return "down"
	}
	return "up"
}

// CutOff keeps calls and records of a host that is up from getting through, until Reconnect
// or Crash. It reports whether the host was up.
func (h *Host) CutOff() bool { return h.change(hostCut, hostUp) }

// Reconnect ends CutOff.
func (h *Host) Reconnect() bool { return h.change(hostUp, hostCut) }

// CutOffFrom keeps the calls of a node from getting through without an answer, until ReconnectTo,
// while other nodes reach the host and its records get through. It reports whether they did before.
func (h *Host) CutOffFrom(node string) (bool, error) { return h.endpoint.setCut(node, true) }

// ReconnectTo ends CutOffFrom.
func (h *Host) ReconnectTo(node string) (bool, error) { return h.endpoint.setCut(node, false) }

// IsReachedBy reports whether the host is usable and calls of a node get through.
func (h *Host) IsReachedBy(node string) bool { return h.IsUsable() && !h.endpoint.isCut(node) }

// isOpenTo reports whether calls of a node reach the host and replies the node.
func (h *Host) isOpenTo(node string) bool { return h.isReachable() && !h.endpoint.isCut(node) }

// Crash loses all runs of the host, and reports whether it hadn't crashed already. Its machine
// then refuses connections, or gives no answer if silent is set, until Restart.
func (h *Host) Crash(silent bool) bool {
	h.commands.Lock()
	defer h.commands.Unlock()
	to := hostRefusing
	if silent {
		to = hostSilent
	}
	if !h.change(to, hostUp, hostCut) {
		return false
	}
	if !silent {
		_ = h.refuse(true)
	}
	h.Runner.Crash()
	return true
}

// CrashHolding loses all runs of the host, and reports whether it was up. Calls wait until RestartHeld,
// and reach the next incarnation unless their callers have given up.
func (h *Host) CrashHolding() bool {
	h.commands.Lock()
	defer h.commands.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != hostUp {
		return false
	}
	h.state, h.held = hostHolding, make(chan struct{})
	h.Runner.Crash()
	return true
}

// RestartHeld starts a new incarnation of a host after CrashHolding, which gets the calls that wait.
func (h *Host) RestartHeld() {
	h.mu.Lock()
	held := h.held
	if h.state != hostHolding {
		h.mu.Unlock()
		return
	}
	h.state = hostUp
	h.Runner.Restart()
	h.mu.Unlock()
	close(held)
	if !h.platform.isStoreDown() {
		h.writeRecord()
	}
}

// awaitRestart waits while calls are held. It returns false if the caller gives up.
func (h *Host) awaitRestart(ctx context.Context) bool {
	h.mu.Lock()
	held, holds := h.held, h.state == hostHolding
	h.mu.Unlock()
	if !holds {
		return true
	}
	select {
	case <-held:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse changes whether the host refuses connections.
func (h *Host) refuse(refusing bool) error {
	return h.endpoint.set(func() { h.endpoint.refusing = refusing })
}

// Restart starts a new incarnation of a host that has crashed, and reports whether it had.
func (h *Host) Restart() (bool, error) {
	if !h.HasCrashed() {
		return false, nil
	}
	_ = h.refuse(true)
	h.Runner.Restart()
	h.change(hostUp, hostSilent, hostRefusing)
	if err := h.refuse(false); err != nil {
		return false, err
	}
	if !h.platform.isStoreDown() {
		h.writeRecord()
	}
	return true, nil
}

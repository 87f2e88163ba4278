package sched

import (
	"time"

	"rattanpath/pool"
)

// machine is what the cell knows of the machine at an address, which may come back as a host with
// another ID.
type machine struct {
	// hostID is that of the newest host at the address, and born its incarnation. planned is set if
	// that host was to leave.
	hostID  string
	born    int64
	planned bool
	// suspected is set if the host went away under a run that may have crashed it.
	suspected bool
	// restartedAt is the local time of the last restart that wasn't planned, and unsteadyAt that of
	// the last one which no run can have caused; 0 if there was none.
	restartedAt time.Duration
	unsteadyAt  time.Duration
}

// observeMachine records that a host is listed at its address, where former ones may be listed for
// some seconds more.
func (c *Cell) observeMachine(h *host, info *pool.Host) {
	m := c.machines[info.Address]
	if m == nil {
		m = &machine{hostID: info.ID}
		c.machines[info.Address] = m
	}
	arrives := m.hostID != info.ID && (h.info == nil || h.info.Address != info.Address) && info.Incarnation >= m.born
	if arrives {
		if !m.planned {
			c.machineRestarted(m, c.hosts[m.hostID])
			h.restartedAt = m.unsteadyAt
		}
		m.hostID = info.ID
	}
	if m.hostID == info.ID {
		m.born, m.planned = info.Incarnation, info.Draining
	}
}

// machineRestarted records that a machine has restarted whose host was former, nil if the cell has
// forgotten it.
func (c *Cell) machineRestarted(m *machine, former *host) {
	m.restartedAt = c.options.Clock()
	if !m.suspected && (former == nil || !former.hasFreshRun()) {
		m.unsteadyAt = m.restartedAt
	}
	m.suspected = false
}

// hasFreshRun reports whether the host last answered so soon after the start of a run, as far as is
// known, that the run may have crashed it.
func (h *host) hasFreshRun() bool {
	for _, r := range h.runs {
		if h.crashedUnder(r, lossRestarted) {
			return true
		}
	}
	return false
}

// blamesMachine reports whether the loss of a run that looks like a crash is put down to its machine:
// the run was sent a short time after the machine had gone down by itself. It is put down to a task
// all the same under which a host has crashed elsewhere, so that one which crashes its hosts is
// given up.
func (c *Cell) blamesMachine(h *host, r *run) bool {
	m := c.machineOf(h)
	if m == nil || m.unsteadyAt == 0 || r.sentAt < m.unsteadyAt || r.sentAt-m.unsteadyAt >= restartSettleTime {
		return false
	}
	task := r.currentTask()
	return task != nil && task.Crashes == 0
}

// machineOf returns the machine of a host, nil if its address isn't known.
func (c *Cell) machineOf(h *host) *machine {
	if h.info == nil {
		return nil
	}
	return c.machines[h.info.Address]
}

// suspectRun records that a host has gone away under a run that may have crashed it, if it is not
// back yet.
func (c *Cell) suspectRun(h *host, why lossReason) {
	if m := c.machineOf(h); m != nil && m.hostID == h.id && why != lossRestarted {
		m.suspected = true
	}
}

// expireMachines deletes what is remembered of machines beyond forgottenRetention whose hosts are
// forgotten.
func (c *Cell) expireMachines() {
	now := c.options.Clock()
	for address, m := range c.machines {
		if c.hosts[m.hostID] == nil && now-m.restartedAt > forgottenRetention {
			delete(c.machines, address)
		}
	}
}

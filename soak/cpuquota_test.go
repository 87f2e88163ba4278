package soak

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the time in which a process may use its share, and quotaInterval the time
	// between two looks at what it has used.
	quotaPeriod   = 100 * time.Millisecond
	quotaInterval = 2 * time.Millisecond
)

// cpuQuota limits the CPU time of node processes: one that has used up its share of a period
// stands still until the next one.
type cpuQuota struct {
	mu       sync.Mutex
	accounts []*cpuAccount
	stop     chan struct{}
	stopped  chan struct{}
}

// cpuAccount is what a process may still use.
type cpuAccount struct {
	node *node
	// quota is the CPU time for a period, and budget what is left of it. It is below 0 if the
	// process was stopped late, which the next period makes up for.
	quota  time.Duration
	budget time.Duration
	// pid is the process whose CPU time was used at the last look.
	pid       int
	used      time.Duration
	periodEnd time.Time
	// throttled means that the quota is used up, and frozen that the test has stopped the
	// process besides. halted is whether the process was told to stand still.
	throttled, frozen, halted bool
	// total is the CPU time of all lives, and throttledTime how long the process stood still.
	total         time.Duration
	throttledTime time.Duration
	lookedAt      time.Time
}

func newCPUQuota(nodes []*node, share float64) *cpuQuota {
	q := &cpuQuota{stop: make(chan struct{}), stopped: make(chan struct{})}
	for _, n := range nodes {
		q.accounts = append(q.accounts, &cpuAccount{node: n, quota: time.Duration(share * float64(quotaPeriod))})
	}
	return q
}

// run enforces the quota until close is called.
func (q *cpuQuota) run() {
	defer close(q.stopped)
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.stop:
			return
		case now := <-ticker.C:
			q.enforce(now)
		}
	}
}

func (q *cpuQuota) enforce(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range q.accounts {
		a.charge(now)
		a.signal()
	}
}

// charge takes what the process has used since the last look from its budget.
func (a *cpuAccount) charge(now time.Time) {
	if pid := a.node.PID(); pid != a.pid {
		a.pid, a.used, a.budget, a.throttled, a.halted = pid, 0, a.quota, false, false
		a.periodEnd = now.Add(quotaPeriod)
	}
	if used, ok := cpuTime(a.pid); ok {
		a.budget -= used - a.used
		a.total += used - a.used
		a.used = used
	}
	if a.throttled {
		a.throttledTime += now.Sub(a.lookedAt)
	}
	a.lookedAt = now
	if !now.Before(a.periodEnd) {
		a.periodEnd = a.periodEnd.Add(quotaPeriod)
		if a.periodEnd.Before(now) {
			a.periodEnd = now.Add(quotaPeriod)
		}
		a.budget = min(a.budget, 0) + a.quota
	}
	a.throttled = a.budget <= 0
}

// signal stops or continues the process if it is due.
func (a *cpuAccount) signal() {
	halt := a.throttled || a.frozen
	if halt == a.halted {
		return
	}
	a.halted = halt
	if halt {
		a.node.Signal(syscall.SIGSTOP)
	} else {
		a.node.Signal(syscall.SIGCONT)
	}
}

// freeze stops a process for a time, unless the test has ended it.
func (q *cpuQuota) freeze(n *node, duration time.Duration) {
	if n.isDown() {
		return
	}
	end := n.cluster.faults.begin("%s paused for %s", n.Name, duration)
	defer end()
	q.setFrozen(n, true)
	time.Sleep(duration)
	q.setFrozen(n, false)
	n.cluster.faults.printf("%s continues", n.Name)
}

func (q *cpuQuota) setFrozen(n *node, frozen bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range q.accounts {
		if a.node == n {
			a.frozen = frozen
			a.signal()
		}
	}
}

// close lets all processes go on.
func (q *cpuQuota) close() {
	close(q.stop)
	<-q.stopped
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range q.accounts {
		a.throttled, a.frozen = false, false
		a.signal()
	}
}

// cpuTime returns the CPU time that a process has used, and false if there is no such process.
func cpuTime(pid int) (time.Duration, bool) {
	// The number of the clock of a process, as clock_getcpuclockid returns it.
	const schedulerClock = 2
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &used); err != nil {
		return 0, false
	}
	return time.Duration(used.Nano()), true
}

package sched

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// startShare is the share of a node's link for start commands. The rest is left to
	// lease renewals, stops, writes and callers' requests.
	startShare = 0.4
	// startQueueTime is for how long start commands may keep their share of the link
	// busy. While more are planned, no further runs are assigned.
	startQueueTime = 200 * time.Millisecond
	// maxStartWait is for how long the start commands of accepted jobs may keep their
	// share of the link busy, if a further job's objective allows it. Callers of others
	// are told at once that they would come too late.
	maxStartWait = 4 * time.Second
	// busyLinkMemory is how long after start commands last waited for the link, or after a
	// takeover, the link counts as busy.
	busyLinkMemory = 10 * time.Second
	// maxWriteTime is how long the link may be busy with one write: everything that is
	// sent meanwhile waits behind it.
	maxWriteTime = 100 * time.Millisecond
	// startOverhead is the size of a start command without its spec, in bytes.
	startOverhead = 500
	// minBurst is the smallest limit on the bytes of one write, and of start commands
	// sent at once. A job's records and a start command with the longest spec fit.
	minBurst = 16 << 10
)

// Link limits what the cells of a node send at once, so that lease renewals and the
// ends of runs don't wait behind new work.
type Link struct {
	starts *rate.Limiter
	// startQueue is the size of the start commands that may be planned, and batch the
	// size limit of a write, both in bytes.
	startQueue int
	batch      int
}

// NewLink returns the limits for a link of a rate in bytes per second, or no limits
// if the rate is 0.
func NewLink(bytesPerSecond int64) *Link {
	if bytesPerSecond <= 0 {
		return &Link{}
	}
	bytesIn := func(d time.Duration) int { return max(minBurst, int(float64(bytesPerSecond)*d.Seconds())) }
	startRate := startShare * float64(bytesPerSecond)
	return &Link{
		starts:     rate.NewLimiter(rate.Limit(startRate), bytesIn(maxWriteTime/2)),
		startQueue: max(minBurst, int(startRate*startQueueTime.Seconds())),
		batch:      bytesIn(maxWriteTime),
	}
}

// startDelay reserves the transfer of a start command and returns how long to wait
// before sending it.
func (l *Link) startDelay(bytes int) time.Duration {
	if l.starts == nil {
		return 0
	}
	return l.starts.ReserveN(time.Now(), min(bytes, l.starts.Burst())).Delay()
}

// batchBytes returns the size limit of a write that the store limits to largest bytes.
func (l *Link) batchBytes(largest int) int {
	if l.batch == 0 {
		return largest
	}
	return min(largest, l.batch)
}

// startQueueFull reports whether no further run may be assigned before planned start
// commands have been sent.
func (c *Cell) startQueueFull() bool {
	if !c.hasFullStartQueue() {
		return false
	}
	c.startQueueFullAt = c.options.Clock()
	return true
}

// hasFullStartQueue does the same without recording that assignment waited.
func (c *Cell) hasFullStartQueue() bool {
	limit := c.options.Link.startQueue
	return limit != 0 && c.plannedBytes >= limit
}

// transferTime returns how long start commands of a size keep their share of the link
// busy.
func (l *Link) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(l.starts.Limit()) * float64(time.Second))
}

// wouldStartLate reports whether a new job would miss its objective because its start
// commands wait for the link behind those of accepted jobs. Tasks that wait for hosts
// rather than for the link don't matter for longer than busyLinkMemory.
func (c *Cell) wouldStartLate(e *jobEntry, now time.Time) bool {
	link := c.options.Link
	if link.starts == nil || c.backlogBytes < link.startQueue {
		return false
	}
	if c.options.Clock()-max(c.startQueueFullAt, c.claimedAt) >= busyLinkMemory {
		return false
	}
	bytes, limit := c.backlogBytes+e.job.UnassignedTasks()*e.startSize(), c.startTimeLimit(e, now)
	return link.transferTime(bytes) > limit && !c.isWithinBacklogShare(e, limit)
}

// startTimeLimit returns how long the start commands of a new job may take. Only jobs
// that are due at once have an objective that counts from now.
func (c *Cell) startTimeLimit(e *jobEntry, now time.Time) time.Duration {
	if e.job.LongRunning() || e.job.Plan.Repeats > 0 || e.job.Policy.Stretch == 0 {
		return maxStartWait
	}
	return min(maxStartWait, c.urgency(e, now).LatestStart.Sub(now))
}

// startSize returns the size of a start command of the job in bytes.
func (e *jobEntry) startSize() int { return startOverhead + len(e.job.Plan.Spec) }

// addBacklog counts the tasks of an open job that have not been started.
func (c *Cell) addBacklog(e *jobEntry) {
	e.unstarted = e.job.UnassignedTasks()
	c.backlogBytes += e.unstarted * e.startSize()
	c.countBacklog(e, e.unstarted*e.startSize())
}

// reduceBacklog counts tasks of a job as started, or as dropped because the job has
// ended. Repeated runs of a task count once.
func (c *Cell) reduceBacklog(e *jobEntry, count int) {
	count = min(count, e.unstarted)
	e.unstarted -= count
	c.backlogBytes -= count * e.startSize()
	c.countBacklog(e, -count*e.startSize())
}

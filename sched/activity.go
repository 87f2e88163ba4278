package sched

import (
	"time"

	"rattanpath/core"
)

// activityInterval is the time between two log lines on the work of a cell.
const activityInterval = time.Second

// activity counts the work of a cell since the last log line on it. Cell.mu guards it.
type activity struct {
	since time.Duration
	// heartbeats counts the heartbeats sent, and unackedHeartbeats those among them
	// that acknowledged nothing although ends were persisted, because the report that
	// listed these ends was too old.
	heartbeats        int
	unackedHeartbeats int
	// starts counts the start commands sent. staleRecords is the most hosts that a
	// scheduling pass left out because their records were out of date.
	starts       int
	staleRecords int
	// passes and writes count scheduling passes and writes, each with their total
	// duration.
	passes    int
	passTime  time.Duration
	writes    int
	writeTime time.Duration
	// timerLag is the longest time by which the loop of timers woke up late. It shows
	// that the node lacks processor time.
	timerLag time.Duration
	stages   stageTimes
	// processTime is that of the process when the counts began.
	processTime time.Duration
}

// recordTimerLag records by how much a loop that slept since a local time has
// overslept an interval.
func (a *activity) recordTimerLag(slept, interval time.Duration) {
	a.timerLag = max(a.timerLag, slept-interval)
}

// logActivity logs and resets the counts once per activityInterval, unless the cell was
// idle. c.mu must be held.
func (c *Cell) logActivity() {
	now := c.options.Clock()
	if now-c.activity.since < activityInterval {
		return
	}
	a := c.activity
	c.activity = activity{since: now, processTime: core.ProcessTime()}
	if a.starts == 0 && a.heartbeats == 0 {
		return
	}
	c.logger.Info("cell activity", "open", len(c.open), "hosts", len(c.hosts), "starts", a.starts,
		"heartbeats", a.heartbeats, "unacked", a.unackedHeartbeats, "stale", a.staleRecords,
		"passes", a.passes, "passTime", a.passTime.Round(time.Millisecond),
		"writes", a.writes, "writeTime", a.writeTime.Round(time.Millisecond),
		"replyTime", c.replyTime.average().Round(time.Millisecond), "lag", a.timerLag.Round(time.Millisecond),
		"cpu", (c.activity.processTime - a.processTime).Round(time.Millisecond),
		"placeWait", a.stages[stagePlace].mean(), "persistWait", a.stages[stagePersist].mean(), "sendWait", a.stages[stageSend].mean(),
		"confirmWait", a.stages[stageConfirm].mean(), "reportWait", a.stages[stageReport].mean(), "endWait", a.stages[stageEnd].mean())
}

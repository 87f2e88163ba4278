package sched

import (
	"time"

	"rattanpath/lease"
)

// stage is a part of the time between the moment when a task can start and the moment when its
// end is persisted, apart from its run time.
type stage int

const (
	// stagePlace lasts until the task is assigned to a host. It includes the wait for capacity.
	stagePlace stage = iota
	// stagePersist lasts until the assignment is persisted, stageSend until the start command
	// is sent, and stageConfirm until the host has confirmed it.
	stagePersist
	stageSend
	stageConfirm
	// stageReport lasts from the host's report of an end until the report is processed, and
	// stageEnd until the end is persisted.
	stageReport
	stageEnd
	stageCount
)

// stageTimes holds the time that tasks spent in each stage.
type stageTimes [stageCount]stageTime

// stageTime is the total time of a number of tasks in one stage.
type stageTime struct {
	total time.Duration
	count int
}

// add counts a task that was in the stage for some time.
func (s *stageTime) add(took time.Duration) {
	s.total += max(0, took)
	s.count++
}

// mean returns the mean time, 0 if no task was in the stage.
func (s *stageTime) mean() time.Duration {
	if s.count == 0 {
		return 0
	}
	return (s.total / time.Duration(s.count)).Round(time.Millisecond)
}

// countStage counts a task that was in a stage for some time. c.mu must be held.
func (c *Cell) countStage(s stage, took time.Duration) { c.activity.stages[s].add(took) }

// countReported counts the ends that a host reports for the first time, at a local time. c.mu must be held.
func (c *Cell) countReported(h *host, reply lease.HeartbeatReply, now time.Duration) {
	for _, f := range reply.Finished {
		if f.Sequence > h.reportedSequence {
			c.countStage(stageReport, now-h.clock.ReadAfter(reply.HostTime))
		}
	}
}

// countPlaced counts a task that is assigned to a host. It could start once its round was due and
// the last run of the job had ended. c.mu must be held.
func (c *Cell) countPlaced(e *jobEntry, round int, now time.Time) {
	c.countStage(stagePlace, min(now.Sub(e.job.DueTime(round)), now.Sub(e.lastEnd)))
}

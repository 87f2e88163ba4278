package sched

import (
	"time"

	"rattanpath/place"
	"rattanpath/tasks"
)

// The members of a gang make progress only while all of them run, and end if the others
// don't start within a few seconds. Therefore the start of a gang is predicted before any
// of its members is assigned, and its commands are sent faster than others.
const (
	// gangStartTime is how long the start commands of a gang may take by the prediction.
	gangStartTime = 1500 * time.Millisecond
	// gangTransferTime is how long they may keep the node's share of the link busy, which is
	// known better: with what is queued before, it ends before maxGangStartDelay.
	gangTransferTime = 2 * time.Second
	// maxGangStartDelay replaces maxStartDelay for the members of a gang: to drop the last
	// ones would leave the others incomplete. It leaves members that have started before
	// time to wait.
	maxGangStartDelay = 2500 * time.Millisecond
	// quickGangStartTime is the time for which the number of senders is chosen.
	quickGangStartTime = 500 * time.Millisecond
	// maxGangSenders replaces maxStartSenders while members of gangs wait. The other
	// connections to a host are left to its heartbeats, stops and paces.
	maxGangSenders = 8
	// typicalReplyTime is assumed if the mean is less: it starts from 0 and follows slowly.
	typicalReplyTime = 5 * time.Millisecond
	// maxReplyTimeAge is how long after the last reply its mean time predicts further ones:
	// a gang that waits for quicker replies must not wait for ever where nothing else starts.
	maxReplyTimeAge = 3 * time.Second
)

// isGangMember reports whether a run is a member of a gang.
func (r *run) isGangMember() bool { return r.entry != nil && r.entry.job.Step(r.id).Gang }

// maxStartDelay returns how long after its record was written the run may still be started.
func (r *run) maxStartDelay() time.Duration {
	if r.isGangMember() {
		return maxGangStartDelay
	}
	return maxStartDelay
}

// maxSenders returns how many start commands to the host may wait for its reply at a time.
func (c *Cell) maxSenders(h *host) int {
	if h.queuedMembers == 0 {
		return maxStartSenders
	}
	needed := sendersFor(h.queuedMembers, c.replyTime.average())
	return min(max(needed, maxStartSenders), maxGangSenders)
}

// sendersFor returns how many senders send a number of commands in quickGangStartTime, if
// each waits for replies that take a time.
func sendersFor(commands int, reply time.Duration) int {
	total := time.Duration(commands) * max(reply, typicalReplyTime)
	return int((total + quickGangStartTime - 1) / quickGangStartTime)
}

// membersPerHost returns how many members of a gang one host can start in time, or 0 if
// nothing is known of the time that replies take at present.
func (c *Cell) membersPerHost() int {
	reply := c.replyTime.average()
	if reply <= 0 || c.options.Clock()-c.startRepliedAt > maxReplyTimeAge {
		return 0
	}
	return max(1, int(maxGangSenders*gangStartTime/reply))
}

// withStartableMembers returns the requirements of a gang with a limit on the members per
// host, if one host couldn't start all of them in time.
func (c *Cell) withStartableMembers(reqs place.Requirements, count int) place.Requirements {
	limit := c.membersPerHost()
	if limit == 0 || limit >= count || reqs.Step.MaxPerHost > 0 && reqs.Step.MaxPerHost <= limit {
		return reqs
	}
	step := *reqs.Step
	step.MaxPerHost = limit
	reqs.Step = &step
	return reqs
}

// gangError returns an error if the link takes too long for the start commands of a gang of
// the job, even if nothing else is sent.
func (c *Cell) gangError(e *jobEntry) error {
	link := c.options.Link
	if link.starts == nil {
		return nil
	}
	for i := range e.job.Plan.Steps {
		if step := &e.job.Plan.Steps[i]; step.Gang && link.transferTime(step.Count*e.startSize()) > gangTransferTime {
			return &GangError{Step: i, Members: step.Count, Bytes: e.startSize()}
		}
	}
	return nil
}

// abandonGangStart gives up the start of a gang of which a member can't be started: the
// members that were started would only wait for it and hold their hosts. c.mu must be held.
func (c *Cell) abandonGangStart(r *run) {
	if !r.isGangMember() || r.entry.job.Phase != tasks.Open {
		return
	}
	r.entry.job.ForEachActive(func(taskID tasks.ID, task *tasks.Task) {
		if taskID.Round != r.id.Round || taskID.Step != r.id.Step || task.Run != r.number {
			return
		}
		h, member := c.runOf(r.entry, taskID)
		switch {
		case member == nil:
		case member.state == runPlanned:
			c.dropRun(h, member, "another member of the gang can't be started")
		default:
			c.stopRun(h, member)
		}
	})
}

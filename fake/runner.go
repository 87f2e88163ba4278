package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	// callLatency is the time that a call takes to reach a host.
	callLatency = time.Millisecond
	// defaultStopTime is the time that a run takes to end after a stop command,
	// unless SetStopTime changes it.
	defaultStopTime = 100 * time.Millisecond
	// initialClock is the reading of a host's clock at the start of an incarnation.
	initialClock = 1000 * time.Millisecond
)

// RunProfile describes how a simulated run behaves.
type RunProfile struct {
	// Duration is the run time and EndReason the outcome of a run that ends by itself.
	Duration  time.Duration
	EndReason tasks.EndReason
	// Serving means that the run goes on until it is stopped.
	Serving bool
	// StartupTime is the time until the run reports load and, if it is a serving run,
	// serves.
	StartupTime time.Duration
	// Stalls means that the run's progress stops at half of its duration.
	Stalls bool
	// Silent means that the run reports no progress before its end.
	Silent bool
	// CrashesHost means that the run crashes its host shortly after its start. The host
	// is back some seconds later.
	CrashesHost bool
	// Interference is how strongly the run slows the serving runs of its host at a full
	// share, in the unit of TailLatency's argument.
	Interference float64
	// TailLatency returns the tail response time of a serving run, given the sum of the
	// interference of all runs on its host.
	TailLatency func(interference float64) time.Duration
}

// Runner is a fake upstream host that runs tasks under a lease.
type Runner struct {
	checker *InvariantChecker
	profile func(task tasks.ID, run int) RunProfile

	mu   sync.Mutex
	info pool.Host
	// startedAt is the start of the current incarnation.
	startedAt time.Time
	clockRate float64
	// token is the highest fencing token received.
	token int64
	// leaseExpiry is the reading of the host's clock at which the lease expires.
	leaseExpiry time.Duration
	runs        map[runKey]*taskRun
	// lastEndedRun is the highest run number of each task that has ended or received
	// a stop command. Runs up to it can't start again.
	lastEndedRun map[tasks.ID]int
	// finished holds the finished runs that the cell hasn't acknowledged.
	finished     []lease.FinishedRun
	lastSequence int64
	// replied is set once a caller has had a reply to a heartbeat of the current incarnation, and
	// heartbeats counts the accepted ones that were sent after that.
	replied    bool
	heartbeats int
	// expiredSequence is the sequence number of the last finished run at the time when
	// the lease last expired. The checker ignores acknowledgements up to it.
	expiredSequence int64
	finishedChanged core.Signal
	// unresponsive means that calls time out, down that connections are refused.
	unresponsive bool
	down         bool
	// commandsToDelay is how many more commands time out and take effect after
	// commandDelay.
	commandsToDelay int
	commandDelay    time.Duration
	// heartbeatsToDrop is how many more heartbeats hang.
	heartbeatsToDrop int
	stopTime         time.Duration
	advisor          *Advisor
	// formerCapacities holds the capacities that the host had before, oldest first.
	formerCapacities []formerCapacity
	// written is the newest record of the host, which writes none while silent is set.
	written hostRecord
	silent  bool
	// longestLease is the longest lease that the host grants.
	longestLease time.Duration
	// forgetsOnce means that a heartbeat that waits acknowledges no ends that come later.
	forgetsOnce bool
}

// runKey identifies a run. A task's next run may start while the previous one
// is still stopping.
type runKey struct {
	task tasks.ID
	run  int
}

type taskRun struct {
	task       tasks.ID
	run        int
	resources  tasks.Resources
	timer      *time.Timer
	checkpoint string
	startedAt  time.Time
	profile    RunProfile
	// share is the share of its CPU time that the run may use, in percent.
	share int
}

// percent returns the progress of the run in percent, or that of its startup if it
// is a serving run.
func (r *taskRun) percent() int {
	duration := r.profile.Duration
	if r.profile.Silent {
		return 0
	}
	if r.profile.Stalls {
		return min(maxPercent/2, int(maxPercent*time.Since(r.startedAt)/duration))
	}
	if r.profile.Serving {
		duration = r.profile.StartupTime
	}
	if duration <= 0 {
		return maxPercent
	}
	return int(min(maxPercent, maxPercent*time.Since(r.startedAt)/duration))
}

// maxPercent is the reported progress of a run that is complete or serves, and a
// full share.
const maxPercent = 100

// load returns the reported load of a run: the tail response time in milliseconds
// if it serves, or else the CPU time that it uses, in thousandths of a core. It is
// 0 during startup.
func (r *Runner) load(run *taskRun) float64 {
	switch {
	case time.Since(run.startedAt) < run.profile.StartupTime:
		return 0
	case run.profile.TailLatency != nil:
		return float64(run.profile.TailLatency(r.interference()).Milliseconds())
	default:
		return float64(run.resources.CPU)
	}
}

// interference returns the total interference of the runs, weighted by their shares.
func (r *Runner) interference() float64 {
	sum := 0.0
	for _, run := range r.runs {
		sum += run.profile.Interference * float64(run.share) / maxPercent
	}
	return sum
}

// TailLatency returns the tail response time of a serving task, or 0 if the host
// doesn't run it.
func (r *Runner) TailLatency(task tasks.ID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, run := range r.runs {
		if key.task == task && run.profile.TailLatency != nil {
			return run.profile.TailLatency(r.interference())
		}
	}
	return 0
}

// SetAdvisor makes start commands require a valid ticket of an advisor.
func (r *Runner) SetAdvisor(advisor *Advisor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advisor = advisor
}

// NewRunner returns a host whose first incarnation starts now. Its clock runs
// clockRate times as fast as the real one. The profile function describes each run.
func NewRunner(info pool.Host, clockRate float64, checker *InvariantChecker, profile func(task tasks.ID, run int) RunProfile) *Runner {
	r := &Runner{info: info, clockRate: clockRate, checker: checker, profile: profile, stopTime: defaultStopTime, longestLease: maxLease}
	r.startIncarnation()
	r.written = hostRecord{info: r.info, at: r.startedAt}
	r.written.info.HostTime = r.clock()
	return r
}

func (r *Runner) startIncarnation() {
	r.startedAt = time.Now()
	r.info.Incarnation = r.startedAt.UnixMilli()
	r.token, r.leaseExpiry, r.lastSequence, r.expiredSequence = 0, 0, 0, 0
	r.runs = make(map[runKey]*taskRun)
	r.lastEndedRun = make(map[tasks.ID]int)
	r.finished = nil
	r.heartbeats, r.replied = 0, false
}

// Info returns a copy of the host record.
func (r *Runner) Info() *pool.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	info := r.info
	return &info
}

// HostTime returns the reading of the host's clock.
func (r *Runner) HostTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock()
}

// clock returns the reading of the host's clock. The caller holds mu.
func (r *Runner) clock() time.Duration {
	return (initialClock + time.Duration(float64(time.Since(r.startedAt))*r.clockRate)).Truncate(time.Millisecond)
}

// receiveCall waits for callLatency and returns an error if the call doesn't reach
// the host.
func (r *Runner) receiveCall(ctx context.Context) error {
	if err := core.Sleep(ctx, callLatency); err != nil {
		return err
	}
	r.mu.Lock()
	unresponsive, down := r.unresponsive, r.down
	r.mu.Unlock()
	switch {
	case unresponsive:
		return awaitTimeout(ctx)
	case down:
		return lease.ErrNotSent
	default:
		return nil
	}
}

// checkToken refuses a fencing token below the highest one received, or else stores
// it.
func (r *Runner) checkToken(token int64) lease.Reply {
	reply := lease.Reply{HostTime: r.clock()}
	if token < r.token {
		reply.Reason = lease.RefusedFenced
		return reply
	}
	r.token = token
	return reply
}

// Start handles a start command for a task that requires the resources.
func (r *Runner) Start(ctx context.Context, command lease.StartCommand, resources tasks.Resources) (lease.Reply, error) {
	if err := r.receiveCall(ctx); err != nil {
		return lease.Reply{}, err
	}
	sent := time.Now()
	if r.delayCommand(func() { r.start(command, resources, sent) }) {
		return lease.Reply{}, awaitTimeout(ctx)
	}
	return r.start(command, resources, sent), nil
}

func (r *Runner) start(command lease.StartCommand, resources tasks.Resources, sent time.Time) lease.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	reply := r.checkToken(command.Token)
	if reply.Reason != lease.Accepted {
		return reply
	}
	r.leaseExpiry = max(r.leaseExpiry, min(command.LeaseExpiry, r.clock()+r.longestLease))
	switch {
	case r.runs[runKey{command.Task, command.Run}] != nil:
	case command.Run <= r.lastEndedRun[command.Task]:
		reply.Reason = lease.RefusedStaleRun
	case command.LeaseExpiry <= r.clock():
		reply.Reason = lease.RefusedLeaseExpired
	case r.advisor != nil && !r.advisor.isValid(command.Ticket, command.Task, r.info.ID):
		reply.Reason = lease.RefusedTicket
		r.checker.recordInvalidTicket()
	default:
		r.startRun(command, resources, sent)
	}
	return reply
}

// maxLease is the longest lease that a host grants, unless SetLongestLease changes it.
const maxLease = 6 * time.Second

func (r *Runner) startRun(command lease.StartCommand, resources tasks.Resources, sent time.Time) {
	profile := r.profile(command.Task, command.Run)
	run := &taskRun{task: command.Task, run: command.Run, resources: resources, checkpoint: command.Checkpoint, startedAt: time.Now(), profile: profile, share: maxPercent}
	duration := profile.Duration
	if profile.Stalls {
		duration = time.Hour
	}
	if profile.Serving {
		duration = time.Hour
		After(profile.StartupTime, func() { r.markServing(run) })
	}
	run.timer = time.AfterFunc(duration, func() { r.finishRun(run, profile.EndReason) })
	if profile.CrashesHost {
		time.AfterFunc(crashDelay, func() { r.crashUnder(run) })
	}
	r.runs[runKey{command.Task, command.Run}] = run
	r.checker.recordStart(r.info.ID, command.Task, command.Run, r.allowedCapacity(sent).CanFit(r.used()))
}

// markServing reports to the checker that a run serves, unless it has ended.
func (r *Runner) markServing(run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[runKey{run.task, run.run}] == run {
		r.checker.recordServing(run.task)
	}
}

// finishRun ends a run unless it has ended already.
func (r *Runner) finishRun(run *taskRun, reason tasks.EndReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[runKey{run.task, run.run}] != run {
		return
	}
	r.endRun(run, reason)
}

func (r *Runner) endRun(run *taskRun, reason tasks.EndReason) {
	run.timer.Stop()
	delete(r.runs, runKey{run.task, run.run})
	r.lastEndedRun[run.task] = max(r.lastEndedRun[run.task], run.run)
	r.lastSequence++
	r.finished = append(r.finished, lease.FinishedRun{Sequence: r.lastSequence, Task: run.task, Run: run.run, Reason: reason, Checkpoint: run.checkpoint})
	r.checker.recordEnd(r.info.ID, run.task, run.run, reason)
	if reason == tasks.EndStopped {
		r.checker.recordStop(run.task, run.profile.Serving && run.percent() == maxPercent && !r.info.Draining)
	}
	r.finishedChanged.Notify()
}

// expireLease ends all runs if the lease has expired; the caller holds mu.
func (r *Runner) expireLease() {
	if r.clock() < r.leaseExpiry {
		return
	}
	for _, run := range r.runs {
		r.endRun(run, tasks.EndLeaseExpired)
	}
	r.expiredSequence = r.lastSequence
}

// Stop handles a stop command. The run ends after the stop time.
func (r *Runner) Stop(ctx context.Context, command lease.StopCommand) (lease.Reply, error) {
	if err := r.receiveCall(ctx); err != nil {
		return lease.Reply{}, err
	}
	if r.delayCommand(func() { r.stop(command) }) {
		return lease.Reply{}, awaitTimeout(ctx)
	}
	return r.stop(command), nil
}

func (r *Runner) stop(command lease.StopCommand) lease.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	reply := r.checkToken(command.Token)
	if reply.Reason != lease.Accepted {
		return reply
	}
	r.lastEndedRun[command.Task] = max(r.lastEndedRun[command.Task], command.Run)
	if run := r.runs[runKey{command.Task, command.Run}]; run != nil {
		After(r.stopTime, func() { r.finishRun(run, tasks.EndStopped) })
	}
	return reply
}

// Pace handles a pace command, which sets a run's share.
func (r *Runner) Pace(ctx context.Context, command lease.PaceCommand) (lease.Reply, error) {
	if err := r.receiveCall(ctx); err != nil {
		return lease.Reply{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.checkToken(command.Token)
	if reply.Reason != lease.Accepted {
		return reply, nil
	}
	if run := r.runs[runKey{command.Task, command.Run}]; run != nil {
		run.share = command.Share
	}
	return reply, nil
}

// Heartbeat extends the lease and returns the active and finished runs. It waits
// for at most heartbeat.Wait for a finished run.
func (r *Runner) Heartbeat(ctx context.Context, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	reply, err := r.receiveHeartbeat(ctx, heartbeat, r.knownIncarnation())
	if err == nil {
		r.recordReply(reply)
	}
	return reply, err
}

// knownIncarnation returns the current incarnation, or 0 if no caller has had a reply to a heartbeat
// of it.
func (r *Runner) knownIncarnation() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.replied {
		return 0
	}
	return r.info.Incarnation
}

// recordReply records that the reply to a heartbeat has reached its caller.
func (r *Runner) recordReply(reply lease.HeartbeatReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replied = r.replied || reply.Incarnation == r.info.Incarnation
}

// receiveHeartbeat handles a heartbeat that was sent when callers knew an incarnation, see
// knownIncarnation.
func (r *Runner) receiveHeartbeat(ctx context.Context, heartbeat lease.Heartbeat, known int64) (lease.HeartbeatReply, error) {
	if err := r.receiveCall(ctx); err != nil {
		return lease.HeartbeatReply{}, err
	}
	if r.dropHeartbeat() {
		return lease.HeartbeatReply{}, core.Sleep(ctx, time.Hour)
	}
	deadline := time.Now().Add(heartbeat.Wait)
	incarnation := r.Info().Incarnation
	for {
		if r.Info().Incarnation != incarnation {
			// The connection closed with the incarnation that received the call.
			return lease.HeartbeatReply{}, errNoResponse
		}
		reply, changed := r.heartbeat(heartbeat, known)
		if !r.forgetsWhileWaiting() {
			heartbeat.Acknowledged = 0
		}
		remaining := time.Until(deadline)
		if len(reply.Finished) > 0 || remaining <= 0 || reply.Reason != lease.Accepted {
			return reply, r.receiveCall(ctx)
		}
		select {
		case <-changed:
		case <-time.After(remaining):
		case <-ctx.Done():
			return lease.HeartbeatReply{}, ctx.Err()
		}
	}
}

func (r *Runner) heartbeat(heartbeat lease.Heartbeat, known int64) (lease.HeartbeatReply, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	reply := lease.HeartbeatReply{Reply: r.checkToken(heartbeat.Token), Incarnation: r.info.Incarnation}
	if reply.Reason != lease.Accepted {
		return reply, nil
	}
	if known == r.info.Incarnation {
		r.heartbeats++
	}
	if heartbeat.LeaseExpiry > 0 {
		r.leaseExpiry = max(r.leaseExpiry, min(heartbeat.LeaseExpiry, r.clock()+r.longestLease))
	}
	for _, finished := range r.finished {
		if finished.Sequence > r.expiredSequence && finished.Sequence <= heartbeat.Acknowledged {
			r.checker.recordAcknowledged(finished)
		}
	}
	r.finished = slices.DeleteFunc(r.finished, func(finished lease.FinishedRun) bool { return finished.Sequence <= heartbeat.Acknowledged })
	reply.Finished = slices.Clone(r.finished)
	for _, run := range r.runs {
		reply.Runs = append(reply.Runs, lease.Run{Task: run.task, Run: run.run, Checkpoint: run.checkpoint, Percent: run.percent(), Load: r.load(run)})
	}
	return reply, r.finishedChanged.Changed()
}

// Run ends the runs when the lease expires. It returns when ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for core.Sleep(ctx, 10*time.Millisecond) == nil {
		r.mu.Lock()
		r.expireLease()
		r.mu.Unlock()
	}
}

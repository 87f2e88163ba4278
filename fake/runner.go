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
	// callLatency is the time of a call of a host.
	callLatency = time.Millisecond
	// defaultStopTime is the time that a run takes to stop, unless it is told otherwise.
	defaultStopTime = 100 * time.Millisecond
	// initialClock is what a host's clock shows when it is born.
	initialClock = 1000 * time.Millisecond
)

// RunProfile says how a run goes: how long it takes and how it ends. Without an end it
// goes on until it is stopped.
type RunProfile struct {
	Duration  time.Duration
	EndReason tasks.EndReason
	// Serving means that the run never ends by itself.
	Serving bool
	// StartupTime is the time in which the run isn't at work yet.
	StartupTime time.Duration
	// Stalls means that the run stands still halfway.
	Stalls bool
	// Interference is how much the run disturbs those that serve, and Tail returns the
	// response time of a run that serves beside so much disturbance.
	Interference float64
	TailLatency  func(interference float64) time.Duration
}

// Runner is a stand-in for an upstream host that runs tasks under a lease.
type Runner struct {
	checker *InvariantChecker
	profile func(task tasks.ID, run int) RunProfile

	mu           sync.Mutex
	info         pool.Host
	startedAt    time.Time
	clockRate    float64
	token        int64
	leaseExpiry  time.Duration
	runs         map[runKey]*taskRun
	lastEndedRun map[tasks.ID]int
	finished     []lease.FinishedRun
	lastSequence int64
	// heartbeats counts the holds of the present life.
	heartbeats int
	// expiredSequence is the last end before the lease last ran out: noting those that came
	// before doesn't count.
	expiredSequence int64
	finishedChanged core.Signal
	// unresponsive means that no call arrives; refuses that none connects.
	unresponsive bool
	down         bool
	// commandsToDelay is how many orders are carried out late and not answered.
	commandsToDelay int
	commandDelay    time.Duration
	// heartbeatsToDrop is how many holds get no answer.
	heartbeatsToDrop int
	stopTime         time.Duration
	advisor          *Advisor
}

// runKey names a run: a higher run of a task may begin while a lower one stops.
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
	// share is how hard the run works, in percent.
	share int
}

// percent returns how far the run is: a serving one through its startup.
func (r *taskRun) percent() int {
	duration := r.profile.Duration
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

// maxPercent is what a host shows of a run that is done or at work.
const maxPercent = 100

// load returns what a host shows of a run's load: the tail of its response times
// in milliseconds if it serves, or else the processor time that it uses.
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

// interference is what the runs that fill add up to.
func (r *Runner) interference() float64 {
	sum := 0.0
	for _, run := range r.runs {
		sum += run.profile.Interference * float64(run.share) / maxPercent
	}
	return sum
}

// TailLatency returns the response time of a task that serves on the host, or 0.
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

// SetAdvisor makes starts need a ticket of an advisor.
func (r *Runner) SetAdvisor(advisor *Advisor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advisor = advisor
}

// NewRunner returns a host that is born now. Its clock runs at drift times the
// real one.
func NewRunner(info pool.Host, clockRate float64, checker *InvariantChecker, profile func(task tasks.ID, run int) RunProfile) *Runner {
	r := &Runner{info: info, clockRate: clockRate, checker: checker, profile: profile, stopTime: defaultStopTime}
	r.startIncarnation()
	return r
}

func (r *Runner) startIncarnation() {
	r.startedAt = time.Now()
	r.info.Incarnation = r.startedAt.UnixMilli()
	r.token, r.leaseExpiry, r.lastSequence, r.expiredSequence = 0, 0, 0, 0
	r.runs = make(map[runKey]*taskRun)
	r.lastEndedRun = make(map[tasks.ID]int)
	r.finished = nil
	r.heartbeats = 0
}

// Info returns what the host says of itself.
func (r *Runner) Info() *pool.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	info := r.info
	return &info
}

// clock returns what the host's clock shows.
func (r *Runner) clock() time.Duration {
	return (initialClock + time.Duration(float64(time.Since(r.startedAt))*r.clockRate)).Truncate(time.Millisecond)
}

// receiveCall spends the time of a call and says whether it arrives.
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

// checkToken takes in the token of an order and refuses one that is lower than another
// before.
func (r *Runner) checkToken(token int64) lease.Reply {
	reply := lease.Reply{HostTime: r.clock()}
	if token < r.token {
		reply.Reason = lease.RefusedFenced
		return reply
	}
	r.token = token
	return reply
}

// Start tells the host to start a run.
func (r *Runner) Start(ctx context.Context, command lease.StartCommand, resources tasks.Resources) (lease.Reply, error) {
	if err := r.receiveCall(ctx); err != nil {
		return lease.Reply{}, err
	}
	if r.delayCommand(func() { r.start(command, resources) }) {
		return lease.Reply{}, awaitTimeout(ctx)
	}
	return r.start(command, resources), nil
}

func (r *Runner) start(command lease.StartCommand, resources tasks.Resources) lease.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	reply := r.checkToken(command.Token)
	if reply.Reason != lease.Accepted {
		return reply
	}
	r.leaseExpiry = max(r.leaseExpiry, min(command.LeaseExpiry, r.clock()+maxLease))
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
		r.startRun(command, resources)
	}
	return reply
}

// maxLease is the longest lease that a host grants.
const maxLease = 6 * time.Second

func (r *Runner) startRun(command lease.StartCommand, resources tasks.Resources) {
	profile := r.profile(command.Task, command.Run)
	run := &taskRun{task: command.Task, run: command.Run, resources: resources, checkpoint: command.Checkpoint, startedAt: time.Now(), profile: profile, share: maxPercent}
	duration := profile.Duration
	if profile.Stalls {
		duration = time.Hour
	}
	if profile.Serving {
		duration = time.Hour
		time.AfterFunc(profile.StartupTime, func() { r.markServing(run) })
	}
	run.timer = time.AfterFunc(duration, func() { r.finishRun(run, profile.EndReason) })
	r.runs[runKey{command.Task, command.Run}] = run
	var used tasks.Resources
	for _, other := range r.runs {
		used = used.Add(other.resources)
	}
	r.checker.recordStart(r.info.ID, command.Task, command.Run, r.info.Capacity.CanFit(used))
}

// markServing notes that a run has begun to serve.
func (r *Runner) markServing(run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[runKey{run.task, run.run}] == run {
		r.checker.recordServing(run.task)
	}
}

// finishRun ends a run.
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

// expireLease ends everything once the lease is over.
func (r *Runner) expireLease() {
	if r.clock() < r.leaseExpiry {
		return
	}
	for _, run := range r.runs {
		r.endRun(run, tasks.EndLeaseExpired)
	}
	r.expiredSequence = r.lastSequence
}

// Stop tells the host to end a run.
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
		time.AfterFunc(r.stopTime, func() { r.finishRun(run, tasks.EndStopped) })
	}
	return reply
}

// Pace tells the host how hard a run is to work.
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

// Heartbeat extends the lease and lists runs and ends.
func (r *Runner) Heartbeat(ctx context.Context, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
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
			// The connection ended with the life that took the call.
			return lease.HeartbeatReply{}, errNoResponse
		}
		reply, changed := r.heartbeat(heartbeat)
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

func (r *Runner) heartbeat(heartbeat lease.Heartbeat) (lease.HeartbeatReply, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	reply := lease.HeartbeatReply{Reply: r.checkToken(heartbeat.Token), Incarnation: r.info.Incarnation}
	if reply.Reason != lease.Accepted {
		return reply, nil
	}
	r.heartbeats++
	if heartbeat.LeaseExpiry > 0 {
		r.leaseExpiry = max(r.leaseExpiry, min(heartbeat.LeaseExpiry, r.clock()+maxLease))
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

// Run lets the lease run out in time; it returns when ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for core.Sleep(ctx, 10*time.Millisecond) == nil {
		r.mu.Lock()
		r.expireLease()
		r.mu.Unlock()
	}
}

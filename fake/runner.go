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
	// hostLatency is the time of a call of a host.
	hostLatency = time.Millisecond
	// hostStop is the time that a run takes to stop, unless it is told otherwise.
	hostStop = 100 * time.Millisecond
	// firstClock is what a host's clock shows when it is born.
	firstClock = 1000 * time.Millisecond
)

// Work says how a run goes: how long it takes and how it ends. Without an end it
// goes on until it is stopped.
type Work struct {
	Time time.Duration
	End  tasks.EndReason
	// Lasting means that the run never ends by itself.
	Lasting bool
	// Startup is the time in which the run isn't at work yet.
	Startup time.Duration
	// Stalls means that the run stands still halfway.
	Stalls bool
	// Fills is how much the run disturbs those that serve, and Tail returns the
	// response time of a run that serves beside so much disturbance.
	Fills float64
	Tail  func(disturbance float64) time.Duration
}

// Runner is a stand-in for an upstream host that runs tasks under a lease.
type Runner struct {
	judge *Judge
	work  func(name tasks.ID, run int) Work

	mu      sync.Mutex
	info    pool.Host
	born    time.Time
	drift   float64
	token   int64
	until   time.Duration
	runs    map[runKey]*running
	barred  map[tasks.ID]int
	ends    []lease.FinishedRun
	numbers int64
	// holds counts the holds of the present life.
	holds int
	// lapsed is the last end before the lease last ran out: noting those that came
	// before doesn't count.
	lapsed  int64
	changed core.Signal
	// silent means that no call arrives; refuses that none connects.
	silent  bool
	refuses bool
	// lateOrders is how many orders are carried out late and not answered.
	lateOrders int
	lateBy     time.Duration
	// lostHolds is how many holds get no answer.
	lostHolds int
	stopTime  time.Duration
	advisor   *Advisor
}

// runKey names a run: a higher run of a task may begin while a lower one stops.
type runKey struct {
	name tasks.ID
	run  int
}

type running struct {
	name  tasks.ID
	run   int
	room  tasks.Resources
	timer *time.Timer
	saved string
	begun time.Time
	work  Work
	// share is how hard the run works, in percent.
	share int
}

// percent returns how far the run is: a serving one through its startup.
func (r *running) percent() int {
	length := r.work.Time
	if r.work.Stalls {
		return min(wholePercent/2, int(wholePercent*time.Since(r.begun)/length))
	}
	if r.work.Lasting {
		length = r.work.Startup
	}
	if length <= 0 {
		return wholePercent
	}
	return int(min(wholePercent, wholePercent*time.Since(r.begun)/length))
}

// wholePercent is what a host shows of a run that is done or at work.
const wholePercent = 100

// load returns what a host shows of a run's load: the tail of its response times
// in milliseconds if it serves, or else the processor time that it uses.
func (r *Runner) load(run *running) float64 {
	switch {
	case time.Since(run.begun) < run.work.Startup:
		return 0
	case run.work.Tail != nil:
		return float64(run.work.Tail(r.disturbance()).Milliseconds())
	default:
		return float64(run.room.CPU)
	}
}

// disturbance is what the runs that fill add up to.
func (r *Runner) disturbance() float64 {
	sum := 0.0
	for _, run := range r.runs {
		sum += run.work.Fills * float64(run.share) / wholePercent
	}
	return sum
}

// Tail returns the response time of a task that serves on the host, or 0.
func (r *Runner) Tail(name tasks.ID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, run := range r.runs {
		if key.name == name && run.work.Tail != nil {
			return run.work.Tail(r.disturbance())
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
func NewRunner(info pool.Host, drift float64, judge *Judge, work func(name tasks.ID, run int) Work) *Runner {
	r := &Runner{info: info, drift: drift, judge: judge, work: work, stopTime: hostStop}
	r.birth()
	return r
}

func (r *Runner) birth() {
	r.born = time.Now()
	r.info.Incarnation = r.born.UnixMilli()
	r.token, r.until, r.numbers, r.lapsed = 0, 0, 0, 0
	r.runs = make(map[runKey]*running)
	r.barred = make(map[tasks.ID]int)
	r.ends = nil
	r.holds = 0
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
	return (firstClock + time.Duration(float64(time.Since(r.born))*r.drift)).Truncate(time.Millisecond)
}

// reach spends the time of a call and says whether it arrives.
func (r *Runner) reach(ctx context.Context) error {
	if err := core.Sleep(ctx, hostLatency); err != nil {
		return err
	}
	r.mu.Lock()
	silent, refuses := r.silent, r.refuses
	r.mu.Unlock()
	switch {
	case silent:
		return unanswered(ctx)
	case refuses:
		return lease.ErrNotSent
	default:
		return nil
	}
}

// meet takes in the token of an order and refuses one that is lower than another
// before.
func (r *Runner) meet(token int64) lease.Reply {
	reply := lease.Reply{HostTime: r.clock()}
	if token < r.token {
		reply.Reason = lease.RefusedFenced
		return reply
	}
	r.token = token
	return reply
}

// Start tells the host to start a run.
func (r *Runner) Start(ctx context.Context, order lease.StartCommand, room tasks.Resources) (lease.Reply, error) {
	if err := r.reach(ctx); err != nil {
		return lease.Reply{}, err
	}
	if r.late(func() { r.start(order, room) }) {
		return lease.Reply{}, unanswered(ctx)
	}
	return r.start(order, room), nil
}

func (r *Runner) start(order lease.StartCommand, room tasks.Resources) lease.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	reply := r.meet(order.Token)
	if reply.Reason != lease.Accepted {
		return reply
	}
	r.until = max(r.until, min(order.LeaseExpiry, r.clock()+maxHold))
	switch {
	case r.runs[runKey{order.Task, order.Run}] != nil:
	case order.Run <= r.barred[order.Task]:
		reply.Reason = lease.RefusedStaleRun
	case order.LeaseExpiry <= r.clock():
		reply.Reason = lease.RefusedLeaseExpired
	case r.advisor != nil && !r.advisor.holds(order.Ticket, order.Task, r.info.ID):
		reply.Reason = lease.RefusedTicket
		r.judge.ticketless()
	default:
		r.begin(order, room)
	}
	return reply
}

// maxHold is the longest lease that a host grants.
const maxHold = 6 * time.Second

func (r *Runner) begin(order lease.StartCommand, room tasks.Resources) {
	work := r.work(order.Task, order.Run)
	run := &running{name: order.Task, run: order.Run, room: room, saved: order.Checkpoint, begun: time.Now(), work: work, share: wholePercent}
	length := work.Time
	if work.Stalls {
		length = time.Hour
	}
	if work.Lasting {
		length = time.Hour
		time.AfterFunc(work.Startup, func() { r.serve(run) })
	}
	run.timer = time.AfterFunc(length, func() { r.finish(run, work.End) })
	r.runs[runKey{order.Task, order.Run}] = run
	var used tasks.Resources
	for _, other := range r.runs {
		used = used.Add(other.room)
	}
	r.judge.started(r.info.ID, order.Task, order.Run, r.info.Capacity.CanFit(used))
}

// serve notes that a run has begun to serve.
func (r *Runner) serve(run *running) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[runKey{run.name, run.run}] == run {
		r.judge.atWork(run.name)
	}
}

// finish ends a run.
func (r *Runner) finish(run *running, how tasks.EndReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[runKey{run.name, run.run}] != run {
		return
	}
	r.end(run, how)
}

func (r *Runner) end(run *running, how tasks.EndReason) {
	run.timer.Stop()
	delete(r.runs, runKey{run.name, run.run})
	r.barred[run.name] = max(r.barred[run.name], run.run)
	r.numbers++
	r.ends = append(r.ends, lease.FinishedRun{Sequence: r.numbers, Task: run.name, Run: run.run, Reason: how, Checkpoint: run.saved})
	r.judge.ended(r.info.ID, run.name, run.run, how)
	if how == tasks.EndStopped {
		r.judge.stopped(run.name, run.work.Lasting && run.percent() == wholePercent && !r.info.Draining)
	}
	r.changed.Notify()
}

// expire ends everything once the lease is over.
func (r *Runner) expire() {
	if r.clock() < r.until {
		return
	}
	for _, run := range r.runs {
		r.end(run, tasks.EndLeaseExpired)
	}
	r.lapsed = r.numbers
}

// Stop tells the host to end a run.
func (r *Runner) Stop(ctx context.Context, order lease.StopCommand) (lease.Reply, error) {
	if err := r.reach(ctx); err != nil {
		return lease.Reply{}, err
	}
	if r.late(func() { r.stop(order) }) {
		return lease.Reply{}, unanswered(ctx)
	}
	return r.stop(order), nil
}

func (r *Runner) stop(order lease.StopCommand) lease.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	reply := r.meet(order.Token)
	if reply.Reason != lease.Accepted {
		return reply
	}
	r.barred[order.Task] = max(r.barred[order.Task], order.Run)
	if run := r.runs[runKey{order.Task, order.Run}]; run != nil {
		time.AfterFunc(r.stopTime, func() { r.finish(run, tasks.EndStopped) })
	}
	return reply
}

// Pace tells the host how hard a run is to work.
func (r *Runner) Pace(ctx context.Context, order lease.PaceCommand) (lease.Reply, error) {
	if err := r.reach(ctx); err != nil {
		return lease.Reply{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.meet(order.Token)
	if reply.Reason != lease.Accepted {
		return reply, nil
	}
	if run := r.runs[runKey{order.Task, order.Run}]; run != nil {
		run.share = order.Share
	}
	return reply, nil
}

// Hold extends the lease and lists runs and ends.
func (r *Runner) Hold(ctx context.Context, order lease.Heartbeat) (lease.HeartbeatReply, error) {
	if err := r.reach(ctx); err != nil {
		return lease.HeartbeatReply{}, err
	}
	if r.losesHold() {
		return lease.HeartbeatReply{}, core.Sleep(ctx, time.Hour)
	}
	deadline := time.Now().Add(order.Wait)
	born := r.Info().Incarnation
	for {
		if r.Info().Incarnation != born {
			// The connection ended with the life that took the call.
			return lease.HeartbeatReply{}, errSilent
		}
		listing, changed := r.hold(order)
		left := time.Until(deadline)
		if len(listing.Finished) > 0 || left <= 0 || listing.Reason != lease.Accepted {
			return listing, r.reach(ctx)
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return lease.HeartbeatReply{}, ctx.Err()
		}
	}
}

func (r *Runner) hold(order lease.Heartbeat) (lease.HeartbeatReply, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	listing := lease.HeartbeatReply{Reply: r.meet(order.Token), Incarnation: r.info.Incarnation}
	if listing.Reason != lease.Accepted {
		return listing, nil
	}
	r.holds++
	if order.LeaseExpiry > 0 {
		r.until = max(r.until, min(order.LeaseExpiry, r.clock()+maxHold))
	}
	for _, end := range r.ends {
		if end.Sequence > r.lapsed && end.Sequence <= order.Acknowledged {
			r.judge.noted(end)
		}
	}
	r.ends = slices.DeleteFunc(r.ends, func(end lease.FinishedRun) bool { return end.Sequence <= order.Acknowledged })
	listing.Finished = slices.Clone(r.ends)
	for _, run := range r.runs {
		listing.Runs = append(listing.Runs, lease.Run{Task: run.name, Run: run.run, Checkpoint: run.saved, Percent: run.percent(), Load: r.load(run)})
	}
	return listing, r.changed.Changed()
}

// Watch lets the lease run out in time; it returns when ctx ends.
func (r *Runner) Watch(ctx context.Context) {
	for core.Sleep(ctx, 10*time.Millisecond) == nil {
		r.mu.Lock()
		r.expire()
		r.mu.Unlock()
	}
}

package sched

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/claim"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// hourRun returns the profile of a run that lasts for longer than any test.
func hourRun(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Hour} }

// faultyClient is the client of a node whose start commands hosts refuse as late while refusing is
// set. Replies on their way are lost once cutOff is set.
type faultyClient struct {
	lease.HostClient
	refusing atomic.Bool
	cutOff   atomic.Bool
}

// Start implements lease.HostClient.
func (c *faultyClient) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	if c.refusing.Load() {
		return lease.Reply{Reason: lease.RefusedLeaseExpired}, nil
	}
	return c.HostClient.Start(ctx, host, command)
}

// Heartbeat implements lease.HostClient.
func (c *faultyClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	reply, err := c.HostClient.Heartbeat(ctx, host, heartbeat)
	if err == nil && c.cutOff.Load() {
		return lease.HeartbeatReply{}, context.DeadlineExceeded
	}
	return reply, err
}

// lostHost is a scene in which the host of a task goes away for good.
type lostHost struct {
	*testCluster
	owner  *node
	client *faultyClient
	hold   atomic.Int64
	id     string
}

// runState returns the state of the task's run as the owner knows it.
func (s *lostHost) runState(h *host) (runState, bool) {
	for _, r := range h.runs {
		if r.id.Job == "job" {
			return r.state, true
		}
	}
	return 0, false
}

// awaitState waits until the task has a run in a state, on the host that is to go.
func (s *lostHost) awaitState(state runState) {
	s.t.Helper()
	for range 100_000 {
		s.owner.cell.mu.Lock()
		for id, h := range s.owner.cell.hosts {
			if got, exists := s.runState(h); exists && got == state {
				s.id = id
				s.owner.cell.mu.Unlock()
				return
			}
		}
		s.owner.cell.mu.Unlock()
		time.Sleep(100 * time.Microsecond)
	}
	s.t.Fatalf("the task got no run in state %d", state)
}

// submitJob submits the job of the task, in the background since the store may not answer.
func (s *lostHost) submitJob() {
	go func() { _ = s.submit(s.owner, "job", simplePlan(1, 1000)) }()
}

// TestRunOfLostHostIsGivenUp guards against a task that waits for a host that is gone: whatever the
// owner knows of the run, and however the host goes, the task must have its next run on another
// host a second after the last lease that the host may hold.
func TestRunOfLostHostIsGivenUp(t *testing.T) {
	states := []struct {
		name  string
		state runState
		begin func(*lostHost)
	}{
		{"planned", runPlanned, func(s *lostHost) {
			time.Sleep(990 * time.Millisecond)
			s.hold.Store(int64(500 * time.Millisecond))
			s.submitJob()
		}},
		{"starting", runStarting, func(s *lostHost) {
			s.delayStarts()
			s.submitJob()
		}},
		{"unconfirmed", runUnconfirmed, func(s *lostHost) {
			s.delayStarts()
			s.submitJob()
		}},
		{"settled", runSettled, func(s *lostHost) { s.submitJob() }},
		{"unverified", runUnverified, func(s *lostHost) {
			s.submitJob()
			s.awaitState(runSettled)
			time.Sleep(time.Second)
			s.restart()
		}},
		{"inherited", runInherited, func(s *lostHost) {
			s.submitJob()
			s.awaitState(runSettled)
			time.Sleep(time.Second)
			s.kill(s.owner)
			s.owner = s.claim("b")
		}},
	}
	ways := []struct {
		name string
		// resets is set if the owner then knows nothing of the leases on the host, and silent if a
		// start command that was not sent, or not answered before, gets no answer.
		resets, silent bool
		goes           func(*lostHost)
	}{
		{"crash", false, false, func(s *lostHost) { s.runners[s.id].Crash() }},
		{"cut off", false, true, func(s *lostHost) { s.cutOff() }},
		{"crash without record", false, false, func(s *lostHost) {
			s.runners[s.id].Crash()
			s.owner.hosts.SetUnlisted(s.id, true)
		}},
		{"cut off without record", false, true, func(s *lostHost) {
			s.cutOff()
			s.owner.hosts.SetUnlisted(s.id, true)
		}},
		{"restarted, then cut off", true, false, func(s *lostHost) {
			s.restart()
			s.awaitRestart()
			s.cutOff()
		}},
		{"restarted twice, then crash", true, false, func(s *lostHost) {
			s.restart()
			s.awaitRestart()
			s.restart()
			s.awaitRestart()
			s.runners[s.id].Crash()
		}},
		{"start refused as late, then cut off", true, true, func(s *lostHost) {
			s.refuseStart()
			s.cutOff()
		}},
	}
	for _, state := range states {
		for _, way := range ways {
			t.Run(state.name+"/"+way.name, func(t *testing.T) {
				runCluster(t, 2, func(tc *testCluster) {
					tc.profileOf = hourRun
					s := &lostHost{testCluster: tc, client: &faultyClient{}}
					tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
						// Calls on their way are lost as well when a host is cut off.
						hosts.(*fake.HostClient).SetLatency(func(string, any) fake.Latency { return fake.Latency{Request: 2 * time.Millisecond} })
						s.client = &faultyClient{HostClient: hosts}
						return s.client
					}
					tc.wrapJournal = func(journal claim.Journal) claim.Journal { return heldJournal{journal, &s.hold} }
					s.owner = tc.claim("a")
					time.Sleep(100 * time.Millisecond)
					state.begin(s)
					s.awaitState(state.state)
					s.answerStarts()
					way.goes(s)
					unanswered := state.state == runUnconfirmed || way.silent && (state.state == runPlanned || state.state == runStarting)
					s.wantNextRun(state.state, way.resets || state.state == runUnverified, unanswered)
				})
			})
		}
	}
}

// delayStarts makes the next start command take effect when the host has long gone.
func (s *lostHost) delayStarts() {
	for _, runner := range s.runners {
		runner.DelayCommands(1, 30*time.Second)
	}
}

// answerStarts lets the next run start on the other host.
func (s *lostHost) answerStarts() {
	for id, runner := range s.runners {
		if id != s.id {
			runner.DelayCommands(0, 0)
		}
	}
}

// restart starts a new incarnation of the host.
func (s *lostHost) restart() {
	s.runners[s.id].Crash()
	time.Sleep(10 * time.Millisecond)
	s.runners[s.id].Restart()
}

// cutOff cuts the host off from its owner. No other host is in use then.
func (s *lostHost) cutOff() {
	s.owner.hosts.SetPartitioned(s.id, true)
	s.client.cutOff.Store(true)
	// The reply to a heartbeat that the host has just got comes after its wait.
	time.AfterFunc(2*heartbeatWait, func() { s.client.cutOff.Store(false) })
}

// awaitRestart waits until the owner knows of the restart of the host.
func (s *lostHost) awaitRestart() {
	s.t.Helper()
	before := s.owner.restartsOf(s.id)
	for range 50_000 {
		if s.owner.restartsOf(s.id) > before {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// refuseStart makes the host refuse the start command of another job as late.
func (s *lostHost) refuseStart() {
	other := "h0"
	if s.id == other {
		other = "h1"
	}
	if _, err := s.owner.cell.Cordon([]string{other}, time.Second, false); err != nil {
		s.t.Fatal(err)
	}
	s.client.refusing.Store(true)
	_ = s.submit(s.owner, "other", simplePlan(1, 1000))
	time.Sleep(20 * time.Millisecond)
	s.client.refusing.Store(false)
}

// longestLease returns how long after the host was lost it may hold a lease at most. If the start
// command got no answer, a later incarnation may have got it, and hold its longest lease from then on.
func longestLease(state runState, resets, unanswered bool) time.Duration {
	length := leaseLength(testLease)
	switch {
	case state == runInherited:
		return MaxTakeoverWait(testLease)
	case unanswered:
		return lease.MaxDelivery + lease.LongestTime(testLease)
	case resets:
		length = testLease
	}
	return time.Duration(float64(length) / lease.MinClockRate)
}

// wantNextRun checks that the task gets a run on another host in time.
func (s *lostHost) wantNextRun(state runState, resets, unanswered bool) {
	s.t.Helper()
	allowed := longestLease(state, resets, unanswered) + time.Second
	time.Sleep(allowed)
	taskID := tasks.ID{Job: "job"}
	if got := s.checker.ActiveRuns(taskID); got != 1 {
		s.t.Errorf("got %d runs %v after the host was lost, want 1", got, allowed)
	}
	if got := s.owner.hostOf("job", 0); got == s.id {
		s.t.Errorf("got the task on %s, want it on another host", got)
	}
	time.Sleep(30 * time.Second)
}

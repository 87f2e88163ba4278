package sched

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"rattanpath/claim"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/tasks"
)

const (
	// killedOwnerTime is how long after the loss of an owner the next one claims the cell.
	killedOwnerTime = 2500 * time.Millisecond
	// startTime is enough to notice that leases have expired and to start a run elsewhere.
	startTime = 300 * time.Millisecond
)

// servingJob starts a job of one serving task at a node and returns its host.
func (tc *testCluster) servingJob(n *node) string {
	tc.t.Helper()
	tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	time.Sleep(100 * time.Millisecond)
	if err := tc.submit(n, "job", servingPlan(1, 1000)); err != nil {
		tc.t.Fatal(err)
	}
	time.Sleep(time.Second)
	return n.hostOf("job", 0)
}

// wantRun checks that the only task of the serving job has a run.
func (tc *testCluster) wantRun(when string) {
	tc.t.Helper()
	if got := tc.checker.ActiveRuns(tasks.ID{Job: "job"}); got != 1 {
		tc.t.Errorf("got %d runs %s, want 1", got, when)
	}
}

// TestCrashedOwnersContinueTheWait guards against a serving task that stays without a run
// because each owner that is killed makes the next one begin the wait for the leases of a dead
// host anew.
func TestCrashedOwnersContinueTheWait(t *testing.T) {
	for name, unlisted := range map[string]bool{"record kept": false, "record gone": true} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, func(tc *testCluster) {
				a := tc.claim("a")
				host := tc.servingJob(a)
				tc.runners[host].Crash()
				tc.kill(a)
				time.Sleep(killedOwnerTime)
				tc.configure = func(options *Options) {
					options.HostClient.(*fake.HostClient).SetUnlisted(host, unlisted)
				}
				claimed := time.Now()
				b := tc.claim("b")
				time.Sleep(4 * time.Second)
				tc.kill(b)
				time.Sleep(killedOwnerTime)
				tc.claim("c")
				// The last record was written at most maxWriteInterval before the kill.
				allowed := MaxTakeoverWait(testLease) + maxWriteInterval + killedOwnerTime + startTime
				time.Sleep(time.Until(claimed.Add(allowed)))
				tc.wantRun("after " + allowed.String())
			})
		})
	}
}

// unreachedScene is a serving task on a host that a second owner doesn't reach at first, while the
// first one goes on renewing its lease until its ownership is over.
type unreachedScene struct {
	*testCluster
	second  *node
	claimed time.Time
	id      string
}

func newUnreachedScene(tc *testCluster) *unreachedScene {
	tc.t.Helper()
	a := tc.claim("a")
	s := &unreachedScene{testCluster: tc, id: tc.servingJob(a)}
	// The first owner has just confirmed its ownership.
	confirmed := a.cell.View().Confirmed
	for a.cell.View().Confirmed >= confirmed {
		confirmed = a.cell.View().Confirmed
		time.Sleep(time.Millisecond)
	}
	tc.store.SetFailure("a", fake.Unresponsive)
	s.claimed = time.Now()
	tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
		hosts.(*fake.HostClient).SetPartitioned(s.id, true)
		return hosts
	}
	s.second = tc.claim("b")
	tc.wrapHosts = nil
	return s
}

// sleepUntil waits until a time after the claim of the second owner.
func (s *unreachedScene) sleepUntil(after time.Duration) {
	time.Sleep(time.Until(s.claimed.Add(after)))
}

// reach lets the second owner reach the host.
func (s *unreachedScene) reach() {
	s.t.Helper()
	s.second.hosts.SetPartitioned(s.id, false)
	s.awaitHost(s.second, s.id, func(h *host) bool { return h.reached })
}

// claimCutOff makes a third owner claim the cell that never reaches the host.
func (s *unreachedScene) claimCutOff() *node {
	s.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
		hosts.(*fake.HostClient).SetPartitioned(s.id, true)
		return hosts
	}
	return s.claim("c")
}

// TestReachedHostIsWaitedForInFull guards against two runs of a task at once: an owner reaches a
// host that its last record lists as unreached, grants it a lease and is killed, and the next owner
// counts only what remained by that record.
func TestReachedHostIsWaitedForInFull(t *testing.T) {
	const unresponsiveStore = 100 * time.Millisecond
	reachedRuns := 0
	for _, storeFails := range []bool{false, true} {
		for reachedAfter := 3 * time.Second; reachedAfter <= 7750*time.Millisecond; reachedAfter += 250 * time.Millisecond {
			t.Run(fmt.Sprintf("reached after %v, store fails %t", reachedAfter, storeFails), func(t *testing.T) {
				runCluster(t, 3, func(tc *testCluster) {
					s := newUnreachedScene(tc)
					s.sleepUntil(reachedAfter - unresponsiveStore)
					if storeFails {
						tc.store.SetFailure("b", fake.Unresponsive)
					}
					s.sleepUntil(reachedAfter)
					s.reach()
					reachedRuns += tc.checker.ActiveRuns(tasks.ID{Job: "job"})
					time.Sleep(startTime)
					tc.kill(s.second)
					// The next owner claims early: the shorter the wait, the more it must be right.
					time.Sleep(10 * time.Millisecond)
					s.claimCutOff()
					time.Sleep(MaxTakeoverWait(testLease) + startTime)
					tc.wantRun("after the longest wait of the last owner")
				})
			})
		}
	}
	if reachedRuns == 0 {
		t.Error("got no host that was reached while it had its run, want some")
	}
}

// TestHostKeepsRunsOnceReached guards against a run whose lease expires because its host is
// listed as unreached when it answers the new owner.
func TestHostKeepsRunsOnceReached(t *testing.T) {
	for cutOff := 500 * time.Millisecond; cutOff <= 2*time.Second; cutOff += 100 * time.Millisecond {
		runCluster(t, 3, func(tc *testCluster) {
			s := newUnreachedScene(tc)
			s.sleepUntil(cutOff)
			s.reach()
			time.Sleep(20 * time.Second)
			if got := tc.checker.Starts(); got != 1 {
				t.Errorf("got %d starts with a host reached %v after the takeover, want 1", got, cutOff)
			}
			// The host takes new runs.
			plan := servingPlan(3, 1000)
			if err := tc.submit(s.second, "other", plan); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if got := tc.checker.Starts(); got != 4 {
				t.Errorf("got %d starts with three more tasks on three hosts, want 4", got)
			}
		})
	}
}

// TestTakeoverWritesNoLeases guards against a write more at a takeover in which all hosts answer.
func TestTakeoverWritesNoLeases(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		a := tc.claim("a")
		tc.servingJob(a)
		tc.kill(a)
		time.Sleep(killedOwnerTime)
		b := tc.claim("b")
		time.Sleep(5 * time.Second)
		if got := tc.store.Value(Topic(testService), leasesKey); got != nil {
			t.Errorf("got the record of leases %s, want none", got)
		}
		tc.wantPhase(b, "job", tasks.Open)
	})
}

// TestRecordedLeasesCountForNextOwnerOnly guards against a wait that is too short because of a
// record that another owner than the last one has written, of this version or an older one.
func TestRecordedLeasesCountForNextOwnerOnly(t *testing.T) {
	const claimEpoch = 7
	remaining := map[string]time.Duration{"h0": time.Second}
	for _, test := range []struct {
		epoch    int64
		released bool
		// listed and other are how long the owner waits for a host that is listed and for one
		// that isn't.
		listed time.Duration
		other  time.Duration
	}{
		{claimEpoch - 1, false, time.Second, MaxTakeoverWait(testLease)},
		{claimEpoch - 1, true, time.Second, MaxTakeoverWait(testLease) - ownershipTimeout},
		{claimEpoch - 2, false, MaxTakeoverWait(testLease), MaxTakeoverWait(testLease)},
		{claimEpoch - 2, true, MaxTakeoverWait(testLease) - ownershipTimeout, MaxTakeoverWait(testLease) - ownershipTimeout},
	} {
		c := newCell(Options{MaxLease: testLease})
		c.epoch, c.claim = claimEpoch, &claim.Claim{PreviousNode: "a", PreviousReleased: test.released}
		value, err := json.Marshal(leaseRecord{Epoch: test.epoch, Remaining: remaining})
		if err != nil {
			t.Fatal(err)
		}
		c.loadLeases(value)
		listed, other := c.inheritedLeaseEnd(&host{id: "h0"}), c.inheritedLeaseEnd(&host{id: "h1"})
		if listed != test.listed || other != test.other {
			t.Errorf("got waits of %v and %v by the record of epoch %d at a claim of %d after a release (%t), want %v and %v", listed, other, test.epoch, claimEpoch, test.released, test.listed, test.other)
		}
	}
}

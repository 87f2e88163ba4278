package sched

import (
	"fmt"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/tasks"
)

// formerScene is a host that takes calls which were meant for its former incarnation, and is cut off. Another
// host is listed only after that.
type formerScene struct {
	*testCluster
	network *lateNetwork
	owner   *node
	claims  int
}

// The hosts of a scene.
const (
	formerHost = "h0"
	spareHost  = "h1"
)

// claim makes a further node claim the cell.
func (s *formerScene) claim() {
	s.claims++
	s.owner = s.testCluster.claim(fmt.Sprintf("n%d", s.claims))
	s.owner.hosts.SetUnlisted(spareHost, true)
}

// submitJob submits a job in the background, since its start may be held up.
func (s *formerScene) submitJob(id string) {
	go func() { _ = s.submit(s.owner, id, simplePlan(1, 1000)) }()
}

// holdStart holds the start command of the job's task.
func (s *formerScene) holdStart() {
	s.network.hold(formerHost)
	s.submitJob("job")
	time.Sleep(50 * time.Millisecond)
}

// holdLease holds a heartbeat with a lease, of the host with the job's run.
func (s *formerScene) holdLease() {
	s.submitJob("job")
	time.Sleep(3 * time.Second)
	s.network.hold(formerHost)
	// The heartbeat under way is answered before.
	time.Sleep(heartbeatWait + 50*time.Millisecond)
}

// restart gives the host a new incarnation, which gets the calls that were held.
func (s *formerScene) restart() {
	s.runners[formerHost].Crash()
	time.Sleep(500 * time.Millisecond)
	s.runners[formerHost].Restart()
	s.network.release(formerHost)
	time.Sleep(2 * time.Millisecond)
}

// cut cuts the host off from all nodes, and lists the other one.
func (s *formerScene) cut() {
	s.network.setCut(formerHost, true)
	s.owner.hosts.SetUnlisted(spareHost, false)
}

// replaceOwner kills or stops the owner, and claims the cell at once.
func (s *formerScene) replaceOwner(kill bool) {
	if kill {
		s.kill(s.owner)
	} else {
		s.owner.stop()
		<-s.owner.done
	}
	s.claim()
}

// awaitRun submits a job and waits until its task has a run on the host.
func (s *formerScene) awaitRun(id string) {
	s.t.Helper()
	s.submitJob(id)
	for range 30_000 {
		if s.checker.ActiveRuns(tasks.ID{Job: id}) == 1 {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	s.t.Errorf("got no run of job %s on the host, want one", id)
}

// formerScenes are the calls to a host's former incarnation that its next incarnation takes, and what follows.
var formerScenes = []struct {
	name string
	// starts is the least number of starts, so that what the scene is about has taken place.
	starts int
	play   func(s *formerScene)
}{
	{"start", 2, func(s *formerScene) {
		s.holdStart()
		s.network.mute(formerHost)
		s.restart()
		s.cut()
	}},
	{"start, owner killed", 2, func(s *formerScene) {
		s.holdStart()
		s.network.mute(formerHost)
		s.restart()
		s.replaceOwner(true)
		s.cut()
	}},
	{"start, owner stopped", 2, func(s *formerScene) {
		s.holdStart()
		s.network.mute(formerHost)
		s.restart()
		s.network.setCut(formerHost, true)
		s.replaceOwner(false)
		s.cut()
	}},
	{"lease", 2, func(s *formerScene) {
		s.holdLease()
		s.restart()
		s.awaitRun("next")
		s.cut()
	}},
	{"lease, owner killed before it knows", 2, func(s *formerScene) {
		s.holdLease()
		s.restart()
		s.replaceOwner(true)
		s.awaitRun("next")
		s.cut()
	}},
	{"lease, owner stopped before it knows", 2, func(s *formerScene) {
		s.holdLease()
		s.restart()
		s.replaceOwner(false)
		s.awaitRun("next")
		s.cut()
	}},
	{"lease, owner killed", 2, func(s *formerScene) {
		s.holdLease()
		s.restart()
		s.awaitRun("next")
		s.replaceOwner(true)
		s.cut()
	}},
	{"lease, owner stopped", 2, func(s *formerScene) {
		s.holdLease()
		s.restart()
		s.awaitRun("next")
		time.Sleep(100 * time.Millisecond)
		s.network.setCut(formerHost, true)
		s.replaceOwner(false)
		s.cut()
	}},
	{"lease, owner stopped while it reaches the host", 2, func(s *formerScene) {
		s.holdLease()
		s.restart()
		s.awaitRun("next")
		time.Sleep(100 * time.Millisecond)
		s.owner.stop()
		<-s.owner.done
		s.network.setCut(formerHost, true)
		s.claim()
		s.cut()
	}},
	{"start, and the machine controller finds no host", 2, func(s *formerScene) {
		s.holdStart()
		s.network.mute(formerHost)
		gone := RetiredHost{ID: formerHost, Incarnation: s.runners[formerHost].Info().Incarnation, Unordered: true}
		time.AfterFunc(50*time.Millisecond, func() { _ = s.owner.cell.Retire([]RetiredHost{gone}) })
		s.restart()
		s.cut()
	}},
	{"start, and the host has left the list", 2, func(s *formerScene) {
		s.holdStart()
		s.network.mute(formerHost)
		s.restart()
		s.cut()
		s.owner.hosts.SetUnlisted(formerHost, true)
	}},
	{"stop", 1, func(s *formerScene) {
		s.awaitRun("job")
		time.Sleep(time.Second)
		s.network.hold(formerHost)
		go func() { _ = s.owner.cell.Cancel(s.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "job"}) }()
		time.Sleep(50 * time.Millisecond)
		s.restart()
		s.cut()
	}},
}

// TestCallsToFormerIncarnation guards against two runs of a task at once: a host starts again under its ID
// between the sending of a call and its arrival, takes it with the expiry of a lease that is far ahead
// of its new clock, and is cut off before the owner of the cell, or the next one, knows.
func TestCallsToFormerIncarnation(t *testing.T) {
	for _, way := range []string{"direct", "delegate", "relay"} {
		for _, scene := range formerScenes {
			t.Run(way+"/"+scene.name, func(t *testing.T) {
				runCluster(t, 2, func(tc *testCluster) {
					s := &formerScene{testCluster: tc, network: tc.useLateNetwork()}
					s.useWay(way)
					tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 40 * time.Second} }
					s.claim()
					time.Sleep(2 * time.Second)
					scene.play(s)
					time.Sleep(20 * time.Second)
					s.network.setCut(formerHost, false)
					time.Sleep(30 * time.Second)
					if got := tc.checker.Starts(); got < scene.starts {
						t.Errorf("got %d starts, want %d or more", got, scene.starts)
					}
				})
			})
		}
	}
}

// Guards against a member of a gang that is given up too early by the next owner: its start command may be
// sent later than those of single tasks.
func TestStartOfGangMayComeLater(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.useLateNetwork()
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Minute} }
		a := tc.claim("a")
		time.Sleep(time.Second)
		gang := simplePlan(2, 1000)
		gang.Steps[0].Gang = true
		tc.mustSubmit(a, "gang", gang)
		tc.mustSubmit(a, "job", simplePlan(1, 1000))
		tc.kill(a)
		b := tc.claim("b")
		b.cell.mu.Lock()
		defer b.cell.mu.Unlock()
		for _, h := range b.cell.hosts {
			for _, r := range h.runs {
				want := r.maxStartDelay() + lease.MaxDelivery + lease.LongestTime(formerLease)
				if got := b.cell.inheritedLeaseEnd(h, r) - b.cell.claimedAt; got < want {
					t.Errorf("got a wait of %v for a run of job %s, want %v or more", got, r.id.Job, want)
				}
			}
		}
	})
}

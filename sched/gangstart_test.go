package sched

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// startRecorder records when the start commands of a job were sent, by host and run number.
type startRecorder struct {
	lease.HostClient

	mu     sync.Mutex
	byHost map[string]int
	byRun  map[int]int
	first  time.Time
	last   time.Time
}

func (s *startRecorder) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	if command.Task.Job == "gang" {
		s.record(host.ID, command.Run)
	}
	return s.HostClient.Start(ctx, host, command)
}

func (s *startRecorder) record(host string, run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byHost[host]++
	s.byRun[run]++
	if s.first.IsZero() {
		s.first = time.Now()
	}
	s.last = time.Now()
}

// recordStarts records the start commands that a cluster's nodes send.
func recordStarts(tc *testCluster) *startRecorder {
	s := &startRecorder{byHost: make(map[string]int), byRun: make(map[int]int)}
	tc.wrapHosts = func(client lease.HostClient) lease.HostClient {
		s.HostClient = client
		return s
	}
	return s
}

// largeGang returns a plan with a gang.
func largeGang(count int, cpu int64) tasks.Plan {
	plan := simplePlan(count, cpu)
	plan.Steps[0].Gang = true
	plan.Steps[0].Room.MemMB = 10
	return plan
}

// wantWhole checks that all members of a gang were started once, within a time.
func (s *startRecorder) wantWhole(t *testing.T, count int, within time.Duration) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRun[1] != count || len(s.byRun) != 1 {
		t.Errorf("got starts %v by run, want %d of the first run", s.byRun, count)
	}
	if took := s.last.Sub(s.first); took > within {
		t.Errorf("got %v from the first start to the last, want at most %v", took, within)
	}
}

// Guards against a gang that is never whole because the start commands of its members wait
// for each other until those that come last are dropped: the others wait in vain.
func TestLargeGangOnOneHostIsStartedWhole(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		starts := recordStarts(tc)
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 10 * time.Second} }
		n := tc.claim("a")
		n.hosts.SetLatency(startLatency(6 * time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "gang", largeGang(1000, 5))
		time.Sleep(3 * time.Second)
		starts.wantWhole(t, 1000, 1500*time.Millisecond)
	})
}

// Guards against a gang whose members are all sent to one slow host, where the last would
// start too late, while others are free.
func TestGangIsSpreadOverSlowHosts(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		starts := recordStarts(tc)
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "gang" {
				return fake.RunProfile{Duration: 10 * time.Second}
			}
			return fake.RunProfile{Duration: 100 * time.Millisecond}
		}
		n := tc.claim("a")
		n.hosts.SetLatency(startLatency(120 * time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		// The replies show how long a start takes.
		tc.mustSubmit(n, "before", simplePlan(80, 1000))
		time.Sleep(3 * time.Second)
		tc.mustSubmit(n, "gang", largeGang(300, 20))
		time.Sleep(4 * time.Second)
		starts.wantWhole(t, 300, 2500*time.Millisecond)
	})
}

// Guards against a job that is accepted although the link takes longer to start its gang than
// the members wait for each other.
func TestGangLargerThanLinkIsRefused(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		starts := recordStarts(tc)
		tc.linkRate = slowLinkRate
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 10 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		large := largeGang(1000, 5)
		large.Spec = string(make([]byte, longSpec))
		if err := tc.submit(n, "large", large); !errors.Is(err, ErrOverloaded) {
			t.Errorf("got error %v for a gang that the link can't start in time, want %v", err, ErrOverloaded)
		}
		// A start takes 5 ms of the link: its share is 0.4 of 2 Mbit/s.
		tc.mustSubmit(n, "gang", largeGang(380, 5))
		time.Sleep(4 * time.Second)
		starts.wantWhole(t, 380, 2200*time.Millisecond)
	})
}

// Guards against members that hold their hosts, and wait for others whose start was given up.
func TestIncompleteGangIsStopped(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		starts := recordStarts(tc)
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Minute} }
		n := tc.claim("a")
		n.hosts.SetLatency(func(_ string, command any) fake.Latency {
			if _, isStart := command.(lease.StartCommand); isStart {
				return fake.Latency{Request: time.Millisecond, Reply: time.Minute}
			}
			return fake.Latency{}
		})
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "gang", largeGang(200, 5))
		time.Sleep(3500 * time.Millisecond)
		starts.mu.Lock()
		first := starts.byRun[1]
		starts.mu.Unlock()
		if first == 0 || first == 200 {
			t.Fatalf("got %d starts of the first run, want some and not all", first)
		}
		if got := tc.checker.Ends(tasks.EndStopped); got < first {
			t.Errorf("got %d runs stopped after 3.5 s, want the %d that were started", got, first)
		}
	})
}

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

// slowReplies delays the replies of a host to chosen calls.
type slowReplies struct {
	// starts holds the delay of the reply to a start by job.
	starts map[string]time.Duration
	// report is the delay of the reply to the first heartbeat that the host answers
	// at once.
	report time.Duration
}

func (s *slowReplies) latency(_ string, command any) fake.Latency {
	switch command := command.(type) {
	case lease.StartCommand:
		return fake.Latency{Reply: s.starts[command.Task.Job]}
	case lease.Heartbeat:
		if command.Wait == 0 {
			delay := s.report
			s.report = 0
			return fake.Latency{Reply: delay}
		}
	}
	return fake.Latency{}
}

// TestOlderReportIsProcessedLater has two heartbeats in flight. The host answers the
// one that asks for a report at once before a run begins, and the one that waits
// after that, but the replies arrive in the opposite order. The older report lacks
// the run, which must not count as gone.
func TestOlderReportIsProcessedLater(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "short" {
				return fake.RunProfile{Duration: 500 * time.Millisecond}
			}
			return fake.RunProfile{Duration: 20 * time.Second}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		// The end of this run makes the host answer the waiting heartbeat.
		if err := tc.submit(n, "short", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		slow := &slowReplies{
			starts: map[string]time.Duration{"unconfirmed": 300 * time.Millisecond, "late": 900 * time.Millisecond},
			report: 700 * time.Millisecond,
		}
		n.hosts.SetLatency(slow.latency)
		// Its start gets no reply in time, so that the owner requests a report.
		if err := tc.submit(n, "unconfirmed", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(270 * time.Millisecond)
		if err := tc.submit(n, "late", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if got := tc.checker.Starts(); got != 3 {
			t.Errorf("got %d starts, want 3", got)
		}
		n.cell.mu.Lock()
		defer n.cell.mu.Unlock()
		if got := n.cell.hosts["h0"].restarts; got != 0 {
			t.Errorf("got %d restarts of the host, want 0: the older report would count for nothing in any case", got)
		}
	})
}

// TestTakeoverAsksBeforeGivingUp has an owner lose touch with a host, on which a run
// then ends, and release the cell with a record that the host's leases have expired.
// The next owner, whose calls are slow, must hear of the end from the host and not
// start the task again.
func TestTakeoverAsksBeforeGivingUp(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 2 * time.Second} }
		a := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(a, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		host := a.hostOf("job", 0)
		a.hosts.SetPartitioned(host, true)
		a.stop()
		<-a.done
		time.Sleep(3 * time.Second)
		b := tc.claim("b")
		b.hosts.SetLatency(func(string, any) fake.Latency { return fake.Latency{Reply: 300 * time.Millisecond} })
		b.cell.mu.Lock()
		b.cell.unexpiredLeases = map[string]time.Duration{host: 0}
		b.cell.mu.Unlock()
		time.Sleep(5 * time.Second)
		tc.wantPhase(b, "job", tasks.Completed)
		if got := tc.checker.Starts(); got != 1 {
			t.Errorf("got %d starts, want 1", got)
		}
	})
}

// TestReleaseAfterRestart has a host restart and a new run on it before the owner
// loses touch with the host and stops. The record of unexpired leases must not say
// that the new run's lease is over.
func TestReleaseAfterRestart(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 20 * time.Second} }
		n := tc.claim("a")
		time.Sleep(15 * time.Second)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		n.cell.mu.Lock()
		h := n.cell.hosts["h0"]
		h.synced, h.missedHeartbeats = false, 1
		got, known := n.cell.remainingLease(h, n.cell.options.Clock())
		h.synced, h.missedHeartbeats = true, 0
		n.cell.mu.Unlock()
		if known && got < maxLease/2 {
			t.Errorf("got %v until the lease is over, want at least %v, or unknown", got, maxLease/2)
		}
	})
}

// TestLostRunThatSucceededIsNotRepeated lets a run end while its owner can't reach the
// host, until the lease has expired and the run counts as lost. No other host has room.
// Once the host answers again, its word that the run has succeeded must count.
func TestLostRunThatSucceededIsNotRepeated(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 2 * time.Second} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		n.hosts.SetPartitioned("h0", true)
		time.Sleep(8 * time.Second)
		n.hosts.SetPartitioned("h0", false)
		time.Sleep(3 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
		if got := tc.checker.Starts(); got != 1 {
			t.Errorf("got %d starts, want 1", got)
		}
	})
}

// TestAcknowledgementIsForOneIncarnation guards against a task that runs again after its
// success: a host restarts between two heartbeats, and the second one, which acknowledges ends
// of the old incarnation, makes the new one forget its own.
func TestAcknowledgementIsForOneIncarnation(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		var hold atomic.Int64
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			durations := map[string]time.Duration{"first": 500 * time.Millisecond, "second": 100 * time.Millisecond}
			return fake.RunProfile{Duration: durations[taskID.Job]}
		}
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return heldJournal{journal, &hold} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "first", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		// The run ends after 500 ms; the answer to the write of its end takes 180 ms, which is
		// less than the time to the next look at the records of hosts.
		hold.Store(int64(180 * time.Millisecond))
		time.Sleep(250 * time.Millisecond)
		go func() { _ = tc.submit(n, "second", simplePlan(1, 1000)) }()
		time.Sleep(50 * time.Millisecond)
		tc.runners["h0"].Crash()
		tc.runners["h0"].Restart()
		time.Sleep(10 * time.Second)
		for _, id := range []string{"first", "second"} {
			tc.wantPhase(n, id, tasks.Completed)
		}
		if got := tc.checker.Starts(); got != 2 {
			t.Errorf("got %d starts, want 2", got)
		}
	})
}

// TestRetriedHeartbeatAcknowledgesNothing guards against the same with the second try of a
// heartbeat, which goes out more than a second after the report.
func TestRetriedHeartbeatAcknowledgesNothing(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(id tasks.ID, _ int) fake.RunProfile {
			durations := map[string]time.Duration{"long": 30 * time.Second, "first": 500 * time.Millisecond, "second": 20 * time.Millisecond}
			return fake.RunProfile{Duration: durations[id.Job]}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"long", "first"} {
			tc.mustSubmit(n, id, simplePlan(1, 1000))
		}
		time.Sleep(300 * time.Millisecond)
		// The heartbeat that acknowledges the end of first gets lost; its second try follows
		// when the host has just restarted.
		tc.runners["h0"].DropHeartbeats(1)
		time.Sleep(1805*time.Millisecond - time.Since(tc.start))
		tc.runners["h0"].Crash()
		tc.runners["h0"].Restart()
		go func() { _ = tc.submit(n, "second", simplePlan(1, 1000)) }()
		time.Sleep(10 * time.Second)
		tc.wantPhase(n, "second", tasks.Completed)
		if got := tc.checker.Starts(); got != 4 {
			t.Errorf("got %d starts, want 4, of which two are of long", got)
		}
	})
}

// TestBusyHostIsAcknowledged guards against a host whose runs end all the time and whose ends
// are never acknowledged because each report has new ones to wait for.
func TestBusyHostIsAcknowledged(t *testing.T) {
	t.Parallel()
	for _, latency := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			runCluster(t, 1, func(tc *testCluster) {
				tc.profileOf = func(id tasks.ID, _ int) fake.RunProfile {
					return fake.RunProfile{Duration: 300*time.Millisecond + time.Duration(id.Index%40)*7*time.Millisecond}
				}
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.store.SetExtraLatency(latency)
				tc.mustSubmit(n, "job", simplePlan(2000, 200))
				var oldest int64
				longest, since := time.Duration(0), time.Now()
				for range 600 {
					time.Sleep(20 * time.Millisecond)
					if current := tc.runners["h0"].OldestUnacknowledged(); current != oldest || current == 0 {
						oldest, since = current, time.Now()
					}
					longest = max(longest, time.Since(since))
				}
				if most := 4*latency + 500*time.Millisecond; longest > most {
					t.Errorf("got an end unacknowledged for %v, want at most %v", longest, most)
				}
			})
		})
	}
}

// heartbeatCounter counts heartbeats.
type heartbeatCounter struct {
	lease.HostClient
	count atomic.Int64
}

func (c *heartbeatCounter) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	c.count.Add(1)
	return c.HostClient.Heartbeat(ctx, host, heartbeat)
}

// Guards against an owner that asks each host for one more report per end when its writes get
// slow: in a peak this took processor time that the writes then lacked.
func TestSlowWritesCostNoMoreHeartbeats(t *testing.T) {
	t.Parallel()
	perEnd := make(map[time.Duration]float64)
	for _, latency := range []time.Duration{0, 150 * time.Millisecond} {
		runCluster(t, 20, func(tc *testCluster) {
			counter := &heartbeatCounter{}
			tc.wrapHosts = func(client lease.HostClient) lease.HostClient {
				counter.HostClient = client
				return counter
			}
			tc.profileOf = func(id tasks.ID, _ int) fake.RunProfile {
				return fake.RunProfile{Duration: time.Second + time.Duration(id.Index%40)*20*time.Millisecond}
			}
			n := tc.claim("a")
			n.hosts.SetLatency(startLatency(4 * time.Millisecond))
			time.Sleep(100 * time.Millisecond)
			tc.store.SetExtraLatency(latency)
			// The hosts are full all the time: two runs each, one of which ends every 0.7 s.
			tc.mustSubmit(n, "job", simplePlan(4000, hostCPU/2))
			time.Sleep(3 * time.Second)
			heartbeats, ends := counter.count.Load(), tc.checker.Ends(tasks.EndDone)
			time.Sleep(20 * time.Second)
			perEnd[latency] = float64(counter.count.Load()-heartbeats) / float64(tc.checker.Ends(tasks.EndDone)-ends)
		})
	}
	if got, most := perEnd[150*time.Millisecond], 1.2*perEnd[0]; got > most {
		t.Errorf("got %.2f heartbeats an end with slow writes, want at most %.2f", got, most)
	}
}

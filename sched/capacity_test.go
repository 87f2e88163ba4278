package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// cpu returns a capacity with plenty of memory.
func cpu(millicores int64) tasks.Resources {
	return tasks.Resources{CPU: millicores, MemMB: 1 << 16}
}

// setLongRuns makes the runs of the job "long" go on until they are stopped.
func (tc *testCluster) setLongRuns() {
	tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
		if taskID.Job == "long" {
			return fake.RunProfile{Serving: true}
		}
		return fake.RunProfile{Duration: 500 * time.Millisecond}
	}
}

// mustSubmit submits a job that must be accepted.
func (tc *testCluster) mustSubmit(n *node, id string, plan tasks.Plan) {
	tc.t.Helper()
	if err := tc.submit(n, id, plan); err != nil {
		tc.t.Fatal(err)
	}
}

// wantReason checks why a job waits.
func (tc *testCluster) wantReason(n *node, id, want string) {
	tc.t.Helper()
	if detail, err := n.cell.Explain(id); err != nil || detail.Why != want {
		tc.t.Errorf("got reason %q and error %v of job %s, want %q", detail.Why, err, id, want)
	}
}

// TestShrunkenHostGetsNoRuns shrinks a host below what runs there. The runs go on,
// nothing is added, and once the host has grown again, tasks are placed there again.
func TestShrunkenHostGetsNoRuns(t *testing.T) {
	for name, shrunk := range map[string]tasks.Resources{"half": cpu(hostCPU / 2), "nothing": {}} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 1, func(tc *testCluster) {
				tc.setLongRuns()
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				tc.mustSubmit(n, "long", simplePlan(6, 1000))
				time.Sleep(time.Second)
				tc.runners["h0"].SetCapacity(shrunk)
				time.Sleep(fake.CapacityGrace)
				tc.mustSubmit(n, "job", simplePlan(2, 1000))
				gang := simplePlan(2, 1000)
				gang.Steps[0].Gang = true
				tc.mustSubmit(n, "gang", gang)
				fill := simplePlan(1, 1000)
				fill.Steps[0].Fills = true
				tc.mustSubmit(n, "fill", fill)
				time.Sleep(3 * time.Second)
				if got := tc.checker.Starts(); got != 6 {
					t.Errorf("got %d starts, want the 6 from before the host shrank", got)
				}
				if got := tc.runners["h0"].Used().CPU; got != 6000 {
					t.Errorf("got %d millicores in use, want the 6000 from before the host shrank", got)
				}
				pool, err := n.cell.Pool()
				if err != nil || len(pool.Hosts) != 1 || pool.Hosts[0].CPU != shrunk.CPU || pool.Hosts[0].UsedCPU != 6000 {
					t.Errorf("got pool %+v and error %v, want a host of %d millicores with 6000 in use", pool, err, shrunk.CPU)
				}
				want := "no host has room for a task"
				if shrunk.CPU == 0 {
					want = "a task is larger than any host at present"
				}
				tc.wantReason(n, "job", want)
				tc.runners["h0"].SetCapacity(cpu(hostCPU))
				time.Sleep(4 * time.Second)
				tc.wantPhase(n, "job", tasks.Completed)
				tc.wantPhase(n, "gang", tasks.Completed)
				tc.wantPhase(n, "long", tasks.Open)
			})
		})
	}
}

// TestStaleRecordsStopStarts keeps a node from learning that its host has shrunk: its
// reads of the host records fail, or the host writes none. From CapacityGrace on, no run
// may be started there, while leases are renewed. Jobs go on with the next record.
func TestStaleRecordsStopStarts(t *testing.T) {
	outages := map[string]func(tc *testCluster, n *node, begin bool){
		"reads fail":         func(_ *testCluster, n *node, begin bool) { n.hosts.SetRecordsDown(begin) },
		"the host is silent": func(tc *testCluster, _ *node, begin bool) { tc.runners["h0"].SetSilent(begin) },
	}
	for name, setOutage := range outages {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 1, func(tc *testCluster) {
				tc.setLongRuns()
				n := tc.claim("a")
				time.Sleep(5 * time.Second)
				tc.mustSubmit(n, "long", simplePlan(1, 1000))
				time.Sleep(time.Second)
				setOutage(tc, n, true)
				tc.runners["h0"].SetCapacity(cpu(1000))
				time.Sleep(2 * time.Second)
				tc.mustSubmit(n, "early", simplePlan(2, 1000))
				time.Sleep(700 * time.Millisecond)
				tc.wantPhase(n, "early", tasks.Completed)
				for range 10 {
					tc.mustSubmit(n, "job"+time.Now().String(), simplePlan(2, 1000))
					time.Sleep(time.Second)
				}
				starts := tc.checker.Starts()
				time.Sleep(5 * time.Second)
				if got := tc.checker.Starts(); got != starts {
					t.Errorf("got %d starts long after the last record, want none", got-starts)
				}
				if pool, err := n.cell.Pool(); err != nil || pool.Hosts[0].State != "its entry is out of date" {
					t.Errorf("got pool %+v and error %v, want its host's entry out of date", pool, err)
				}
				if got := tc.checker.Ends(tasks.EndLeaseExpired); got != 0 {
					t.Errorf("got %d expired leases, want them renewed", got)
				}
				setOutage(tc, n, false)
				tc.runners["h0"].SetCapacity(cpu(hostCPU))
				tc.mustSubmit(n, "late", simplePlan(2, 1000))
				time.Sleep(5 * time.Second)
				tc.wantPhase(n, "late", tasks.Completed)
			})
		})
	}
}

// TestPlannedStartIsCheckedAgain shrinks a host while the assignment of a run waits for
// the store: once it is persisted, the run no longer fits. It must start elsewhere, or
// when the host has grown again.
func TestPlannedStartIsCheckedAgain(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(5 * time.Second)
		tc.store.SetFailure("a", fake.Rejecting)
		submitted := make(chan struct{})
		go func() {
			defer close(submitted)
			_ = tc.submit(n, "job", simplePlan(6, 1000))
		}()
		time.Sleep(100 * time.Millisecond)
		tc.runners["h0"].SetCapacity(cpu(2000))
		time.Sleep(5 * time.Second)
		<-submitted
		tc.store.SetFailure("a", fake.NoFailure)
		time.Sleep(300 * time.Millisecond)
		if got := tc.runners["h0"].Used().CPU; got != 2000 {
			t.Errorf("got %d millicores in use, want the 2000 that the host has", got)
		}
		tc.runners["h0"].SetCapacity(cpu(hostCPU))
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestShrinkDoesNotSplitGang shrinks a host between the placement of a gang and its
// starts: all members start or none, since the others would wait in vain.
func TestShrinkDoesNotSplitGang(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.setLongRuns()
		n := tc.claim("a")
		time.Sleep(5 * time.Second)
		tc.store.SetExtraLatency(600 * time.Millisecond)
		gang := simplePlan(12, 1000)
		gang.Steps[0].Gang = true
		go func() { _ = tc.submit(n, "long", gang) }()
		time.Sleep(300 * time.Millisecond)
		for _, runner := range tc.runners {
			runner.SetCapacity(cpu(2000))
		}
		n.cell.SetHosts(n.hosts.View())
		time.Sleep(4 * time.Second)
		if got := tc.checker.Starts(); got != 12 && got != 0 {
			t.Errorf("got %d of 12 members of a gang started, want all or none", got)
		}
	})
}

// TestTakeoverWithOldRecord takes a cell over while its host writes no records: the new
// owner can't know how old the last one is from when it read it.
func TestTakeoverWithOldRecord(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.setLongRuns()
		a := tc.claim("a")
		time.Sleep(5 * time.Second)
		tc.mustSubmit(a, "long", simplePlan(1, 1000))
		time.Sleep(time.Second)
		tc.runners["h0"].SetSilent(true)
		tc.runners["h0"].SetCapacity(cpu(1000))
		time.Sleep(2 * time.Second)
		b := tc.claim("b")
		time.Sleep(200 * time.Millisecond)
		tc.mustSubmit(b, "early", simplePlan(2, 1000))
		time.Sleep(time.Second)
		tc.wantPhase(b, "early", tasks.Completed)
		time.Sleep(1300 * time.Millisecond)
		tc.mustSubmit(b, "job", simplePlan(2, 1000))
		time.Sleep(5 * time.Second)
		tc.wantPhase(b, "job", tasks.Open)
		tc.wantReason(b, "job", "no host of the pool is usable")
		tc.runners["h0"].SetSilent(false)
		tc.runners["h0"].SetCapacity(cpu(hostCPU))
		time.Sleep(4 * time.Second)
		tc.wantPhase(b, "job", tasks.Completed)
		tc.wantPhase(b, "long", tasks.Open)
	})
}

// TestRecordOfFormerIncarnationStartsNothing guards against starts beyond the capacity of a
// host that is back as a smaller one, while only the record of its former incarnation is known.
func TestRecordOfFormerIncarnationStartsNothing(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 6 * time.Second} }
		n := tc.claim("a")
		time.Sleep(5 * time.Second)
		// A run makes the owner call the host.
		tc.mustSubmit(n, "probe", simplePlan(1, 50))
		time.Sleep(2500 * time.Millisecond)
		runner := tc.runners["h0"]
		runner.Crash()
		runner.SetCapacity(cpu(1000))
		n.hosts.SetRecordsDown(true)
		runner.Restart()
		time.Sleep(1300 * time.Millisecond)
		tc.mustSubmit(n, "job", simplePlan(8, 900))
		time.Sleep(700 * time.Millisecond)
		if got := runner.Used().CPU; got > 1000 {
			t.Errorf("got %d millicores in use, want at most the 1000 that the incarnation has", got)
		}
		n.hosts.SetRecordsDown(false)
		time.Sleep(70 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

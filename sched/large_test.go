package sched

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/claim"
	"rattanpath/fake"
	"rattanpath/store"
	"rattanpath/tasks"
)

// testLimits are the limits of the platform's store.
var testLimits = fake.StoreLimits{Record: 262_144, Call: 2_097_152}

// manyRounds returns a plan with rounds of one step that are due a second apart.
func manyRounds(rounds, count int) tasks.Plan {
	plan := simplePlan(count, 10)
	plan.Steps[0].Room.MemMB = 10
	plan.Repeats, plan.First, plan.Every = rounds, time.Now(), time.Second
	return plan
}

// oversizedJournal counts the writes that the store rejects for their size.
type oversizedJournal struct {
	claim.Journal
	count *atomic.Int64
}

func (j oversizedJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	offset, err := j.Journal.Append(ctx, write)
	if errors.Is(err, store.ErrTooLarge) {
		j.count.Add(1)
	}
	return offset, err
}

// TestLargeJobDoesNotStallItsService guards against a job whose progress outgrows a record of
// the store: its write was repeated for ever, and nothing else of the service was written.
func TestLargeJobDoesNotStallItsService(t *testing.T) {
	t.Parallel()
	runCluster(t, 8, func(tc *testCluster) {
		var oversized atomic.Int64
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return oversizedJournal{journal, &oversized} }
		tc.store.SetLimits(testLimits)
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "large" {
				return fake.RunProfile{Duration: 12 * time.Second}
			}
			return fake.RunProfile{Duration: 500 * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "large", manyRounds(10, 600)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		for i := range 5 {
			id := fmt.Sprintf("job%d", i)
			if err := tc.submit(n, id, simplePlan(2, 100)); err != nil {
				t.Errorf("got %v for a job beside the large one, want it accepted", err)
			}
		}
		time.Sleep(40 * time.Second)
		tc.wantPhase(n, "large", tasks.Completed)
		tc.wantPhase(n, "job4", tasks.Completed)
		if got := oversized.Load(); got != 0 {
			t.Errorf("got %d writes rejected for their size, want none", got)
		}
	})
}

// TestLargeJobSurvivesItsOwners guards against a new owner that reads a large job wrongly: the
// checker reports a task that is done twice, and the job must be completed. Nothing may be left of
// it in the store once it is no longer needed.
func TestLargeJobSurvivesItsOwners(t *testing.T) {
	t.Parallel()
	runCluster(t, 8, func(tc *testCluster) {
		tc.store.SetLimits(testLimits)
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			return fake.RunProfile{Duration: time.Duration(1000+taskID.Index) * time.Millisecond}
		}
		n := tc.claim("n0")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "large", manyRounds(6, 1000)); err != nil {
			t.Fatal(err)
		}
		for i := range 8 {
			time.Sleep(time.Duration(1307+211*i) * time.Millisecond)
			successor := tc.claim(fmt.Sprintf("n%d", i+1))
			n.stop()
			n = successor
		}
		time.Sleep(30 * time.Second)
		tc.wantPhase(n, "large", tasks.Completed)
		if got, want := tc.checker.Starts(), 6000; got < want {
			t.Errorf("got %d starts, want at least %d", got, want)
		}
		if err := tc.submit(n, "cancelled", manyRounds(2, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2500 * time.Millisecond)
		if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "cancelled"}); err != nil {
			t.Error(err)
		}
		time.Sleep(2*time.Minute + 2*retentionMargin)
		for _, key := range tc.store.Keys(Topic(testService)) {
			if key != "claim" && key != leasesKey {
				t.Errorf("got key %q of a job that was removed, want none", key)
			}
		}
	})
}

// TestOrphanedPartsAreDeleted guards against parts that stay in the store for ever after a node
// of an earlier version has replaced and removed their job.
func TestOrphanedPartsAreDeleted(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.store.Put(Topic(testService), "p/0123456789abcdef/0123456789abcdef/3.32", []byte(`[]`))
		tc.claim("a")
		time.Sleep(3 * time.Second)
		for _, key := range tc.store.Keys(Topic(testService)) {
			if key != "claim" && key != leasesKey {
				t.Errorf("got key %q, want it deleted", key)
			}
		}
	})
}

// countingJournal counts the bytes of writes.
type countingJournal struct {
	claim.Journal
	bytes *atomic.Int64
}

func (j countingJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	for _, r := range write.Records {
		j.bytes.Add(int64(len(r.Key) + len(r.Value)))
	}
	return j.Journal.Append(ctx, write)
}

// bytesPerTask returns the bytes written per task for jobs of a number of tasks, of which the
// hosts run 400 at a time.
func bytesPerTask(t *testing.T, jobs, count int) int {
	var bytes atomic.Int64
	runCluster(t, 8, func(tc *testCluster) {
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return countingJournal{journal, &bytes} }
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			return fake.RunProfile{Duration: time.Duration(1900+taskID.Index%200) * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for i := range jobs {
			if err := tc.submit(n, fmt.Sprintf("job%d", i), simplePlan(count, 160)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(60 * time.Second)
		tc.wantPhase(n, fmt.Sprintf("job%d", jobs-1), tasks.Completed)
	})
	return int(bytes.Load()) / (jobs * count)
}

// TestBytesPerTask guards against bytes written that grow with the square of a job's tasks: a
// task of a large job may cost no more than a few times what one of an ordinary job does.
// docs/CAPACITY.md has the figures that it logs.
func TestBytesPerTask(t *testing.T) {
	t.Parallel()
	ordinary := bytesPerTask(t, 160, 25)
	t.Logf("25 tasks a job: %d bytes a task", ordinary)
	for _, count := range []int{250, 1000, 4000} {
		got := bytesPerTask(t, 4000/count, count)
		t.Logf("%d tasks a job: %d bytes a task", count, got)
		if count >= 1000 && got > 4*ordinary {
			t.Errorf("got %d bytes a task with %d tasks a job, want at most 4 times the %d of an ordinary job", got, count, ordinary)
		}
	}
}

// dyingJournal makes the store unreachable for its node after one write with many ends, while
// armed.
type dyingJournal struct {
	claim.Journal
	armed *atomic.Bool
	die   func()
}

func (j dyingJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	offset, err := j.Journal.Append(ctx, write)
	ends := 0
	for _, record := range write.Records {
		ends += strings.Count(string(record.Value), `"P":3`)
	}
	if err == nil && ends > 500 && j.armed.CompareAndSwap(true, false) {
		j.die()
	}
	return offset, err
}

// TestOwnerDiesBetweenWritesOfOneJob guards against ends that are acknowledged although a part of
// the job's changes was not written, and against a next owner that takes tasks that are done for
// waiting ones.
func TestOwnerDiesBetweenWritesOfOneJob(t *testing.T) {
	t.Parallel()
	runCluster(t, 8, func(tc *testCluster) {
		var armed atomic.Bool
		tc.wrapJournal = func(journal claim.Journal) claim.Journal {
			return dyingJournal{journal, &armed, func() { tc.store.SetFailure("a", fake.Unresponsive) }}
		}
		tc.configure = func(options *Options) { options.BatchBytes = 64 << 10 }
		// Two of three tasks end at the same time, the others later.
		end := time.Now().Add(10 * time.Second)
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Index%3 == 0 {
				return fake.RunProfile{Duration: 20 * time.Second}
			}
			return fake.RunProfile{Duration: time.Until(end)}
		}
		a := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		plan := simplePlan(4000, 5)
		plan.Steps[0].Room.MemMB = 10
		plan.Repeats, plan.First, plan.Every = 2, time.Now(), time.Millisecond
		if err := tc.submit(a, "large", plan); err != nil {
			t.Fatal(err)
		}
		time.Sleep(8 * time.Second)
		armed.Store(true)
		tc.store.SetExtraLatency(20 * time.Millisecond)
		time.Sleep(3 * time.Second)
		if armed.Load() {
			t.Error("got no write with many ends, want one")
		}
		tc.store.SetExtraLatency(0)
		tc.wrapJournal = nil
		b := tc.claim("b")
		time.Sleep(30 * time.Second)
		tc.wantPhase(b, "large", tasks.Completed)
		if got, want := tc.checker.Starts(), 8000; got != want {
			t.Errorf("got %d starts, want %d: each task once", got, want)
		}
	})
}

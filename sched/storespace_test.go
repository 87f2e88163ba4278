package sched

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/store"
	"rattanpath/tasks"
)

// bulkyPlan returns a plan with one short task and a definition of some 100 KB.
func bulkyPlan() tasks.Plan {
	plan := simplePlan(1, 100)
	plan.Spec = strings.Repeat("s", 100_000)
	return plan
}

// submitBulky submits jobs with bulkyPlan and returns how many were accepted. The others must be
// refused for lack of room.
func (tc *testCluster) submitBulky(n *node, prefix string, count int) (accepted int) {
	tc.t.Helper()
	for i := range count {
		err := tc.submit(n, fmt.Sprint(prefix, i), bulkyPlan())
		switch {
		case err == nil:
			accepted++
		case !errors.Is(err, ErrStoreFull) && !errors.Is(err, ErrStoreUnavailable):
			tc.t.Errorf("got %v for a job, want it accepted or %v", err, ErrStoreFull)
		}
	}
	return accepted
}

// jobLifetime is enough for a job to be done and its records to be deleted.
const jobLifetime = 2*time.Minute + retentionMargin + 10*time.Second

// TestTopicIsTrimmed guards against a store that fills up with records that were replaced or
// deleted.
func TestTopicIsTrimmed(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		tc.store.SetLimits(fake.StoreLimits{Total: 10_000_000})
		tc.configure = func(options *Options) { options.TopicBytes = 6_000_000 }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for cycle := range 6 {
			if got, want := tc.submitBulky(n, fmt.Sprintf("cycle%d-", cycle), 40), 40; got != want {
				t.Errorf("got %d jobs accepted in cycle %d, want %d", got, cycle, want)
			}
			time.Sleep(jobLifetime)
		}
		if got := tc.store.Trims(); got < 3 || got > 8 {
			t.Errorf("got %d trims for 24 MB appended, want 3 to 8", got)
		}
	})
}

// TestSmallLoadMakesNoTrim checks that a deployment with a small load makes no call to trim.
func TestSmallLoadMakesNoTrim(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for i := range 200 {
			if err := tc.submit(n, fmt.Sprint("job", i), simplePlan(10, 100)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Minute)
		if got := tc.store.Trims(); got != 0 {
			t.Errorf("got %d trims, want none", got)
		}
	})
}

// TestNewJobsLeaveRoomForAcceptedOnes guards against new jobs that take the last room of the
// store, so that the ends of accepted ones can't be stored. Refused jobs must not run.
func TestNewJobsLeaveRoomForAcceptedOnes(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		tc.store.SetLimits(fake.StoreLimits{Total: 2_000_000})
		tc.configure = func(options *Options) { options.TopicBytes = 1_000_000 }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		accepted := tc.submitBulky(n, "first", 30)
		if accepted < 8 || accepted > 10 {
			t.Errorf("got %d jobs of 100 KB accepted, want as many as 1 MB holds", accepted)
		}
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "first7", tasks.Completed)
		if got := tc.checker.Starts(); got != accepted {
			t.Errorf("got %d starts, want %d: one for each accepted job", got, accepted)
		}
		time.Sleep(jobLifetime)
		if got := tc.submitBulky(n, "second", 1); got != 1 {
			t.Error("got no job accepted after others were deleted, want one")
		}
	})
}

// TestFullStoreIsNotFatal guards against a full store that ends what runs: ownership can still
// be verified, so leases are renewed. Ends are stored and new jobs accepted once there is room.
func TestFullStoreIsNotFatal(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		tc.configure = func(options *Options) { options.Trimmer = nil }
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			if taskID.Job == "long" {
				return fake.RunProfile{Duration: 25 * time.Second}
			}
			return fake.RunProfile{Duration: 3 * time.Second}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"long", "short"} {
			if err := tc.submit(n, id, simplePlan(8, 100)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		tc.store.SetLimits(fake.StoreLimits{Total: 1})
		// The ends of the short job are the first write that the store refuses.
		time.Sleep(3 * time.Second)
		for range 10 {
			time.Sleep(1700 * time.Millisecond)
			if err := tc.submit(n, "new", simplePlan(1, 100)); !errors.Is(err, ErrStoreFull) && !errors.Is(err, ErrStoreUnavailable) {
				t.Errorf("got %v for a job while the store is full, want it refused", err)
			}
		}
		tc.wantPhase(n, "short", tasks.Open)
		tc.store.SetLimits(fake.StoreLimits{})
		time.Sleep(fullPause + 500*time.Millisecond)
		tc.wantPhase(n, "short", tasks.Completed)
		if err := tc.submit(n, "new", simplePlan(1, 100)); err != nil {
			t.Errorf("got %v for a job after room has returned, want it accepted", err)
		}
		time.Sleep(8 * time.Second)
		tc.wantPhase(n, "long", tasks.Completed)
		tc.wantPhase(n, "new", tasks.Completed)
		if got, want := tc.checker.Starts(), 17; got != want {
			t.Errorf("got %d starts, want %d: each task once", got, want)
		}
	})
}

// TestClaimTrimsFullStore guards against a service without an owner: the store is full of what
// the owner that died has replaced.
func TestClaimTrimsFullStore(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.submitBulky(n, "job", 20)
		time.Sleep(jobLifetime)
		n.stop()
		time.Sleep(5 * time.Second)
		tc.store.SetLimits(fake.StoreLimits{Total: 1_000_000})
		n = tc.claim("b")
		time.Sleep(time.Second)
		if err := tc.submit(n, "new", simplePlan(1, 100)); err != nil {
			t.Errorf("got %v after the takeover, want none", err)
		}
	})
}

// TestTopicSizeMatchesTheStore compares the size that a cell counts with that of the newest
// records, over random writes.
func TestTopicSizeMatchesTheStore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var size topicSize
	newest := make(map[string]int)
	for range 2000 {
		record := store.Record{Key: fmt.Sprint(random.IntN(50)), Value: make([]byte, max(0, random.IntN(100)-20))}
		size.add([]store.Record{record})
		newest[record.Key] = recordOverhead + len(record.Key) + len(record.Value)
		if len(record.Value) == 0 {
			delete(newest, record.Key)
		}
		want := 0
		for _, bytes := range newest {
			want += bytes
		}
		if size.live != want {
			t.Fatalf("got %d bytes live, want %d", size.live, want)
		}
	}
}

// TestTopicSharesFitIntoTheStore checks that the shares of all cells leave room in the store, up to
// the number of services at which the lower limit binds, and that no share exceeds a topic.
func TestTopicSharesFitIntoTheStore(t *testing.T) {
	for services := range 16 {
		share := TopicShare(services)
		if share*services > liveShare*storeBytes || share > maxTopicBytes || share < minTopicBytes {
			t.Errorf("got a share of %d bytes for %d services, want all within %v of %d", share, services, liveShare, storeBytes)
		}
	}
}

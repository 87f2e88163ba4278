package sched

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/tasks"
)

// configOf returns a version of the configuration that assigns the test queue to a service.
func configOf(version int64, service string) *queue.Config {
	q := &queue.Queue{Host: "index.example", Prefix: "/jobs/", Policy: tasks.Policy{Service: service}}
	return queue.NewConfig(version, []*queue.Queue{q}, []queue.Service{{Name: testService}, {Name: "other"}}, queue.Limits{})
}

// movedCluster runs a test with a cell whose nodes' configuration of version 1 has the queue at it,
// and functions that submit a job and cancel one in advance on behalf of a node of some version.
func movedCluster(t *testing.T, test func(tc *testCluster, config *atomic.Pointer[queue.Config], submit, cancel func(n *node, id string, version int64) error)) {
	runCluster(t, 1, func(tc *testCluster) {
		var config atomic.Pointer[queue.Config]
		config.Store(configOf(1, testService))
		tc.config = config.Load
		submit := func(n *node, id string, version int64) error {
			tc.plans.Store(id, simplePlan(1, 1000))
			return n.cell.Submit(tc.ctx, Caller{ConfigVersion: version}, tasks.Key{Queue: testQueue, ID: id}, simplePlan(1, 1000), tc.policy)
		}
		cancel := func(n *node, id string, version int64) error {
			return n.cell.Cancel(tc.ctx, Caller{ConfigVersion: version}, tasks.Key{Queue: testQueue, ID: id})
		}
		test(tc, &config, submit, cancel)
	})
}

func wantError(t *testing.T, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v of %s, want %v", got, what, want)
	}
}

// TestNewJobsOfReassignedQueue guards against jobs that the owner of the old service accepts
// after another node has learnt which queues it holds jobs of: they would run at both.
func TestNewJobsOfReassignedQueue(t *testing.T) {
	movedCluster(t, func(tc *testCluster, config *atomic.Pointer[queue.Config], submit, cancel func(*node, string, int64) error) {
		n := tc.claim("a")
		wantError(t, "a submission before", submit(n, "before", 1), nil)
		config.Store(configOf(2, "other"))
		wantError(t, "a repeated submission", submit(n, "before", 1), nil)
		wantError(t, "a submission by a node that lags behind", submit(n, "lagging", 1), ErrReassigned)
		wantError(t, "a submission by a node of unknown version", submit(n, "older", 0), ErrReassigned)
		wantError(t, "a cancel in advance by a node that lags behind", cancel(n, "lagging", 1), ErrReassigned)
		wantError(t, "a submission of the same version", submit(n, "same", 2), nil)
		wantError(t, "a submission of a newer version", submit(n, "newer", 3), nil)
		wantError(t, "a cancel of a job", cancel(n, "before", 1), nil)
		config.Store(configOf(3, testService))
		wantError(t, "a submission after the queue came back", submit(n, "back", 2), nil)
	})
}

// TestMovedQueueIsClosedToOlderNodes guards against a job that runs at two services: after a node has
// looked for it at the old one, a node that lags behind must not submit it there, whatever the
// owners know of the configuration.
func TestMovedQueueIsClosedToOlderNodes(t *testing.T) {
	movedCluster(t, func(tc *testCluster, config *atomic.Pointer[queue.Config], submit, cancel func(*node, string, int64) error) {
		n := tc.claim("a")
		wantError(t, "a submission before", submit(n, "before", 1), nil)
		wantError(t, "the move", n.cell.RecordMove(tc.ctx, testQueue, 2), nil)
		for i, name := range []string{"the owner", "the next owner"} {
			id := fmt.Sprint("job", i)
			wantError(t, "a submission of an older version at "+name, submit(n, id, 1), ErrReassigned)
			wantError(t, "a cancel in advance of an older version at "+name, cancel(n, id, 1), ErrReassigned)
			wantError(t, "a repeated submission at "+name, submit(n, "before", 1), nil)
			wantError(t, "a submission of the version of the move at "+name, submit(n, id, 2), nil)
			tc.plans.Store(name, simplePlan(1, 1000))
			key := tasks.Key{Queue: "another", ID: name}
			wantError(t, "a submission to another queue at "+name, n.cell.Submit(tc.ctx, Caller{ConfigVersion: 1}, key, simplePlan(1, 1000), tc.policy), nil)
			if i == 0 {
				n = tc.claim("b")
			}
		}
		config.Store(configOf(3, testService))
		wantError(t, "a submission of an older version after the queue came back", submit(n, "back", 1), ErrReassigned)
		wantError(t, "a submission of the version before it came back", submit(n, "later", 2), nil)
		n.stop()
		<-n.done
		wantError(t, "a move at an owner that has stopped", n.cell.RecordMove(tc.ctx, testQueue, 3), ErrNotOwner)
	})
}

// TestListBindsLaterOwners guards against an owner that lags behind the one that listed the queues
// before it: it would take jobs of a queue from nodes that lag as well, though the list is final.
func TestListBindsLaterOwners(t *testing.T) {
	movedCluster(t, func(tc *testCluster, config *atomic.Pointer[queue.Config], submit, _ func(*node, string, int64) error) {
		config.Store(configOf(2, "other"))
		n := tc.claim("a")
		if list, err := n.cell.Queues(tc.ctx); err != nil || list.ConfigVersion != 2 {
			t.Fatalf("got %+v and error %v, want a list of version 2", list, err)
		}
		config.Store(configOf(1, testService))
		n = tc.claim("b")
		for version, want := range map[int64]error{1: ErrReassigned, 2: nil} {
			if err := submit(n, fmt.Sprint("job", version), version); !errors.Is(err, want) {
				t.Errorf("got error %v of a submission of version %d while the owner lags, want %v", err, version, want)
			}
		}
		config.Store(configOf(3, testService))
		for version, want := range map[int64]error{1: ErrReassigned, 2: nil, 3: nil} {
			if err := submit(n, fmt.Sprint("later", version), version); !errors.Is(err, want) {
				t.Errorf("got error %v of a submission of version %d once the owner knows that the queue is its own, want %v", err, version, want)
			}
		}
	})
}

// TestListClosesQueueThatComesBack guards against a job that runs at two services: a node that relies
// on a list has had it accepted elsewhere, and one that lags behind submits it here once the queue
// has come back. Queues that no list has closed stay open to nodes that lag.
func TestListClosesQueueThatComesBack(t *testing.T) {
	movedCluster(t, func(tc *testCluster, config *atomic.Pointer[queue.Config], submit, _ func(*node, string, int64) error) {
		n := tc.claim("a")
		wantList := func(version int64, open ...string) {
			t.Helper()
			if list, err := n.cell.Queues(tc.ctx); err != nil || list.ConfigVersion != version || !slices.Equal(list.Open, open) {
				t.Errorf("got %+v and error %v, want version %d and open queues %v", list, err, version, open)
			}
		}
		wantList(1, testQueue)
		wantError(t, "a submission of an older version before the queue has moved", submit(n, "before", 0), nil)
		config.Store(configOf(2, "other"))
		wantList(2)
		config.Store(configOf(3, testService))
		wantError(t, "a submission of the version before the list", submit(n, "older", 1), ErrReassigned)
		wantError(t, "a submission of the version of the list", submit(n, "same", 2), nil)
		wantList(3)
		n = tc.claim("b")
		wantList(3)
		wantError(t, "a submission of an older version at the next owner", submit(n, "next", 2), ErrReassigned)
		wantError(t, "a submission of the newest version at the next owner", submit(n, "newest", 3), nil)
	})
}

// TestQueuesOfCell checks that the list holds the queues of all jobs, ended and cancelled
// ones included, at each owner, with the version of the configuration.
func TestQueuesOfCell(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.config = func() *queue.Config { return configOf(4, testService) }
		n := tc.claim("a")
		wantList := func(want ...string) {
			t.Helper()
			got, err := n.cell.Queues(tc.ctx)
			if err != nil || got.ConfigVersion != 4 || !slices.Equal(got.Queues, want) {
				t.Errorf("got %+v and error %v, want version 4 and queues %v", got, err, want)
			}
		}
		wantList()
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		if err := n.cell.Cancel(tc.ctx, Caller{ConfigVersion: 4}, tasks.Key{Queue: "another", ID: "unknown"}); !errors.Is(err, ErrUnknownJob) {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
		wantList("another", testQueue)
		old := n
		n = tc.claim("b")
		wantList("another", testQueue)
		if list, err := old.cell.Queues(tc.ctx); !errors.Is(err, ErrNotOwner) {
			t.Errorf("got %+v and error %v of the previous owner, want %v", list, err, ErrNotOwner)
		}
	})
}

// TestCancelledInAdvanceIsTold guards against another service that starts a job which was
// cancelled here before it was submitted.
func TestCancelledInAdvanceIsTold(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: "job"}); !errors.Is(err, ErrUnknownJob) {
			t.Fatal(err)
		}
		for id, want := range map[string]bool{"job": true, "other": false} {
			if got, err := tc.status(n, id); !errors.Is(err, ErrUnknownJob) || got.PreCancelled != want {
				t.Errorf("got %+v and error %v of job %s, want %v and cancelled in advance: %t", got, err, id, ErrUnknownJob, want)
			}
		}
	})
}

// Guards against a cancellation in advance at a service that doesn't know the job, while another may
// run it.
func TestCancelExisting(t *testing.T) {
	movedCluster(t, func(tc *testCluster, _ *atomic.Pointer[queue.Config], submit, _ func(*node, string, int64) error) {
		n := tc.claim("a")
		cancel := func(id string) error {
			return n.cell.CancelExisting(tc.ctx, Caller{ConfigVersion: 1}, tasks.Key{Queue: testQueue, ID: id})
		}
		wantError(t, "a cancel of no job", cancel("none"), ErrUnknownJob)
		if got, err := tc.status(n, "none"); !errors.Is(err, ErrUnknownJob) || got.PreCancelled {
			t.Errorf("got status %+v and error %v, want no job, and none cancelled in advance", got, err)
		}
		wantError(t, "a submission after it", submit(n, "none", 1), nil)
		wantError(t, "a cancel of the job", cancel("none"), nil)
		if got, err := tc.status(n, "none"); err != nil || got.Phase != tasks.Cancelled {
			t.Errorf("got status %+v and error %v, want the job cancelled", got, err)
		}
		tc.store.SetFailure("a", fake.Rejecting)
		if err := cancel("other"); err == nil || errors.Is(err, ErrUnknownJob) {
			t.Errorf("got error %v while the store is unavailable, want another than that there is no such job", err)
		}
	})
}

package sched

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/queue"
	"rattanpath/tasks"
)

// configOf returns a version of the configuration that assigns the test queue to a service.
func configOf(version int64, service string) *queue.Config {
	q := &queue.Queue{Host: "index.example", Prefix: "/jobs/", Policy: tasks.Policy{Service: service}}
	return queue.NewConfig(version, []*queue.Queue{q}, []queue.Service{{Name: testService}, {Name: "other"}}, queue.Limits{})
}

// TestNewJobsOfReassignedQueue guards against jobs that the owner of the old service accepts
// after another node has learnt which queues it holds jobs of: they would run at both.
func TestNewJobsOfReassignedQueue(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		var config atomic.Pointer[queue.Config]
		config.Store(configOf(1, testService))
		tc.config = config.Load
		n := tc.claim("a")
		submit := func(id string, version int64) error {
			tc.plans.Store(id, simplePlan(1, 1000))
			return n.cell.Submit(tc.ctx, Caller{ConfigVersion: version}, tasks.Key{Queue: testQueue, ID: id}, simplePlan(1, 1000), tc.policy)
		}
		cancel := func(id string, version int64) error {
			return n.cell.Cancel(tc.ctx, Caller{ConfigVersion: version}, tasks.Key{Queue: testQueue, ID: id})
		}
		check := func(what string, got, want error) {
			t.Helper()
			if !errors.Is(got, want) {
				t.Errorf("got error %v of %s, want %v", got, what, want)
			}
		}
		check("a submission before", submit("before", 1), nil)
		config.Store(configOf(2, "other"))
		check("a repeated submission", submit("before", 1), nil)
		check("a submission by a node that lags behind", submit("lagging", 1), ErrReassigned)
		check("a submission by a node of unknown version", submit("older", 0), ErrReassigned)
		check("a cancel in advance by a node that lags behind", cancel("lagging", 1), ErrReassigned)
		check("a submission of the same version", submit("same", 2), nil)
		check("a submission of a newer version", submit("newer", 3), nil)
		check("a cancel of a job", cancel("before", 1), nil)
		config.Store(configOf(3, testService))
		check("a submission after the queue came back", submit("back", 2), nil)
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
		if err := n.cell.Cancel(tc.ctx, Caller{}, tasks.Key{Queue: "another", ID: "unknown"}); !errors.Is(err, ErrUnknownJob) {
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

package sched

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// Guards against a serving task without a run because its owner, and no other node, can't read the
// records of the hosts.
func TestOwnerThatCannotReadRecordsStartsServingTask(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.startServing(1)
		time.Sleep(5 * time.Second)
		gaps := tc.measureGaps(tasks.ID{Job: "job"})
		n.hosts.SetRecordsDown(true)
		time.Sleep(8 * time.Second)
		tc.runners[n.hostOf("job", 0)].BreakGangs()
		time.Sleep(20 * time.Second)
		gaps.wantShort(t)
	})
}

// brokenAdvisor answers one node no more.
type brokenAdvisor struct {
	Advisor
	broken *atomic.Bool
}

// Advise implements Advisor.
func (a brokenAdvisor) Advise(ctx context.Context, step tasks.ID, hosts []string) (map[string]string, error) {
	if a.broken.Load() {
		return nil, errors.New("unreachable")
	}
	return a.Advisor.Advise(ctx, step, hosts)
}

// Guards against a serving task without a run because its owner, and no other node, can't reach the
// advisor.
func TestOwnerThatCannotReachAdvisorStartsServingTask(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		advisor := &fake.Advisor{Allows: func(string) bool { return true }, Latency: 10 * time.Millisecond, TicketTTL: 4 * time.Second}
		tc.useAdvisor(advisor)
		var broken atomic.Bool
		tc.configure = func(o *Options) { o.Advisor = brokenAdvisor{o.Advisor, &broken} }
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.startServing(1)
		time.Sleep(2 * time.Second)
		gaps := tc.measureGaps(tasks.ID{Job: "job"})
		broken.Store(true)
		time.Sleep(5 * time.Second)
		tc.runners[n.hostOf("job", 0)].BreakGangs()
		time.Sleep(20 * time.Second)
		gaps.wantShort(t)
	})
}

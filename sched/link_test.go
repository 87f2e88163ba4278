package sched

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	// slowLinkRate is 2 Mbit/s, in bytes per second.
	slowLinkRate = 250_000
	// callOverhead is the size of a call without its variable content, in bytes.
	callOverhead = 200
	// longSpec is the size of the largest spec, in bytes.
	longSpec = 4000
)

// outboundLink sends the bytes of a node one after the other.
type outboundLink struct {
	mu sync.Mutex
	// rate is in bytes per second.
	rate int64
	// idleAt is when all bytes so far will have been sent.
	idleAt time.Time
}

// transfer queues a number of bytes and returns the time until they have been sent. A
// caller that gives up does not take its bytes back.
func (l *outboundLink) transfer(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	return time.Until(l.idleAt)
}

// latency returns the latency of a call to a host.
func (l *outboundLink) latency(_ string, command any) fake.Latency {
	bytes := callOverhead
	if start, ok := command.(lease.StartCommand); ok {
		bytes += len(start.Spec)
	}
	return fake.Latency{Request: l.transfer(bytes)}
}

// linkedJournal is a journal whose writes go through a link.
type linkedJournal struct {
	claim.Journal
	link *outboundLink
}

func (j *linkedJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	bytes := callOverhead
	for _, record := range write.Records {
		bytes += len(record.Key) + len(record.Value)
	}
	if err := core.Sleep(ctx, j.link.transfer(bytes)); err != nil {
		return 0, err
	}
	return j.Journal.Append(ctx, write)
}

// TestBurstOnSlowLink gives the owner a link of 2 Mbit/s, serving tasks, and a burst
// of jobs whose records and start commands are several times what the link carries in
// that time. No lease may expire, jobs that can't be started in time must be refused
// at once, and once the burst is over every accepted job must end.
func TestBurstOnSlowLink(t *testing.T) {
	runCluster(t, 40, func(tc *testCluster) {
		link := &outboundLink{rate: slowLinkRate}
		tc.wrapJournal = func(journal claim.Journal) claim.Journal { return &linkedJournal{journal, link} }
		tc.linkRate = slowLinkRate
		tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
			return fake.RunProfile{Serving: taskID.Job == "serving", Duration: 600 * time.Millisecond}
		}
		n := tc.claim("a")
		n.hosts.SetLatency(link.latency)
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "serving", servingPlan(30, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		b := &burst{cluster: tc, owner: n}
		b.submit(5*time.Second, 50*time.Millisecond)
		time.Sleep(maxStartWait + 10*time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		if got := tc.checker.Ends(tasks.EndLeaseExpired); got != 0 {
			t.Errorf("got %d runs whose lease expired, want 0", got)
		}
		if len(b.accepted) == 0 || b.refused == 0 {
			t.Errorf("got %d jobs accepted and %d refused, want some of each", len(b.accepted), b.refused)
		}
		if b.slowestRefusal > 0 {
			t.Errorf("got a refusal after %v, want all at once", b.slowestRefusal)
		}
		for _, id := range b.accepted {
			tc.wantPhase(n, id, tasks.Completed)
		}
	})
}

// burst submits wide jobs with long specs and records what becomes of them.
type burst struct {
	cluster *testCluster
	owner   *node

	mu             sync.Mutex
	accepted       []string
	refused        int
	slowestRefusal time.Duration
}

// submit submits a job every interval.
func (b *burst) submit(duration, interval time.Duration) {
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		go b.submitJob(fmt.Sprintf("burst%d", i))
		time.Sleep(interval)
	}
}

func (b *burst) submitJob(id string) {
	plan := simplePlan(12, 500)
	plan.Spec = string(make([]byte, longSpec))
	start := time.Now()
	err := b.cluster.submit(b.owner, id, plan)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil:
		b.accepted = append(b.accepted, id)
	case errors.Is(err, ErrOverloaded):
		b.refused++
		b.slowestRefusal = max(b.slowestRefusal, time.Since(start))
	}
}

// TestJobsThatWaitForHostsAreNotRefused submits jobs that no host has room for: their
// start commands don't wait for the link, so that further jobs must be accepted.
func TestJobsThatWaitForHostsAreNotRefused(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		tc.linkRate = slowLinkRate
		n := tc.claim("a")
		time.Sleep(busyLinkMemory)
		plan := simplePlan(200, 2*hostCPU)
		plan.Spec = string(make([]byte, longSpec))
		for i := range 3 {
			if err := tc.submit(n, fmt.Sprint("large", i), plan); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if err := tc.submit(n, "small", simplePlan(1, 1000)); err != nil {
			t.Errorf("got %v, want the job accepted", err)
		}
	})
}

// TestAcceptedJobsMeetTheirObjective submits more jobs than the link can start. Those
// that are accepted must complete in time.
func TestAcceptedJobsMeetTheirObjective(t *testing.T) {
	runCluster(t, 40, func(tc *testCluster) {
		tc.linkRate = slowLinkRate
		tc.policy.Stretch, tc.policy.Target = 1.6, 600*time.Millisecond
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		b := &burst{cluster: tc, owner: n}
		b.submit(10*time.Second, 50*time.Millisecond)
		time.Sleep(maxStartWait + 10*time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.accepted) == 0 || b.refused == 0 {
			t.Errorf("got %d jobs accepted and %d refused, want some of each", len(b.accepted), b.refused)
		}
		late := 0
		for _, id := range b.accepted {
			tc.wantPhase(n, id, tasks.Completed)
			if !n.inTime(id) {
				late++
			}
		}
		if late > 0 {
			t.Errorf("got %d of %d accepted jobs late, want none", late, len(b.accepted))
		}
	})
}

// inTime reports whether a job with one step has met its objective.
func (n *node) inTime(id string) bool {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	e := n.cell.byID[id]
	step := &e.job.Plan.Steps[0]
	objective := time.Duration(e.job.Policy.Stretch*float64(step.Estimate)) + e.job.Policy.Target
	return e.job.Ended.Sub(e.job.Accepted) <= objective
}

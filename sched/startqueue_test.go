package sched

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// startCounter counts the start commands in flight to each host.
type startCounter struct {
	lease.HostClient

	mu       sync.Mutex
	inFlight map[string]int
	most     int
}

func (c *startCounter) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	c.add(host.ID, 1)
	defer c.add(host.ID, -1)
	return c.HostClient.Start(ctx, host, command)
}

func (c *startCounter) add(host string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[host] += change
	c.most = max(c.most, c.inFlight[host])
}

func (c *startCounter) mostInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most
}

// startLatency is the latency of start commands; other calls take no time.
func startLatency(latency time.Duration) func(string, any) fake.Latency {
	return func(_ string, command any) fake.Latency {
		if _, isStart := command.(lease.StartCommand); isStart {
			return fake.Latency{Request: latency / 2, Reply: latency / 2}
		}
		return fake.Latency{}
	}
}

// Guards against an owner that opens a connection for each start command of a burst: in a
// peak that took a fifth of its processor time.
func TestBurstOfStartsTakesFewConnections(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		counter := &startCounter{inFlight: make(map[string]int)}
		tc.wrapHosts = func(client lease.HostClient) lease.HostClient {
			counter.HostClient = client
			return counter
		}
		n := tc.claim("a")
		n.hosts.SetLatency(startLatency(4 * time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(16, 1000)); err != nil {
			t.Fatal(err)
		}
		// 8 commands to each host, two at a time, take 16 ms.
		time.Sleep(100 * time.Millisecond)
		if got := tc.checker.Starts(); got != 16 {
			t.Errorf("got %d starts after 100 ms, want 16", got)
		}
		if most := counter.mostInFlight(); most > 2 {
			t.Errorf("got %d start commands to a host at a time, want at most 2", most)
		}
		time.Sleep(2 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// TestUnansweredStartsDelayNoOthers loses the replies of the first start commands to a
// host. The others must go out once these are overdue, not when their calls end.
func TestUnansweredStartsDelayNoOthers(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		var mu sync.Mutex
		starts := 0
		n := tc.claim("a")
		n.hosts.SetLatency(func(_ string, command any) fake.Latency {
			mu.Lock()
			defer mu.Unlock()
			if _, isStart := command.(lease.StartCommand); !isStart {
				return fake.Latency{}
			}
			if starts++; starts <= maxStartSenders {
				return fake.Latency{Reply: time.Minute}
			}
			return fake.Latency{Request: time.Millisecond, Reply: time.Millisecond}
		})
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(8, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(replyTimeout + 100*time.Millisecond)
		if got := tc.checker.Starts(); got != 8 {
			t.Errorf("got %d starts %v after the first were overdue, want 8", got, 100*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		tc.wantPhase(n, "job", tasks.Completed)
	})
}

// Guards against an owner that lacks processor time and takes all late replies for lost: it
// then asks hosts for reports and opens connections, which takes more of it.
func TestRepliesOfSlowOwnerAreNotLost(t *testing.T) {
	runCluster(t, 20, func(tc *testCluster) {
		n := tc.claim("a")
		var latency atomic.Int64
		n.hosts.SetLatency(func(host string, command any) fake.Latency {
			return startLatency(time.Duration(latency.Load()))(host, command)
		})
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "job", simplePlan(3000, 1000))
		for took := 20 * time.Millisecond; took <= 400*time.Millisecond; took += 20 * time.Millisecond {
			latency.Store(int64(took))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		starts, unconfirmed := tc.checker.Starts(), n.cell.options.Metrics.UnconfirmedStarts.Get()
		if most := uint64(starts / 50); unconfirmed > most {
			t.Errorf("got %d of %d starts unconfirmed, want at most %d", unconfirmed, starts, most)
		}
	})
}

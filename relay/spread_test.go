package relay

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// spreadLimit is the limit of calls a second in these tests, and manyCalls more than that.
const (
	spreadLimit = 20
	manyCalls   = 100
)

// countedHosts counts the calls that a node makes itself.
type countedHosts struct {
	lease.HostClient
	calls atomic.Int64
}

// Heartbeat implements lease.HostClient.
func (h *countedHosts) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	h.calls.Add(1)
	return h.HostClient.Heartbeat(ctx, host, heartbeat)
}

// spreadCalls makes the client of the first node one with a limit, and returns the count of the calls
// that it makes itself.
func (rt *relayTest) spreadCalls() *countedHosts {
	direct := &countedHosts{HostClient: rt.nodes.hosts[0]}
	rt.client = NewClient(direct, rt.nodes.clock, metrics.NewSet(), logr.Discard())
	rt.client.SetNodes(rt.nodes)
	rt.client.SetDirectRate(spreadLimit)
	return direct
}

// callFor sends heartbeats at a rate for some time, and returns how many were not answered.
func (rt *relayTest) callFor(period time.Duration, rate int) int {
	failed := 0
	for begun := time.Now(); time.Since(begun) < period; time.Sleep(time.Second / time.Duration(rate)) {
		if !rt.heartbeat() {
			failed++
		}
	}
	return failed
}

// Guards against a node that makes all calls itself while it has more to make than it can, or that
// troubles others while it has few.
func TestCallsAreSpreadWhileThereAreMany(t *testing.T) {
	runRelayTest(t, 6, func(rt *relayTest) {
		direct := rt.spreadCalls()
		for _, test := range []struct {
			rate      int
			min, most float64
		}{{spreadLimit / 2, 0.99, 1}, {manyCalls, 0, 0.1}, {spreadLimit / 2, 0.99, 1}} {
			rt.callFor(minSpreadTime+time.Second, test.rate)
			direct.calls.Store(0)
			before := rt.client.delegated.Get()
			if failed := rt.callFor(5*time.Second, test.rate); failed > 0 {
				t.Errorf("got %d calls without an answer at %d a second, want none", failed, test.rate)
			}
			others := rt.client.delegated.Get() - before
			made := float64(direct.calls.Load()) / float64(direct.calls.Load()+int64(others))
			if made < test.min || made > test.most {
				t.Errorf("got a share of %.2f that the node made itself at %d calls a second, want %.2f to %.2f", made, test.rate, test.min, test.most)
			}
		}
	})
}

// Guards against hosts that count as silent because a delegate is gone, is busy, has restarted, or
// doesn't reach them.
func TestTroubleOfDelegatesFailsNoCall(t *testing.T) {
	for name, trouble := range map[string]func(n *testNodes, node int){
		"gone":             func(n *testNodes, node int) { n.setDown(n.Others()[node-1]) },
		"busy":             func(n *testNodes, node int) { n.busy[node].Store(true) },
		"host not reached": func(n *testNodes, node int) { n.hosts[node].SetPartitioned("h", true) },
	} {
		t.Run(name, func(t *testing.T) {
			runRelayTest(t, 6, func(rt *relayTest) {
				rt.spreadCalls()
				if failed := rt.callFor(3*time.Second, manyCalls); failed > 0 {
					t.Fatalf("got %d calls without an answer before the trouble, want none", failed)
				}
				for node := 1; node < 6; node++ {
					trouble(rt.nodes, node)
				}
				// What a node has sent when it gets in trouble may be lost, once.
				if failed := rt.callFor(5*time.Second, manyCalls); failed > 1 {
					t.Errorf("got %d calls without an answer, want at most 1", failed)
				}
			})
		})
	}
}

// Guards against calls that wait for ever, or are made again, after a delegate has restarted.
func TestRestartedDelegateKnowsNoSession(t *testing.T) {
	runRelayTest(t, 2, func(rt *relayTest) {
		service := rt.nodes.service[1]
		var results Results
		call := Call{Number: 1, Request: Request{Host: pool.Host{ID: "h"}, Heartbeat: &lease.Heartbeat{Token: 1}}}
		if err := service.Exchange(&Batch{Session: 5, Calls: []Call{call}}, &results); err != nil || !results.Unknown {
			t.Errorf("got %+v and error %v for a session that nobody began, want it unknown", results, err)
		}
		rt.spreadCalls()
		rt.callFor(2*time.Second, manyCalls)
		restarted := NewService(rt.nodes.hosts[1], rt.nodes.clock)
		go restarted.Run(rt.ctx)
		rt.nodes.replace(1, restarted)
		if failed := rt.callFor(3*time.Second, manyCalls); failed > 1 {
			t.Errorf("got %d calls without an answer after the delegate has restarted, want at most 1", failed)
		}
	})
}

// slowNodes are nodes to which batches with calls take some time.
type slowNodes struct {
	Nodes
	delay atomic.Int64
}

// Exchange implements Nodes.
func (n *slowNodes) Exchange(ctx context.Context, address string, batch *Batch, results *Results) error {
	if len(batch.Calls) > 0 {
		time.Sleep(time.Duration(n.delay.Load()))
	}
	return n.Nodes.Exchange(ctx, address, batch, results)
}

// Guards against a run that begins in a new incarnation of its host after it was given up, because the
// start command was on its way to a delegate while the host restarted.
func TestLateStartIsNotMadeByDelegate(t *testing.T) {
	runRelayTest(t, 2, func(rt *relayTest) {
		rt.spreadCalls()
		nodes := &slowNodes{Nodes: rt.nodes}
		rt.client.SetNodes(nodes)
		run := 0
		for _, test := range []struct {
			delay time.Duration
			sent  bool
		}{{0, true}, {300 * time.Millisecond, true}, {700 * time.Millisecond, false}} {
			nodes.delay.Store(0)
			if failed := rt.callFor(avoidTime+2*time.Second, manyCalls); failed > 0 {
				t.Fatalf("got %d calls without an answer, want none", failed)
			}
			run++
			nodes.delay.Store(int64(test.delay))
			_, err := rt.client.Start(rt.ctx, rt.host(), lease.StartCommand{Task: tasks.ID{Job: "job"}, Run: run, Token: 1})
			if got := !errors.Is(err, lease.ErrNotSent); got != test.sent {
				t.Errorf("got a command that was sent %t after %v on its way, want %t: %v", got, test.delay, test.sent, err)
			}
		}
	})
}

// Guards against other nodes that make this one hold any number of sessions or results.
func TestSessionsAreLimited(t *testing.T) {
	runRelayTest(t, 1, func(rt *relayTest) {
		service := rt.nodes.service[0]
		begun := 0
		for id := range uint64(2 * maxSessions) {
			var results Results
			_ = service.Exchange(&Batch{Session: id, First: true}, &results)
			if !results.Unknown {
				begun++
			}
		}
		if begun != maxSessions {
			t.Errorf("got %d sessions at once, want %d", begun, maxSessions)
		}
		batch := &Batch{Session: 1}
		for number := range uint64(maxCalls + 100) {
			batch.Calls = append(batch.Calls, Call{Number: number, Request: Request{Host: pool.Host{ID: "h"}, Heartbeat: &lease.Heartbeat{Token: 1, Wait: time.Second}}})
		}
		var results Results
		_ = service.Exchange(batch, &results)
		if got := len(results.Results); got != 100 {
			t.Errorf("got %d of %d calls refused, want 100", got, len(batch.Calls))
		}
		time.Sleep(sessionRetention + time.Second)
		if _ = service.Exchange(&Batch{Session: 1, Wait: time.Hour}, &results); !results.Unknown {
			t.Error("got a session that has not been used for long, want it forgotten")
		}
	})
}

// Guards against a batch of another node with calls without a command, which must not end the process.
func TestBatchWithoutCommands(t *testing.T) {
	runRelayTest(t, 1, func(rt *relayTest) {
		var results Results
		_ = rt.nodes.service[0].Exchange(&Batch{Session: 1, First: true, Calls: make([]Call, 3), Wait: -time.Hour}, &results)
		time.Sleep(time.Second)
		_ = rt.nodes.service[0].Exchange(&Batch{Session: 1}, &results)
		if got := len(results.Results); got != 3 {
			t.Fatalf("got %d results, want 3", got)
		}
		for _, result := range results.Results {
			if _, err := result.Response.result(); !errors.Is(err, lease.ErrNotSent) {
				t.Errorf("got error %v, want %v", err, lease.ErrNotSent)
			}
		}
	})
}

// Guards against calls that go on waiting for a delegate which is suspended or out of reach.
func TestSilentDelegateGetsNoMoreCalls(t *testing.T) {
	runRelayTest(t, 2, func(rt *relayTest) {
		rt.spreadCalls()
		nodes := &slowNodes{Nodes: rt.nodes}
		rt.client.SetNodes(nodes)
		rt.callFor(2*time.Second, manyCalls)
		nodes.delay.Store(int64(800 * time.Millisecond))
		go rt.heartbeat()
		time.Sleep(maxBatchTime + 50*time.Millisecond)
		begun := time.Now()
		if answered := rt.heartbeat(); !answered || time.Since(begun) > 10*time.Millisecond {
			t.Errorf("got an answer %t after %v while the delegate is silent, want one at once", answered, time.Since(begun))
		}
	})
}

// burst sends as many heartbeats at once and returns how many were not answered.
func (rt *relayTest) burst(count int) int {
	answers := make(chan bool, count)
	for range count {
		go func() { answers <- rt.heartbeat() }()
	}
	failed := 0
	for range count {
		if !<-answers {
			failed++
		}
	}
	return failed
}

// Guards against a node that takes a busy service over and calls all its hosts itself at first, each
// over a new connection, because it has not counted calls yet.
func TestBurstOfCallsIsSpread(t *testing.T) {
	runRelayTest(t, 6, func(rt *relayTest) {
		direct := rt.spreadCalls()
		const calls = 50 * spreadLimit
		if failed := rt.burst(calls); failed > 0 {
			t.Errorf("got %d of %d calls without an answer, want none", failed, calls)
		}
		if got := direct.calls.Load(); got > calls/20 {
			t.Errorf("got %d of %d calls at once that the node made itself, want at most a twentieth", got, calls)
		}
	})
}

// Guards against hosts that count as silent because nodes that have just gone are chosen as delegates, as
// after a loss of many nodes.
func TestSessionsThatDoNotBeginFailNoCall(t *testing.T) {
	runRelayTest(t, 6, func(rt *relayTest) {
		rt.spreadCalls()
		rt.client.SetNodes(unreachableNodes{rt.nodes})
		if failed := rt.burst(50 * spreadLimit); failed > 0 {
			t.Errorf("got %d calls without an answer while no delegate answers, want none", failed)
		}
	})
}

// unreachableNodes are nodes that don't answer batches.
type unreachableNodes struct{ Nodes }

// Exchange implements Nodes.
func (unreachableNodes) Exchange(ctx context.Context, _ string, _ *Batch, _ *Results) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against leases that aren't renewed because heartbeats wait behind the start commands of a peak.
func TestHeartbeatsGoBeforeStarts(t *testing.T) {
	d := newDelegate(&Client{clock: core.BootClock}, nil, "", 1)
	const starts = 100
	for run := range starts {
		d.enqueue(&Request{Start: &lease.StartCommand{Run: run, Spec: strings.Repeat("x", 4000)}})
	}
	d.enqueue(&Request{Stop: &lease.StopCommand{}})
	d.enqueue(&Request{Heartbeat: &lease.Heartbeat{}})
	first := d.nextBatch().Calls
	if first[0].Request.Stop == nil || first[1].Request.Heartbeat == nil {
		t.Errorf("got %+v and %+v first, want the stop command and the heartbeat", first[0].Request, first[1].Request)
	}
	sent := len(first) - 2
	if sent >= starts {
		t.Errorf("got %d start commands of 4 KB in a batch, want fewer", sent)
	}
	for sent < starts {
		batch := d.nextBatch()
		if len(batch.Calls) == 0 || batch.Calls[0].Request.Start.Run != sent {
			t.Fatalf("got a batch of %d calls after %d start commands, want the next ones in their order", len(batch.Calls), sent)
		}
		sent += len(batch.Calls)
	}
}

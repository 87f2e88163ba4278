package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/link"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// testNodes are nodes with a client of the hosts each. They implement Nodes for the first one.
type testNodes struct {
	start time.Time
	hosts []*fake.HostClient
	// busy is set for each node that refuses batches.
	busy  []*atomic.Bool
	calls atomic.Int64

	mu      sync.Mutex
	service []*Service
	// down holds the addresses of nodes that can't be reached.
	down map[string]bool
}

// setDown makes a node unreachable.
func (n *testNodes) setDown(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = true
}

// replace makes another service answer for a node.
func (n *testNodes) replace(node int, service *Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.service[node] = service
}

func (n *testNodes) clock() time.Duration { return time.Since(n.start) + time.Hour }

// Others implements Nodes.
func (n *testNodes) Others() []string {
	var others []string
	for i := range n.hosts[1:] {
		others = append(others, fmt.Sprint(i+1))
	}
	return others
}

// Send implements Nodes.
func (n *testNodes) Send(_ context.Context, address string, request *Request, response *Response) error {
	service, err := n.find(address)
	if err != nil {
		return err
	}
	return service.Send(request, response)
}

// Exchange implements Nodes.
func (n *testNodes) Exchange(_ context.Context, address string, batch *Batch, results *Results) error {
	service, err := n.find(address)
	if err != nil {
		return err
	}
	return service.Exchange(batch, results)
}

// find counts a call and returns the service at an address.
func (n *testNodes) find(address string) (*Service, error) {
	n.calls.Add(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[address] {
		return nil, errors.WithStack(&link.ConnectError{Address: address, Err: errors.New("refused")})
	}
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return nil, err
	}
	return n.service[index], nil
}

// relayTest is a node with a client of one host, and other nodes.
type relayTest struct {
	t      *testing.T
	ctx    context.Context
	nodes  *testNodes
	client *Client
	runner *fake.Runner

	mu   sync.Mutex
	view pool.View
}

// runRelayTest runs a test with a number of nodes on the fake clock.
func runRelayTest(t *testing.T, nodes int, test func(rt *relayTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runner := fake.NewRunner(pool.Host{ID: "h", Address: "h"}, 1, fake.NewInvariantChecker(), func(tasks.ID, int) fake.RunProfile {
			return fake.RunProfile{Serving: true}
		})
		go runner.Run(ctx)
		n := &testNodes{start: time.Now(), down: make(map[string]bool)}
		for range nodes {
			hosts := fake.NewHostClient(map[string]*fake.Runner{"h": runner}, func(tasks.ID) tasks.Resources { return tasks.Resources{} })
			hosts.SetClock(n.clock)
			service, busy := NewService(hosts, n.clock), &atomic.Bool{}
			service.RefuseWhile(busy.Load)
			go service.Run(ctx)
			n.hosts, n.service, n.busy = append(n.hosts, hosts), append(n.service, service), append(n.busy, busy)
		}
		client := NewClient(n.hosts[0], n.clock, metrics.NewSet(), logr.Discard())
		client.SetNodes(n)
		rt := &relayTest{t: t, ctx: ctx, nodes: n, client: client, runner: runner}
		go rt.run()
		time.Sleep(time.Second)
		test(rt)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// run reads the host's record at the interval of a node.
func (rt *relayTest) run() {
	for rt.ctx.Err() == nil {
		view := rt.nodes.hosts[0].View()
		rt.mu.Lock()
		rt.view = view
		rt.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
}

// host returns the host as its record describes it now.
func (rt *relayTest) host() *pool.Host {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.view.Hosts["h"]
}

// heartbeat sends a heartbeat and reports whether it was answered.
func (rt *relayTest) heartbeat() bool {
	_, err := rt.client.Heartbeat(rt.ctx, rt.host(), lease.Heartbeat{Token: 1})
	return err == nil
}

// answeredWithin sends heartbeats until one is answered, and returns how long that took.
func (rt *relayTest) answeredWithin(limit time.Duration) (took time.Duration, answered bool) {
	begun := time.Now()
	for time.Since(begun) < limit {
		if rt.heartbeat() {
			return time.Since(begun), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return limit, false
}

// Guards against runs that lapse on a live host because their owner can't reach it, while another
// node does.
func TestHostIsReachedThroughAnotherNode(t *testing.T) {
	for _, reaching := range []int{1, 3, 6} {
		t.Run(fmt.Sprint("only node ", reaching), func(t *testing.T) {
			runRelayTest(t, 7, func(rt *relayTest) {
				if !rt.heartbeat() {
					t.Fatal("got no answer before the cut, want one")
				}
				for i, hosts := range rt.nodes.hosts {
					hosts.SetPartitioned("h", i != reaching)
				}
				// The leases of the owner's last heartbeat last for 4.5 s.
				if took, answered := rt.answeredWithin(10 * time.Second); !answered || took > 4*time.Second {
					t.Errorf("got an answer %t after %v, want one within 4 s", answered, took)
				}
				for range 10 {
					time.Sleep(500 * time.Millisecond)
					if !rt.heartbeat() {
						t.Error("got no answer through the node that reaches the host, want one")
					}
				}
			})
		})
	}
}

// Guards against an owner that goes on asking another node, or a node that has failed.
func TestHostIsReachedDirectlyAgain(t *testing.T) {
	runRelayTest(t, 3, func(rt *relayTest) {
		rt.nodes.hosts[0].SetPartitioned("h", true)
		if _, answered := rt.answeredWithin(10 * time.Second); !answered {
			t.Fatal("got no answer through another node, want one")
		}
		rt.nodes.setDown("1")
		rt.nodes.setDown("2")
		if rt.heartbeat() {
			t.Error("got an answer while no node can be reached, want none")
		}
		rt.nodes.hosts[0].SetPartitioned("h", false)
		if took, answered := rt.answeredWithin(10 * time.Second); !answered || took > time.Second {
			t.Errorf("got a direct answer %t after %v, want one within 1 s", answered, took)
		}
	})
}

// Guards against a path through another node that is kept once the direct one works.
func TestDirectPathIsPreferred(t *testing.T) {
	runRelayTest(t, 3, func(rt *relayTest) {
		rt.nodes.hosts[0].SetPartitioned("h", true)
		rt.answeredWithin(10 * time.Second)
		rt.nodes.hosts[0].SetPartitioned("h", false)
		for range 8 {
			rt.heartbeat()
			time.Sleep(300 * time.Millisecond)
		}
		calls := rt.nodes.calls.Load()
		if !rt.heartbeat() || rt.nodes.calls.Load() != calls {
			t.Errorf("got %d calls through other nodes 2.4 s after the host can be reached, want none", rt.nodes.calls.Load()-calls)
		}
	})
}

// Guards against a flood of calls through all nodes to a host that is gone.
func TestGoneHostCostsFewCalls(t *testing.T) {
	runRelayTest(t, 8, func(rt *relayTest) {
		rt.heartbeat()
		rt.runner.Crash()
		host := rt.host()
		for _, hosts := range rt.nodes.hosts {
			hosts.SetPartitioned("h", true)
		}
		for range 10 {
			_, _ = rt.client.Heartbeat(rt.ctx, host, lease.Heartbeat{Token: 1})
			time.Sleep(300 * time.Millisecond)
		}
		if got := rt.nodes.calls.Load(); got > 13 {
			t.Errorf("got %d calls through other nodes in 13 s, want at most one a second", got)
		}
	})
}

// Guards against commands that waited at a node while it was suspended and take effect late.
func TestSuspendedNodeRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		runner := fake.NewRunner(pool.Host{ID: "h"}, 1, fake.NewInvariantChecker(), func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{} })
		start := time.Now()
		var suspended atomic.Int64
		clock := func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }
		service := NewService(fake.NewHostClient(map[string]*fake.Runner{"h": runner}, nil), clock)
		request := &Request{Host: pool.Host{ID: "h"}, Heartbeat: &lease.Heartbeat{Token: 1}}
		refused := func() bool {
			var response Response
			if err := service.Send(request, &response); err != nil {
				t.Fatal(err)
			}
			_, err := response.result()
			return errors.Is(err, lease.ErrNotSent)
		}
		go service.Run(ctx)
		time.Sleep(2 * time.Second)
		if refused() {
			t.Error("got a refusal from a node that runs, want none")
		}
		suspended.Store(int64(3 * time.Second))
		if !refused() {
			t.Error("got no refusal right after a suspension, want one")
		}
		time.Sleep(500 * time.Millisecond)
		if !refused() {
			t.Error("got no refusal half a second after a suspension, want one")
		}
		time.Sleep(time.Second)
		if refused() {
			t.Error("got a refusal 1.5 s after a suspension, want none")
		}
		cancel()
	})
}

// Guards against a request of another node without a command, which must not end the process.
func TestRequestWithoutCommand(t *testing.T) {
	runRelayTest(t, 2, func(rt *relayTest) {
		var response Response
		if err := rt.nodes.service[1].Send(&Request{}, &response); err != nil {
			t.Fatal(err)
		}
		if _, err := response.result(); !errors.Is(err, lease.ErrNotSent) {
			t.Errorf("got error %v, want %v", err, lease.ErrNotSent)
		}
	})
}

// Guards against a request of another node that occupies this one for longer than hosts may delay
// their replies.
func TestWaitOfRequestIsLimited(t *testing.T) {
	for _, test := range []struct{ wait, want time.Duration }{{time.Second, time.Second}, {time.Hour, maxWait}, {-time.Hour, 0}} {
		request := &Request{Heartbeat: &lease.Heartbeat{Wait: test.wait}}
		if got := request.wait(); got != test.want {
			t.Errorf("got %v for a wait of %v, want %v", got, test.wait, test.want)
		}
	}
}

// Guards against a node that asks for so many hosts at once, since its link is full, that its
// leases aren't renewed.
func TestSearchesAreLimited(t *testing.T) {
	runRelayTest(t, 9, func(rt *relayTest) {
		for i, hosts := range rt.nodes.hosts {
			for h := range 100 {
				hosts.SetPartitioned(fmt.Sprint("x", h), i >= 0)
			}
		}
		now := rt.nodes.clock()
		for h := range 100 {
			host := &pool.Host{ID: fmt.Sprint("x", h), Address: "x", WrittenAfter: now}
			go func() { _, _ = rt.client.Heartbeat(rt.ctx, host, lease.Heartbeat{Token: 1}) }()
		}
		time.Sleep(1500 * time.Millisecond)
		if got, most := rt.nodes.calls.Load(), int64(16*8); got == 0 || got > most {
			t.Errorf("got %d calls through other nodes for 100 silent hosts, want 1 to %d", got, most)
		}
	})
}

package owner

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/store"
	"rattanpath/tasks"
)

const testService = "index"

// fixedConfig is a configuration with one service and no hosts.
type fixedConfig struct{}

func (fixedConfig) Config() *queue.Config {
	return queue.NewConfig(1, nil, []queue.Service{{Name: testService}}, queue.Limits{})
}
func (fixedConfig) View() pool.View          { return pool.View{} }
func (fixedConfig) Changed() <-chan struct{} { return nil }

// slowJournal delays the read of a claim.
type slowJournal struct {
	claim.Journal
	delay time.Duration
}

func (j *slowJournal) Newest(ctx context.Context, topic string) (store.Snapshot, error) {
	if err := core.Sleep(ctx, j.delay); err != nil {
		return store.Snapshot{}, err
	}
	return j.Journal.Newest(ctx, topic)
}

// testNode is a member of the group that runs the cells assigned to it.
type testNode struct {
	member     *Member
	supervisor *Supervisor
}

// startNode starts a node whose claims take as long as readTime.
func startNode(ctx context.Context, s *fake.Store, group Group, name string, readTime time.Duration) *testNode {
	return startConfigured(ctx, s, group, name, readTime, fixedConfig{})
}

// startConfigured does the same with another configuration.
func startConfigured(ctx context.Context, s *fake.Store, group Group, name string, readTime time.Duration, config ConfigSource) *testNode {
	member := NewMember(group, name, name+":1", time.Second, false, logr.Discard())
	supervisor := NewSupervisor(member, config, fixedConfig{}, 32, sched.Options{
		Node:         name,
		Journal:      &slowJournal{s.Client(name), readTime},
		HostClient:   fake.NewHostClient(nil, nil),
		Clock:        core.BootClock,
		MaxLease:     6 * time.Second,
		JobRetention: time.Minute,
		BatchBytes:   1 << 20,
		Link:         sched.NewLink(0),
		Logger:       logr.Discard(),
		Metrics:      sched.NewMetrics(metrics.NewSet()),
	}, logr.Discard())
	go member.Run(ctx)
	go supervisor.Run(ctx)
	return &testNode{member: member, supervisor: supervisor}
}

// countingConn counts the bytes written.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// TestRequestsWaitForTheClaim submits jobs to an owner that is reading its records for
// 2 s. All must be accepted, and hardly more may be sent than each job once.
func TestRequestsWaitForTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		const readTime = 2 * time.Second
		node := startNode(ctx, s, s.Client("a"), "a", readTime)
		server := rpc.NewServer()
		if err := server.RegisterName(RPCName, NewService(node.supervisor)); err != nil {
			t.Fatal(err)
		}
		var sent atomic.Int64
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go server.ServeConn(far)
			context.AfterFunc(ctx, func() { _ = near.Close() })
			return &countingConn{near, &sent}, nil
		}
		client := NewClient(s.Client("b"), fixedConfig{}, nil, "b:1", 32, dial, logr.Discard())
		go client.Run(ctx)
		time.Sleep(2 * renewInterval)

		const jobs, specBytes, overhead = 20, 4000, 1000
		var wg sync.WaitGroup
		for i := range jobs {
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, readTime+time.Second)
				defer cancel()
				id := fmt.Sprintf("%016x", i)
				response := client.Call(callCtx, MethodSubmit, Request{
					Service: testService, Key: tasks.Key{Queue: "q", ID: id},
					Plan: tasks.Plan{Spec: string(make([]byte, specBytes)), Steps: []tasks.Step{{Count: 1}}},
				})
				if response.Outcome != Done {
					t.Errorf("got outcome %v for job %d, want %v", response.Outcome, i, Done)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		if got, want := sent.Load(), int64(2*jobs*(specBytes+overhead)); got > want {
			t.Errorf("got %d bytes sent for %d jobs, want at most %d", got, jobs, want)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// slowOwner is an owner that runs its cell, and doesn't respond to submissions while it
// is overloaded.
type slowOwner struct {
	overloaded atomic.Bool
	done       <-chan struct{}
}

func (o *slowOwner) Submit(*Request, *Response) error {
	if o.overloaded.Load() {
		<-o.done
	}
	return nil
}

func (*slowOwner) Await(*Request, *Response) error { return nil }

// TestSubmissionsBackOff submits jobs to an owner that doesn't respond. On average each
// must be sent once at most, and all must be accepted soon once the owner responds again.
func TestSubmissionsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		startNode(ctx, s, s.Client("a"), "a", 0)
		slow := &slowOwner{done: ctx.Done()}
		server := rpc.NewServer()
		if err := server.RegisterName(RPCName, slow); err != nil {
			t.Fatal(err)
		}
		var sent atomic.Int64
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go server.ServeConn(far)
			context.AfterFunc(ctx, func() { _ = near.Close() })
			return &countingConn{near, &sent}, nil
		}
		client := NewClient(s.Client("b"), fixedConfig{}, nil, "b:1", 32, dial, logr.Discard())
		go client.Run(ctx)
		time.Sleep(2 * time.Second)

		const jobs, specBytes, overhead = 60, 4000, 1000
		submit := func(timeout time.Duration) map[Outcome]int {
			outcomes := make(map[Outcome]int)
			var mu sync.Mutex
			var wg sync.WaitGroup
			for range jobs {
				wg.Go(func() {
					callCtx, cancel := context.WithTimeout(ctx, timeout)
					defer cancel()
					response := client.Call(callCtx, MethodSubmit, Request{Service: testService, Plan: tasks.Plan{Spec: string(make([]byte, specBytes))}})
					mu.Lock()
					defer mu.Unlock()
					outcomes[response.Outcome]++
				})
			}
			wg.Wait()
			return outcomes
		}
		slow.overloaded.Store(true)
		if got := submit(3 * time.Second)[NotOwner]; got == 0 {
			t.Errorf("got no job of %d refused without being sent, want some", jobs)
		}
		if got, want := sent.Load(), int64(jobs*(specBytes+overhead)); got > want {
			t.Errorf("got %d bytes sent to an owner that doesn't respond, want at most %d", got, want)
		}
		slow.overloaded.Store(false)
		if got := submit(time.Second)[Done]; got != jobs {
			t.Errorf("got %d of %d jobs accepted by an owner that responds, want all", got, jobs)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

package cell

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	testService = "index"
	testQueue   = "index.example/jobs/"
	testLease   = 6 * time.Second
	// hostCPU is the capacity of a host in thousandths of a core.
	hostCPU = 8000
	// endTime is how long everything takes to end.
	endTime = 5 * time.Second
)

// world is a store, some hosts and the nodes that decide, in paused time.
type world struct {
	t       *testing.T
	ctx     context.Context
	store   *fake.Store
	judge   *fake.InvariantChecker
	runners map[string]*fake.Runner
	work    func(name tasks.ID, run int) fake.RunProfile
	begun   time.Time
	out     io.Writer
	// plans are the plans of all jobs by ID.
	plans sync.Map
	jobs  int
	// stuck is the host on which every run stands still.
	stuck string
	// policy is that of the queue, and advisor may be nil.
	policy  tasks.Policy
	advisor *fake.Advisor
}

// node is a node that has the cell, or thinks so.
type node struct {
	name  string
	hosts *fake.HostClient
	cell  *Cell
	stop  context.CancelFunc
	done  chan struct{}
}

// inWorld runs a test in paused time with a number of hosts.
func inWorld(t *testing.T, hosts int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := &world{
			t: t, ctx: ctx, store: fake.NewStore(), judge: fake.NewInvariantChecker(),
			runners: make(map[string]*fake.Runner), begun: time.Now(), out: io.Discard,
			policy: tasks.Policy{Service: testService, MaxAttempts: 3},
		}
		w.judge.MaxUnavailable = w.mayMiss
		w.work = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 500 * time.Millisecond} }
		for i := range hosts {
			w.addHost(fmt.Sprintf("h%d", i), 1-0.02*float64(i%2))
		}
		test(w)
		for _, fault := range w.judge.Violations() {
			t.Error(fault)
		}
		cancel()
		time.Sleep(endTime)
	})
}

func (w *world) addHost(id string, drift float64) {
	info := pool.Host{ID: id, Service: testService, Address: id, Labels: []string{"a", "r1-" + id}, Capacity: tasks.Resources{CPU: hostCPU, MemMB: 1 << 16}}
	runner := fake.NewRunner(info, drift, w.judge, func(name tasks.ID, run int) fake.RunProfile {
		if id == w.stuck {
			return fake.RunProfile{Duration: 500 * time.Millisecond, Stalls: true}
		}
		return w.work(name, run)
	})
	runner.SetAdvisor(w.advisor)
	w.runners[id] = runner
	go runner.Run(w.ctx)
}

// advise gives the queue an advisor.
func (w *world) advise(advisor *fake.Advisor) {
	w.advisor = advisor
	w.policy.Advice = &tasks.AdvisorSettings{Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Valid: advisor.TicketTTL}
	for _, runner := range w.runners {
		runner.SetAdvisor(advisor)
	}
}

// room returns what a task occupies.
func (w *world) room(name tasks.ID) tasks.Resources {
	plan, _ := w.plans.Load(name.Job)
	return plan.(tasks.Plan).Steps[name.Step].RequiredResources()
}

// mayMiss returns how many tasks of a step may be away at once by orders.
func (w *world) mayMiss(name tasks.ID) int {
	plan, _ := w.plans.Load(name.Job)
	return plan.(tasks.Plan).Steps[name.Step].MayMiss
}

// claim makes a node take the cell over and run it.
func (w *world) claim(name string) *node {
	w.t.Helper()
	n := &node{name: name, hosts: fake.NewHostClient(w.runners, w.room), done: make(chan struct{})}
	var logger logr.Logger
	if w.out == io.Discard {
		logger = logr.Discard()
	} else {
		logger = core.NewLogger(w.out, name)
	}
	options := Options{
		Service:    testService,
		Node:       name,
		Journal:    w.store.Client(name),
		Hosts:      n.hosts,
		Clock:      func() time.Duration { return time.Since(w.begun) },
		MaxLease:   testLease,
		KeepEnded:  2 * time.Minute,
		BatchBytes: 1 << 20,
		Logger:     logger,
		Meters:     NewMeters(metrics.NewSet()),
	}
	if w.advisor != nil {
		options.Advisor = w.advisor
	}
	c := w.claimCell(options)
	n.cell = c
	c.SetHosts(n.hosts.View())
	ctx, cancel := context.WithCancel(w.ctx)
	n.stop = cancel
	go func() {
		defer close(n.done)
		c.Run(ctx)
	}()
	go n.watch(ctx)
	return n
}

// claimCell claims the cell, over and over while the store doesn't answer.
func (w *world) claimCell(options Options) *Cell {
	w.t.Helper()
	nonce := options.Node + time.Now().String()
	for range 20 {
		c, err := Claim(w.ctx, options, nonce)
		if err == nil {
			return c
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("node %s could not claim the cell", options.Node)
	return nil
}

// watch tells the cell of hosts that change.
func (n *node) watch(ctx context.Context) {
	for core.Sleep(ctx, 300*time.Millisecond) == nil {
		n.cell.SetHosts(n.hosts.View())
	}
}

// hostOf returns the host of a task of a job's first step.
func (n *node) hostOf(id string, index int) string {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	job := n.cell.jobs[tasks.Key{Queue: testQueue, ID: id}].job
	return job.Task(tasks.ID{Job: id, Index: index}).Host
}

// submit hands a job in and waits for up to a second.
func (w *world) submit(n *node, id string, plan tasks.Plan) error {
	w.plans.Store(id, plan)
	w.jobs++
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	return n.cell.Submit(ctx, tasks.Key{Queue: testQueue, ID: id}, plan, w.policy)
}

// status asks for a job.
func (w *world) status(n *node, id string) (Status, error) {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	return n.cell.Status(ctx, tasks.Key{Queue: testQueue, ID: id})
}

// simple is a plan of one step.
func simple(count int, cpu int64) tasks.Plan {
	return tasks.Plan{Spec: "spec", Steps: []tasks.Step{{Count: count, Room: tasks.Resources{CPU: cpu, MemMB: 100}, Estimate: 500 * time.Millisecond}}}
}

// lasting is a plan of one step of serving tasks, at most one of a host.
func lasting(count int, cpu int64) tasks.Plan {
	plan := simple(count, cpu)
	plan.Steps[0].Lasting = true
	plan.Steps[0].MaxPerHost = 1
	plan.Steps[0].MayMiss = 1
	return plan
}

// wantPhase checks how far a job is.
func (w *world) wantPhase(n *node, id string, want tasks.Phase) {
	w.t.Helper()
	got, err := w.status(n, id)
	if err != nil || got.Phase != want {
		w.t.Errorf("got phase %v and error %v of job %s at %s, want phase %v", got.Phase, err, id, n.name, want)
	}
}

package sched

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

	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/tasks"
)

const (
	testService = "index"
	testQueue   = "index.example/jobs/"
	testLease   = 6 * time.Second
	// hostCPU is the CPU capacity of a host in millicores.
	hostCPU = 8000
	// shutdownTime is enough for all goroutines to end.
	shutdownTime = 5 * time.Second
)

// testCluster is a store with hosts and the nodes that claim a cell, run on the
// fake clock of synctest.
type testCluster struct {
	t         *testing.T
	ctx       context.Context
	store     *fake.Store
	checker   *fake.InvariantChecker
	runners   map[string]*fake.Runner
	profileOf func(taskID tasks.ID, run int) fake.RunProfile
	start     time.Time
	logOutput io.Writer
	// profileOn, if not nil, changes the profile of a run on a host.
	profileOn func(host string, taskID tasks.ID, profile fake.RunProfile) fake.RunProfile
	// plans holds the plans of all jobs by ID.
	plans sync.Map
	// mu protects submittedJobs.
	mu            sync.Mutex
	submittedJobs int
	// stallingHost is the host on which every run stalls.
	stallingHost string
	// policy is the policy of the queue. advisor may be nil.
	policy  tasks.Policy
	advisor *fake.Advisor
	// wrapJournal and wrapHosts, if not nil, wrap the journal and the client of the hosts
	// of each node. linkRate is the link rate that nodes are told, in bytes per second.
	wrapJournal func(claim.Journal) claim.Journal
	wrapHosts   func(lease.HostClient) lease.HostClient
	linkRate    int64
	// config, if not nil, is the active configuration of all nodes.
	config func() *queue.Config
	// configure, if not nil, changes the options of each node.
	configure func(*Options)
}

// node is a node that has claimed the cell and may have lost it since.
type node struct {
	name  string
	hosts *fake.HostClient
	cell  *Cell
	stop  context.CancelFunc
	done  chan struct{}
}

// runCluster runs a test with a number of hosts on the fake clock and reports
// violated invariants at its end.
func runCluster(t *testing.T, hosts int, test func(tc *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tc := newTestCluster(ctx, t, hosts)
		test(tc)
		for _, violation := range tc.checker.Violations() {
			t.Error(violation)
		}
		cancel()
		time.Sleep(shutdownTime)
	})
}

// newTestCluster returns a cluster whose hosts run until ctx ends.
func newTestCluster(ctx context.Context, t *testing.T, hosts int) *testCluster {
	t.Helper()
	tc := &testCluster{
		t: t, ctx: ctx, store: fake.NewStore(), checker: fake.NewInvariantChecker(),
		runners: make(map[string]*fake.Runner), start: time.Now(), logOutput: io.Discard,
		policy: tasks.Policy{Service: testService, MaxAttempts: 3},
	}
	tc.checker.MaxUnavailable = tc.maxUnavailable
	tc.checker.MaxAttempts = tc.policy.MaxAttempts
	tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 500 * time.Millisecond} }
	for i := range hosts {
		tc.addHost(fmt.Sprintf("h%d", i), 1-0.02*float64(i%2))
	}
	return tc
}

func (tc *testCluster) addHost(id string, drift float64) {
	tc.runners[id] = tc.newHost(id, id, drift)
}

// newHost returns a host at an address that runs until the cluster's context ends.
func (tc *testCluster) newHost(id, address string, drift float64) *fake.Runner {
	info := pool.Host{ID: id, Service: testService, Address: address, Labels: []string{"a", "r1-" + id}, Capacity: tasks.Resources{CPU: hostCPU, MemMB: 1 << 16}}
	runner := fake.NewRunner(info, drift, tc.checker, func(taskID tasks.ID, run int) fake.RunProfile {
		if id == tc.stallingHost {
			return fake.RunProfile{Duration: 500 * time.Millisecond, Stalls: true}
		}
		profile := tc.profileOf(taskID, run)
		if tc.profileOn != nil {
			profile = tc.profileOn(id, taskID, profile)
		}
		return profile
	})
	runner.SetAdvisor(tc.advisor)
	go runner.Run(tc.ctx)
	return runner
}

// useAdvisor makes the queue use an advisor.
func (tc *testCluster) useAdvisor(advisor *fake.Advisor) {
	tc.advisor = advisor
	tc.policy.Advice = &tasks.AdvisorSettings{Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Valid: advisor.TicketTTL}
	for _, runner := range tc.runners {
		runner.SetAdvisor(advisor)
	}
}

// resourcesOf returns the resources that a task occupies.
func (tc *testCluster) resourcesOf(taskID tasks.ID) tasks.Resources {
	plan, _ := tc.plans.Load(taskID.Job)
	return plan.(tasks.Plan).Steps[taskID.Step].RequiredResources()
}

// maxUnavailable returns how many tasks of a step may be unavailable at once.
func (tc *testCluster) maxUnavailable(taskID tasks.ID) int {
	plan, _ := tc.plans.Load(taskID.Job)
	return plan.(tasks.Plan).Steps[taskID.Step].MayMiss
}

// claim makes a node claim the cell and run it.
func (tc *testCluster) claim(name string) *node {
	tc.t.Helper()
	n := &node{name: name, hosts: fake.NewHostClient(tc.runners, tc.resourcesOf), done: make(chan struct{})}
	var logger logr.Logger
	if tc.logOutput == io.Discard {
		logger = logr.Discard()
	} else {
		logger = core.NewLogger(tc.logOutput, name)
	}
	clock := func() time.Duration { return time.Since(tc.start) }
	n.hosts.SetClock(clock)
	options := Options{
		Service:      testService,
		Node:         name,
		Journal:      tc.store.Client(name),
		HostClient:   n.hosts,
		Clock:        clock,
		Config:       tc.config,
		MaxLease:     testLease,
		MaxRecordAge: fake.CapacityGrace,
		JudgeHosts:   true,
		JobRetention: 2 * time.Minute,
		BatchBytes:   1 << 20,
		Trimmer:      tc.store.Client(name),
		Link:         NewLink(tc.linkRate),
		Logger:       logger,
		Metrics:      NewMetrics(metrics.NewSet()),
	}
	if tc.advisor != nil {
		options.Advisor = tc.advisor
	}
	if tc.wrapJournal != nil {
		options.Journal = tc.wrapJournal(options.Journal)
	}
	if tc.wrapHosts != nil {
		options.HostClient = tc.wrapHosts(options.HostClient)
	}
	if tc.configure != nil {
		tc.configure(&options)
	}
	c := tc.claimCell(options)
	n.cell = c
	c.SetHosts(n.hosts.View())
	ctx, cancel := context.WithCancel(tc.ctx)
	n.stop = cancel
	go func() {
		defer close(n.done)
		c.Run(ctx)
	}()
	go n.pollHosts(ctx)
	return n
}

// claimCell claims the cell and retries while the store doesn't respond.
func (tc *testCluster) claimCell(options Options) *Cell {
	tc.t.Helper()
	nonce := options.Node + time.Now().String()
	for range 20 {
		c, err := Claim(tc.ctx, options, nonce)
		if err == nil {
			return c
		}
		time.Sleep(100 * time.Millisecond)
	}
	tc.t.Fatalf("node %s could not claim the cell", options.Node)
	return nil
}

// kill ends a node without a release.
func (tc *testCluster) kill(n *node) {
	tc.store.SetFailure(n.name, fake.Unresponsive)
	n.stop()
}

// pollHosts keeps the cell's hosts up to date.
func (n *node) pollHosts(ctx context.Context) {
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

// submit submits a job with a timeout of a second.
func (tc *testCluster) submit(n *node, id string, plan tasks.Plan) error {
	tc.plans.Store(id, plan)
	tc.mu.Lock()
	tc.submittedJobs++
	tc.mu.Unlock()
	ctx, cancel := context.WithTimeout(tc.ctx, time.Second)
	defer cancel()
	return n.cell.Submit(ctx, Caller{}, tasks.Key{Queue: testQueue, ID: id}, plan, tc.policy)
}

// status returns the status of a job.
func (tc *testCluster) status(n *node, id string) (Status, error) {
	ctx, cancel := context.WithTimeout(tc.ctx, time.Second)
	defer cancel()
	return n.cell.Status(ctx, Caller{}, tasks.Key{Queue: testQueue, ID: id})
}

// simplePlan returns a plan with one step.
func simplePlan(count int, cpu int64) tasks.Plan {
	return tasks.Plan{Spec: "spec", Steps: []tasks.Step{{Count: count, Room: tasks.Resources{CPU: cpu, MemMB: 100}, Estimate: 500 * time.Millisecond}}}
}

// servingPlan returns a plan with one step of serving tasks, at most one per
// host.
func servingPlan(count int, cpu int64) tasks.Plan {
	plan := simplePlan(count, cpu)
	plan.Steps[0].Lasting = true
	plan.Steps[0].MaxPerHost = 1
	plan.Steps[0].MayMiss = 1
	return plan
}

// wantPhase checks the phase of a job.
func (tc *testCluster) wantPhase(n *node, id string, want tasks.Phase) {
	tc.t.Helper()
	got, err := tc.status(n, id)
	if err != nil || got.Phase != want {
		tc.t.Errorf("got phase %v and error %v of job %s at %s, want phase %v", got.Phase, err, id, n.name, want)
	}
}

package infra

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

const (
	// maxServingGap is how long a serving task may be without a run.
	maxServingGap = 9 * time.Second
	// takeoverTime is the time from the loss of an owner to the claim of the next one.
	takeoverTime = 2500 * time.Millisecond
	servingTasks = 3
)

// lossyFleet is a fleet of one service whose hosts and owners are lost. It implements the
// interfaces that the controller needs, for the owner of the moment.
type lossyFleet struct {
	t       *testing.T
	store   *fake.Store
	checker *fake.InvariantChecker
	runners map[string]*fake.Runner
	started time.Time

	mu    sync.Mutex
	owner *sched.Cell
	down  map[string]bool
	// unlisted are the hosts without a record.
	unlisted map[string]bool
}

func newLossyFleet(ctx context.Context, t *testing.T, hosts int) *lossyFleet {
	f := &lossyFleet{
		t: t, store: fake.NewStore(), checker: fake.NewInvariantChecker(), runners: make(map[string]*fake.Runner),
		started: time.Now(), down: make(map[string]bool), unlisted: make(map[string]bool),
	}
	for i := range hosts {
		info := pool.Host{ID: fmt.Sprintf("h%d", i), Service: "s", Address: "a", Capacity: tasks.Resources{CPU: 8000, MemMB: 8000}}
		f.runners[info.ID] = fake.NewRunner(info, 1, f.checker, func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} })
		go f.runners[info.ID].Run(ctx)
	}
	return f
}

func (f *lossyFleet) clock() time.Duration { return time.Since(f.started) }

// startOwner makes a node claim the cell and lead the machine controller, until it is lost.
func (f *lossyFleet) startOwner(ctx context.Context, name string) (lose func()) {
	f.t.Helper()
	hosts := fake.NewHostClient(f.runners, func(tasks.ID) tasks.Resources { return tasks.Resources{CPU: 1000} })
	hosts.SetClock(f.clock)
	cell, err := sched.Claim(ctx, sched.Options{
		Service: "s", Node: name, Journal: f.store.Client(name), HostClient: hosts, Clock: f.clock,
		MaxLease: testHostLease, JobRetention: time.Minute, BatchBytes: 1 << 20, Trimmer: f.store.Client(name),
		Link: sched.NewLink(0), Logger: logr.Discard(), Metrics: sched.NewMetrics(metrics.NewSet()),
	}, name)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.owner = cell
	f.mu.Unlock()
	leader := New(Options{
		Node: name, Address: name, Cloud: f, Cells: f, Leaders: f, Operator: f, Journal: f.store.Client(name), Clock: f.clock,
		IsLeader:    func() bool { return true },
		StatusTopic: "status", MachineLease: testLease, MoveDuration: testMoveDuration, MaintenanceDuration: testMaintenanceDuration, MaxLease: testHostLease,
		Logger: logr.Discard(), Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(ctx)
	go cell.Run(ctx)
	go leader.Run(ctx)
	go f.pollHosts(ctx, cell, hosts)
	return func() {
		f.store.SetFailure(name, fake.Unresponsive)
		for id := range f.runners {
			hosts.SetPartitioned(id, true)
		}
		cancel()
	}
}

// pollHosts keeps the hosts of a cell up to date.
func (f *lossyFleet) pollHosts(ctx context.Context, cell *sched.Cell, hosts *fake.HostClient) {
	for ctx.Err() == nil {
		f.mu.Lock()
		for id := range f.runners {
			hosts.SetUnlisted(id, f.unlisted[id])
		}
		f.mu.Unlock()
		cell.SetHosts(hosts.View())
		_ = core.Sleep(ctx, 300*time.Millisecond)
	}
}

// crash crashes a host for good.
func (f *lossyFleet) crash(id string) {
	f.runners[id].Crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[id] = true
}

// removeRecord removes the record of a host.
func (f *lossyFleet) removeRecord(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted[id] = true
}

func (f *lossyFleet) cell() *sched.Cell {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owner
}

// Machines implements Cloud.
func (f *lossyFleet) Machines(context.Context) ([]Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var machines []Machine
	for id := range f.runners {
		m := Machine{Name: "m-" + id, Pool: "s", Host: id, Capacity: tasks.Resources{CPU: 8000, MemMB: 8000}}
		if f.down[id] {
			m.State, m.Host = Down, ""
		}
		machines = append(machines, m)
	}
	return machines, nil
}

// Move implements Cloud.
func (f *lossyFleet) Move(context.Context, Order, string) (OrderResult, error) { return Invalid, nil }

// Maintain implements Cloud.
func (f *lossyFleet) Maintain(context.Context, Order, int64) (OrderResult, error) {
	return Invalid, nil
}

// Report implements CellClient.
func (f *lossyFleet) Report(context.Context, string) (sched.Report, error) { return f.cell().Report() }

// Cordon implements CellClient.
func (f *lossyFleet) Cordon(_ context.Context, _ string, hosts []string, d time.Duration, evict bool) ([]sched.HostReport, error) {
	return f.cell().Cordon(hosts, d, evict)
}

// Retire implements CellClient.
func (f *lossyFleet) Retire(_ context.Context, _ string, hosts []sched.RetiredHost) error {
	return f.cell().Retire(hosts)
}

// Allot implements CellClient.
func (f *lossyFleet) Allot(context.Context, string, sched.Allotment) error { return nil }

// Resign implements LeaderClient.
func (f *lossyFleet) Resign(context.Context, string, int64) (map[string]time.Duration, error) {
	return nil, errUnreachable
}

// Config implements ConfigSource.
func (f *lossyFleet) Config() *queue.Config {
	return queue.NewConfig(1, nil, []queue.Service{{Name: "s"}}, queue.Limits{})
}

// Waves implements ConfigSource.
func (f *lossyFleet) Waves() map[int64]*queue.Wave { return nil }

// submit submits a job of serving tasks that are kept apart.
func (f *lossyFleet) submit(ctx context.Context, id string) {
	f.t.Helper()
	plan := tasks.Plan{Spec: "spec", Steps: []tasks.Step{{Count: servingTasks, Room: tasks.Resources{CPU: 1000}, Lasting: true, MaxPerHost: 1, MayMiss: 1}}}
	if err := f.cell().Submit(ctx, sched.Caller{}, tasks.Key{Queue: "q", ID: id}, plan, tasks.Policy{Service: "s", MaxAttempts: 3}); err != nil {
		f.t.Fatal(err)
	}
}

// hostOf returns the host of a task of a job.
func (f *lossyFleet) hostOf(id string, index int) string {
	f.t.Helper()
	detail, err := f.cell().Explain(id)
	if err != nil {
		f.t.Fatal(err)
	}
	return detail.Tasks[index].Host
}

// Guards against a serving task that stays without a run since its owner waits for the leases on a
// host that has crashed, anew after each change of owner, although the cloud shows that the host is
// gone.
func TestServingTaskRunsAgainAfterItsHostIsLost(t *testing.T) {
	tests := []struct {
		name string
		// owners is how many owners are lost, the first with the host.
		owners   int
		recorded bool
	}{
		{"owner stays", 0, true},
		{"owner lost too", 1, true},
		{"owner lost too, host has no record", 1, false},
		{"two owners lost too", 2, true},
		{"two owners lost too, host has no record", 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newLossyFleet(ctx, t, servingTasks+2)
				lose := f.startOwner(ctx, "node-0")
				time.Sleep(time.Second)
				f.submit(ctx, "job")
				time.Sleep(4 * time.Second)
				id := f.hostOf("job", 0)
				f.crash(id)
				crashed := time.Now()
				if !test.recorded {
					f.removeRecord(id)
				}
				for owner := range test.owners {
					lose()
					time.Sleep(takeoverTime)
					lose = f.startOwner(ctx, fmt.Sprintf("node-%d", owner+1))
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(time.Until(crashed.Add(maxServingGap)))
				for index := range servingTasks {
					if got := f.checker.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
						t.Errorf("got %d runs of task %d %v after the loss of a host, want 1", got, index, maxServingGap)
					}
				}
				for _, violation := range f.checker.Violations() {
					t.Error(violation)
				}
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

package infra

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

var quotaSeeds = flag.Uint64("quota.seeds", 12, "seeds of the chaos test of quotas")

const (
	quotaHostCPU = 8000
	quotaHosts   = 4
	quotaTask    = 1000
	quotaCap     = 16000
	// maxHeld is how long an organisation that uses under half of its cap may be held up by it.
	maxHeld = 3 * time.Second
	// quotaCheckInterval is the time between two checks.
	quotaCheckInterval = 50 * time.Millisecond
	// serviceRemoval is how long the quota of a removed service stays set aside.
	serviceRemoval = departedTime + time.Second
)

// quotaCluster runs the cells of several services on fake hosts, and the controllers that
// lend quotas to them. It implements the cloud, without machines, and the cells' client.
type quotaCluster struct {
	t       *testing.T
	ctx     context.Context
	store   *fake.Store
	checker *fake.InvariantChecker
	runners map[string]*fake.Runner
	start   time.Time
	config  atomic.Pointer[queue.Config]
	plans   sync.Map
	// cloudDown is set while machines can't be listed.
	cloudDown atomic.Bool
	// duration returns the run time of a task.
	duration func(task tasks.ID) time.Duration

	mu sync.Mutex
	// owners holds the node that claimed each cell last.
	owners map[string]*quotaOwner
	claims int
	jobs   int
	// unreachable holds the services whose owners can't be called. allotFault is called for
	// each allotment and reports whether it is lost.
	unreachable map[string]bool
	allotFault  func(service string, allotment sched.Allotment) bool
	allotments  int
	leaders     []*testNode
	// heldSince is since when each organisation is held up by its cap.
	heldSince map[string]time.Time
	worst     map[string]int64
	longest   time.Duration
}

// quotaOwner is a node that has claimed a cell.
type quotaOwner struct {
	name string
	cell *sched.Cell
	stop context.CancelFunc
}

// organisationConfig returns a configuration of services and organisations with a cap.
func organisationConfig(version int64, services []string, limit int64, names ...string) *queue.Config {
	var list []queue.Service
	for _, name := range services {
		list = append(list, queue.Service{Name: name})
	}
	var organisations []queue.Organisation
	for _, name := range names {
		organisations = append(organisations, queue.Organisation{Name: name, Weight: 1, Cap: tasks.Resources{CPU: limit}})
	}
	return queue.NewConfig(version, nil, list, queue.Limits{}).WithOrganisations(organisations, nil)
}

// runQuotas runs a test with cells that are claimed, and a leader, on the fake clock.
func runQuotas(t *testing.T, services []string, test func(q *quotaCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(5 * time.Second)
		}()
		q := &quotaCluster{
			t: t, ctx: ctx, store: fake.NewStore(), checker: fake.NewInvariantChecker(), runners: make(map[string]*fake.Runner),
			start: time.Now(), owners: make(map[string]*quotaOwner), unreachable: make(map[string]bool),
			heldSince: make(map[string]time.Time), worst: make(map[string]int64),
			duration:   func(tasks.ID) time.Duration { return time.Second },
			allotFault: func(string, sched.Allotment) bool { return false },
		}
		q.config.Store(organisationConfig(1, services, quotaCap, "acme", "beta"))
		for _, service := range []string{"a", "b", "c", "d"} {
			for i := range quotaHosts {
				q.addHost(service, fmt.Sprintf("%s-h%d", service, i))
			}
		}
		for _, service := range services {
			q.claim(service)
		}
		q.lead()
		time.Sleep(2 * time.Second)
		test(q)
		for _, violation := range q.checker.Violations() {
			t.Error(violation)
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		t.Logf("most running %v, longest hold-up %v, %d allotments", q.worst, q.longest, q.allotments)
	})
}

// publish replaces the configuration by one that nodes know the versions before of.
func (q *quotaCluster) publish(config *queue.Config) {
	config.Follow(q.config.Load(), true)
	q.config.Store(config)
}

// forget makes all nodes forget the versions before the configuration, as if they had started again.
func (q *quotaCluster) forget() {
	config := q.config.Load()
	q.config.Store(queue.NewConfig(config.Version, nil, slices.Clone(config.Services), config.Limits).WithOrganisations(config.Organisations, nil))
}

func (q *quotaCluster) addHost(service, id string) {
	info := pool.Host{ID: id, Service: service, Address: id, Capacity: tasks.Resources{CPU: quotaHostCPU, MemMB: 1 << 16}}
	q.runners[id] = fake.NewRunner(info, 1, q.checker, func(task tasks.ID, _ int) fake.RunProfile {
		return fake.RunProfile{Duration: q.duration(task)}
	})
	go q.runners[id].Run(q.ctx)
}

func (q *quotaCluster) clock() time.Duration { return time.Since(q.start) }

// resourcesOf returns the resources that a task occupies.
func (q *quotaCluster) resourcesOf(task tasks.ID) tasks.Resources {
	plan, _ := q.plans.Load(task.Job)
	return plan.(tasks.Plan).Steps[task.Step].RequiredResources()
}

// claim makes a new node claim a cell. Its previous owner goes on until it notices.
func (q *quotaCluster) claim(service string) *quotaOwner {
	q.t.Helper()
	q.mu.Lock()
	q.claims++
	name := fmt.Sprintf("n%d", q.claims)
	q.mu.Unlock()
	hosts := fake.NewHostClient(q.runners, q.resourcesOf)
	hosts.SetClock(q.clock)
	cell, err := sched.Claim(q.ctx, sched.Options{
		Service: service, Node: name, Journal: q.store.Client(name), HostClient: hosts, Clock: q.clock,
		MaxLease: 6 * time.Second, MaxRecordAge: fake.CapacityGrace, JobRetention: 2 * time.Minute, BatchBytes: 1 << 20,
		Link: sched.NewLink(0), Logger: logr.Discard(), Metrics: sched.NewMetrics(metrics.NewSet()),
	}, name)
	if err != nil {
		q.t.Fatal(err)
	}
	cell.SetOrganisations(q.config.Load())
	cell.SetHosts(hosts.View())
	ctx, cancel := context.WithCancel(q.ctx)
	go cell.Run(ctx)
	go q.update(ctx, cell, hosts)
	owner := &quotaOwner{name: name, cell: cell, stop: cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owners[service] = owner
	return owner
}

// update keeps the hosts and the configuration of a cell up to date.
func (q *quotaCluster) update(ctx context.Context, cell *sched.Cell, hosts *fake.HostClient) {
	for core.Sleep(ctx, 300*time.Millisecond) == nil {
		cell.SetOrganisations(q.config.Load())
		cell.SetHosts(hosts.View())
	}
}

// lead starts a controller that leads, after the previous ones have stepped down.
func (q *quotaCluster) lead() {
	for _, n := range q.leaders {
		n.isLeader.Store(false)
	}
	q.addLeader()
}

// addLeader starts a controller that leads, although others believe that they do.
func (q *quotaCluster) addLeader() {
	name := fmt.Sprintf("leader%d", len(q.leaders))
	c := New(Options{
		Node: name, Address: name, Cloud: q, Cells: q, Leaders: q, Operator: q, Journal: q.store.Client(name), Clock: q.clock,
		WaveStatus:  func(int64, bool) (string, []byte, error) { return "", nil, nil },
		StatusTopic: "status", MachineLease: testLease, MoveDuration: testMoveDuration, MaintenanceDuration: testMaintenanceDuration,
		Logger: logr.Discard(), Metrics: metrics.NewSet(),
	})
	n := &testNode{}
	c.options.IsLeader = n.isLeader.Load
	n.isLeader.Store(true)
	ctx, cancel := context.WithCancel(q.ctx)
	n.stop = cancel
	go c.Run(ctx)
	q.leaders = append(q.leaders, n)
}

func (q *quotaCluster) Config() *queue.Config        { return q.config.Load() }
func (q *quotaCluster) Waves() map[int64]*queue.Wave { return nil }

func (q *quotaCluster) Machines(context.Context) ([]Machine, error) {
	if q.cloudDown.Load() {
		return nil, errUnreachable
	}
	return []Machine{}, nil
}

func (q *quotaCluster) Move(context.Context, Order, string) (OrderResult, error) {
	return Busy, errUnreachable
}

func (q *quotaCluster) Maintain(context.Context, Order, int64) (OrderResult, error) {
	return Busy, errUnreachable
}

func (q *quotaCluster) Resign(context.Context, string, int64) (map[string]time.Duration, error) {
	return nil, errUnreachable
}

// owner returns the cell of a service for a call, or an error after the timeout if the owner
// can't be called.
func (q *quotaCluster) owner(ctx context.Context, service string) (*sched.Cell, error) {
	time.Sleep(2 * time.Millisecond)
	q.mu.Lock()
	owner, unreachable := q.owners[service], q.unreachable[service]
	q.mu.Unlock()
	if unreachable || owner == nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return owner.cell, nil
}

func (q *quotaCluster) Report(ctx context.Context, service string) (sched.Report, error) {
	cell, err := q.owner(ctx, service)
	if err != nil {
		return sched.Report{}, err
	}
	return cell.Report()
}

func (q *quotaCluster) Allot(ctx context.Context, service string, allotment sched.Allotment) error {
	q.mu.Lock()
	q.allotments++
	lost := q.allotFault(service, allotment)
	q.mu.Unlock()
	cell, err := q.owner(ctx, service)
	if err != nil {
		return err
	}
	if lost {
		<-ctx.Done()
		return errUnreachable
	}
	return cell.Allot(allotment)
}

func (q *quotaCluster) Cordon(context.Context, string, []string, time.Duration, bool) ([]sched.HostReport, error) {
	return nil, errUnreachable
}

func (q *quotaCluster) Retire(context.Context, string, []sched.RetiredHost) error {
	return errUnreachable
}

// submit submits a job of an organisation to a service, whose owner need not answer.
func (q *quotaCluster) submit(service, organisation string, plan tasks.Plan) {
	q.mu.Lock()
	q.jobs++
	id := fmt.Sprintf("%s-job%d", organisation, q.jobs)
	owner := q.owners[service]
	q.mu.Unlock()
	if owner == nil {
		return
	}
	q.plans.Store(id, plan)
	policy := tasks.Policy{Service: service, Organisation: organisation, MaxAttempts: 3}
	go func() {
		ctx, cancel := context.WithTimeout(q.ctx, time.Second)
		defer cancel()
		_ = owner.cell.Submit(ctx, sched.Caller{}, tasks.Key{Queue: service + ".example/", ID: id}, plan, policy)
	}()
}

// stepOf returns a plan of one step.
func stepOf(count int, cpu int64) tasks.Plan {
	return tasks.Plan{Spec: "spec", Steps: []tasks.Step{{Count: count, Room: tasks.Resources{CPU: cpu, MemMB: 10}, Estimate: time.Second}}}
}

// check checks the sums over all hosts and cells, with the largest task that runs.
func (q *quotaCluster) check(limit, largest int64) {
	q.t.Helper()
	for _, organisation := range q.Config().Organisations {
		name := organisation.Name
		running, counted := q.onHosts(name), q.counted(name)
		if most := limit*11/10 + largest; running > most || counted > most {
			q.t.Fatalf("got %d of %s running and %d counted after %v, want at most %d", running, name, counted, q.clock(), most)
		}
		q.worst[name] = max(q.worst[name], running)
	}
}

// onHosts returns what an organisation has running on all hosts.
func (q *quotaCluster) onHosts(name string) int64 {
	var total int64
	for _, runner := range q.runners {
		total += runner.UsedBy(func(task tasks.ID) bool { return strings.HasPrefix(task.Job, name+"-") }).CPU
	}
	return total
}

// counted returns what the owners count of an organisation.
func (q *quotaCluster) counted(name string) int64 {
	var total int64
	for _, r := range q.shares(name) {
		total += r.Used.CPU
	}
	return total
}

// shares returns the reports on an organisation of all present owners.
func (q *quotaCluster) shares(name string) []sched.OrganisationReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	var shares []sched.OrganisationReport
	for _, owner := range q.owners {
		report, err := owner.cell.Report()
		if err != nil || report.Quota == nil {
			continue
		}
		for _, r := range report.Quota.Organisations {
			if r.Name == name {
				shares = append(shares, r)
			}
		}
	}
	return shares
}

// checkHeld checks for how long an organisation has been held up by its cap while it uses
// under half of it.
func (q *quotaCluster) checkHeld(limit int64) {
	q.t.Helper()
	for _, organisation := range q.Config().Organisations {
		name, held := organisation.Name, false
		for _, r := range q.shares(name) {
			held = held || r.Wanted != (tasks.Resources{})
		}
		if !held || 2*max(q.counted(name), q.onHosts(name)) >= limit {
			delete(q.heldSince, name)
			continue
		}
		if q.heldSince[name].IsZero() {
			q.heldSince[name] = time.Now()
		}
		duration := time.Since(q.heldSince[name])
		q.longest = max(q.longest, duration)
		if duration >= maxHeld {
			q.t.Fatalf("got %s held up by its cap for %v with %d of %d in use, want less than %v", name, duration, q.counted(name), limit, maxHeld)
		}
	}
}

// watch checks for a time.
func (q *quotaCluster) watch(duration time.Duration, limit, largest int64) {
	q.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(quotaCheckInterval) {
		q.check(limit, largest)
		q.checkHeld(limit)
	}
}

// running returns what an organisation has running on the hosts of a service.
func (q *quotaCluster) running(service, name string) int64 {
	var total int64
	for id, runner := range q.runners {
		if strings.HasPrefix(id, service+"-") {
			total += runner.UsedBy(func(task tasks.ID) bool { return strings.HasPrefix(task.Job, name+"-") }).CPU
		}
	}
	return total
}

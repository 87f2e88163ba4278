package intake

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/owner"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

var (
	moveSeeds = flag.Uint64("move.seeds", 240, "seeds of the chaos test of moved queues")
	moveFirst = flag.Uint64("move.first", 0, "first seed of the chaos test of moved queues")
)

const (
	// moveNodes is the number of nodes, and moveTime how long queues are moved and jobs
	// submitted.
	moveNodes = 4
	moveTime  = 30 * time.Second
	// maxLag is how late a node reads a version of the configuration.
	maxLag = 3 * time.Second
)

var moveServices = []queue.Service{{Name: "one"}, {Name: "two"}, {Name: "three"}}

// moveCluster is a store with the cells of three services, and nodes that read the configuration
// late, on the fake clock of synctest.
type moveCluster struct {
	t      *testing.T
	ctx    context.Context
	random *rand.Rand
	store  *fake.Store
	start  time.Time
	newest *queue.Config
	nodes  []*moveNode
	claims int

	mu    sync.Mutex
	cells map[string]*moveCell
	// accepted holds the IDs of jobs that were acknowledged.
	accepted map[string]bool
}

// moveCell is a cell with the function that ends it.
type moveCell struct {
	*sched.Cell
	stop context.CancelFunc
}

// moveNode is a node that callers reach.
type moveNode struct {
	config  atomic.Pointer[queue.Config]
	handler *Handler
	stop    context.CancelFunc
}

func (n *moveNode) Config() *queue.Config { return n.config.Load() }

// learn makes the node act on a version of the configuration, which follows another one unless that
// is nil.
func (n *moveNode) learn(config, previous *queue.Config) {
	current := n.config.Load()
	if current != nil && current.Version >= config.Version {
		return
	}
	n.handler.LearnConfig(config, current != nil && current == previous)
	n.config.Store(config)
}

// startNode starts a node in place of the one with the same number. It reads the newest version.
func (c *moveCluster) startNode(i int) {
	if c.nodes[i] != nil {
		c.nodes[i].stop()
	}
	n := &moveNode{}
	codec := Codec{
		Timeout:   func(http.Header) time.Duration { return 0 },
		Key:       func(http.Header) string { return "" },
		JobSize:   func(body []byte) (int64, error) { return int64(len(body)), nil },
		DecodeJob: func([]byte) (tasks.Plan, error) { return tasks.Plan{Steps: []tasks.Step{{Count: 1}}}, nil },
	}
	n.handler = NewHandler(n, c, codec, metrics.NewSet(), logr.Discard())
	n.learn(c.newest, nil)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(c.ctx)
	go n.handler.Run(ctx)
	c.nodes[i] = n
}

// claim makes a random node the owner of a service. The previous one may not notice for a while.
func (c *moveCluster) claim(service string) {
	c.claims++
	name := fmt.Sprint("n", c.claims)
	node := c.nodes[c.random.IntN(moveNodes)]
	cell, err := sched.Claim(c.ctx, sched.Options{
		Service: service, Node: name, Journal: c.store.Client(name), Config: node.Config,
		Clock:    func() time.Duration { return time.Since(c.start) },
		MaxLease: 6 * time.Second, JobRetention: 2 * time.Minute, BatchBytes: 1 << 20,
		Link: sched.NewLink(0), Logger: logr.Discard(), Metrics: sched.NewMetrics(metrics.NewSet()),
	}, name)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	go cell.Run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if before := c.cells[service]; before != nil {
		time.AfterFunc(time.Second, before.stop)
	}
	c.cells[service] = &moveCell{cell, cancel}
}

// cell returns the cell of a service, or nil before its first claim.
func (c *moveCluster) cell(service string) *sched.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cells[service] == nil {
		return nil
	}
	return c.cells[service].Cell
}

// Call implements OwnerClient.
func (c *moveCluster) Call(ctx context.Context, method owner.Method, request owner.Request) owner.Response {
	var response owner.Response
	var err error
	cell, caller := c.cell(request.Service), sched.Caller{ConfigVersion: request.ConfigVersion}
	if cell == nil {
		return owner.Response{Outcome: owner.NotOwner}
	}
	switch method {
	case owner.MethodSubmit:
		err = cell.Submit(ctx, caller, request.Key, request.Plan, request.Policy)
	case owner.MethodStatus:
		if request.MovedIn > 0 {
			err = cell.RecordMove(ctx, request.Key.Queue, request.MovedIn)
		}
		if err == nil {
			response.Status, err = cell.Status(ctx, caller, request.Key)
		}
	default:
		c.t.Errorf("got a call of %s, want none", method)
	}
	switch {
	case err == nil:
	case errors.Is(err, sched.ErrUnknownJob):
		response.Outcome = owner.UnknownJob
	case errors.Is(err, sched.ErrReassigned):
		response.Outcome = owner.Reassigned
	case errors.Is(err, sched.ErrNotOwner):
		response.Outcome = owner.NotOwner
	default:
		response.Outcome = owner.Uncertain
	}
	return response
}

// Queues implements OwnerClient.
func (c *moveCluster) Queues(ctx context.Context, service string) (sched.QueueList, error) {
	if cell := c.cell(service); cell != nil {
		return cell.Queues(ctx)
	}
	return sched.QueueList{}, sched.ErrNotOwner
}

// publish assigns the queue to a random service. Nodes read that late, or not at all.
func (c *moveCluster) publish() {
	version := int64(1)
	if c.newest != nil {
		version = c.newest.Version + 1 + c.random.Int64N(3)
	}
	service := moveServices[c.random.IntN(len(moveServices))].Name
	q := &queue.Queue{Name: "q", Host: "a.example", Prefix: "/x/", Policy: tasks.Policy{Service: service}}
	config, previous := queue.NewConfig(version, []*queue.Queue{q}, slices.Clone(moveServices), queue.Limits{BodyBytes: 64}), c.newest
	c.newest = config
	for _, n := range c.nodes {
		if n != nil && c.random.IntN(4) > 0 {
			fake.After(time.Duration(c.random.Int64N(int64(maxLag))), func() { n.learn(config, previous) })
		}
	}
}

// submit submits a job at a random node.
func (c *moveCluster) submit(id string) {
	h := c.nodes[c.random.IntN(moveNodes)].handler
	go func() {
		if send(h, "POST", "/x/"+id, "job").Code == http.StatusOK {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.accepted[id] = true
		}
	}()
}

// step makes one random change.
func (c *moveCluster) step(id int) {
	switch what := c.random.IntN(100); {
	case what < 3:
		c.publish()
	case what < 5:
		c.claim(moveServices[c.random.IntN(len(moveServices))].Name)
	case what < 7:
		c.startNode(c.random.IntN(moveNodes))
	default:
		// A repetition comes up to some seconds after the first request.
		c.submit(fmt.Sprintf("%016x", max(0, id-c.random.IntN(60))))
	}
}

// check checks that each job is at one service, and those that were acknowledged at one.
func (c *moveCluster) check() {
	holders := make(map[string][]string)
	for _, service := range moveServices {
		jobs, err := c.cell(service.Name).Jobs()
		if err != nil {
			c.t.Fatalf("got error %v of service %s, want none", err, service.Name)
		}
		for _, job := range jobs {
			holders[job.ID] = append(holders[job.ID], service.Name)
		}
	}
	for id, services := range holders {
		if len(services) > 1 {
			c.t.Errorf("got job %s at the services %v, want one", id, services)
		}
	}
	for id := range c.accepted {
		if len(holders[id]) == 0 {
			c.t.Errorf("got no service with job %s, which was accepted", id)
		}
	}
	if len(c.accepted) < 50 {
		c.t.Errorf("got %d jobs accepted, want 50 at least", len(c.accepted))
	}
}

// TestMovedQueueChaos guards against a job that two services accept while its queue moves between
// them, nodes and owners read the configuration late or miss versions, and are replaced.
func TestMovedQueueChaos(t *testing.T) {
	for seed := *moveFirst; seed < *moveFirst+*moveSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := &moveCluster{
					t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 0)), store: fake.NewStore(), start: time.Now(),
					nodes: make([]*moveNode, moveNodes), cells: make(map[string]*moveCell), accepted: make(map[string]bool),
				}
				c.publish()
				for i := range c.nodes {
					c.startNode(i)
				}
				for _, service := range moveServices {
					c.claim(service.Name)
				}
				for id := 0; time.Since(c.start) < moveTime; id++ {
					c.step(id)
					time.Sleep(time.Duration(c.random.Int64N(int64(100 * time.Millisecond))))
				}
				time.Sleep(5 * time.Second)
				c.check()
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

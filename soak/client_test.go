package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/core"
	"rattanpath/fake/stub"
	"rattanpath/tasks"
)

const (
	// requestTimeout is how long a client waits for a response.
	requestTimeout = 3 * time.Second
	// clientInterval is the time between two requests of a client.
	clientInterval = 200 * time.Millisecond
)

// jobSpec is a job of one step.
type jobSpec struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	MemMB        int64 `json:"memMb"`
	EstRuntimeMS int64 `json:"estRuntimeMs"`
	LongRunning  bool  `json:"longRunning,omitempty"`
	AntiAffinity int   `json:"antiAffinity,omitempty"`
	MayMiss      int   `json:"mayMiss,omitempty"`
}

func (s jobSpec) resources() tasks.Resources { return tasks.Resources{CPU: s.CPU, MemMB: s.MemMB} }

// book holds the jobs of all clients.
type book struct {
	mu    sync.Mutex
	specs map[string]jobSpec
}

func (b *book) add(id string, spec jobSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.specs[id] = spec
}

func (b *book) spec(id string) jobSpec {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.specs[id]
}

// jobID returns the ID of a job by its name.
func jobID(name string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(name)) }

// client submits jobs to one node over connections that it keeps, until it gets no response.
// Then it turns to another node.
type client struct {
	name    string
	book    *book
	nodes   []*node
	current *node
	random  *rand.Rand
	http    *http.Client
	// done counts the jobs that were completed.
	done int
}

func newClient(name string, seed uint64, book *book, nodes []*node) *client {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
	return &client{name: name, book: book, nodes: nodes, current: nodes[0], random: random, http: &http.Client{Transport: &http.Transport{}}}
}

// call sends a request for a job and returns the status, 0 if there was no response.
func (c *client) call(ctx context.Context, method, id string, body []byte) (status int, text string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.current.Callers()+stub.QueuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		c.current = c.nodes[c.random.IntN(len(c.nodes))]
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// submit submits a job until it is accepted, and reports whether it was.
func (c *client) submit(ctx context.Context, id string, spec jobSpec) bool {
	c.book.add(id, spec)
	body, _ := json.Marshal(map[string]any{"spec": id, "steps": []jobSpec{spec}})
	for {
		if status, _ := c.call(ctx, http.MethodPost, id, body); status == http.StatusOK {
			return true
		}
		if core.Sleep(ctx, clientInterval) != nil {
			return false
		}
	}
}

// await waits until a job is shown as completed, and reports whether it was.
func (c *client) await(ctx context.Context, id string) bool {
	for core.Sleep(ctx, clientInterval) == nil {
		if _, text := c.call(ctx, http.MethodGet, id, nil); strings.Contains(text, `"completed"`) {
			return true
		}
	}
	return false
}

// run runs one short job after the other until stop is closed. It gives up when ctx ends.
func (c *client) run(ctx context.Context, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := jobID(fmt.Sprint(c.name, i))
		spec := jobSpec{Count: 1 + c.random.IntN(3), CPU: 200, MemMB: 50, EstRuntimeMS: int64(200 + c.random.IntN(1000))}
		if !c.submit(ctx, id, spec) || !c.await(ctx, id) {
			return
		}
		c.done++
	}
}

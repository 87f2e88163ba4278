package bench

import (
	"context"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/load"
)

// RequestCost is the cost of a request to a worker on one path.
type RequestCost struct {
	P50, P99 time.Duration
	// CPU is the CPU time per request of the caller, the worker and the entry node,
	// if there is one.
	CPU time.Duration
}

// PathResult compares requests through an entry node with requests sent directly
// to the workers, measured alternately in one run.
type PathResult struct {
	Requests int
	Direct   RequestCost
	Through  RequestCost
	// PerCore is the number of requests per second that a node can handle on one
	// core, computed from the difference between the CPU times.
	PerCore float64
	// ConnectionBytes is the memory of one idle connection of a caller.
	ConnectionBytes int64
}

const (
	pathCallers     = 16
	pathRounds      = 10
	pathRoundTime   = 500 * time.Millisecond
	idleConnections = 2000
)

// MeasurePath measures the request path through one node to 12 workers.
func MeasurePath(ctx context.Context) (*PathResult, error) {
	files := SyntheticFiles(12, 1, 1)
	f, err := startFleet(ctx, files, 1, true)
	if f != nil {
		defer f.Close(context.WithoutCancel(ctx))
	}
	if err != nil {
		return nil, err
	}
	node := f.Addresses()[0]
	hosts, err := f.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var workers []string
	for _, host := range hosts {
		if strings.HasPrefix(host.Name, "h") {
			workers = append(workers, host.Address)
		}
	}
	direct := &sampler{addresses: workers}
	through := &sampler{addresses: []string{node}, prefix: "/s0"}
	for range pathRounds {
		direct.runRound(ctx)
		through.runRound(ctx)
	}
	if failed := direct.failed + through.failed; failed > 0 {
		return nil, errors.Errorf("%d requests failed", failed)
	}
	result := &PathResult{Requests: len(direct.latencies) + len(through.latencies), Direct: direct.cost(), Through: through.cost()}
	result.PerCore = float64(time.Second) / float64(result.Through.CPU-result.Direct.CPU)
	result.ConnectionBytes, err = idleConnectionBytes(node)
	return result, err
}

// sampler sends requests on one path and collects their latencies.
type sampler struct {
	addresses []string
	prefix    string
	mu        sync.Mutex
	latencies []time.Duration
	cpu       time.Duration
	failed    int
}

func (s *sampler) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pathRoundTime)
	defer cancel()
	cpuBefore := processCPUTime()
	var callers sync.WaitGroup
	client := load.NewClient(time.Minute)
	for i := range pathCallers {
		caller := &samplerCaller{sampler: s, ctx: ctx, address: s.addresses[i%len(s.addresses)], client: client}
		callers.Go(caller.run)
	}
	callers.Wait()
	client.CloseIdleConnections()
	s.cpu += processCPUTime() - cpuBefore
}

func (s *sampler) cost() RequestCost {
	slices.Sort(s.latencies)
	return RequestCost{
		P50: quantile(s.latencies, 0.5),
		P99: quantile(s.latencies, 0.99),
		CPU: s.cpu / time.Duration(max(1, len(s.latencies))),
	}
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// idleConnectionBytes returns the memory of a caller's idle connection. It
// includes the client's side, which runs in the same process.
func idleConnectionBytes(address string) (int64, error) {
	memoryBefore := memoryInUse()
	conns := make([]net.Conn, 0, idleConnections)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	buffer := make([]byte, 4096)
	for range idleConnections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, errors.Wrap(err, "opening idle connections")
		}
		conns = append(conns, conn)
		if _, err := io.WriteString(conn, "GET /s0/get HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return 0, errors.Wrap(err, "sending a request on an idle connection")
		}
		if _, err := conn.Read(buffer); err != nil {
			return 0, errors.Wrap(err, "reading a response on an idle connection")
		}
	}
	return (memoryInUse() - memoryBefore) / idleConnections, nil
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// samplerCaller is a goroutine that sends a sampler's requests to one address.
type samplerCaller struct {
	sampler *sampler
	ctx     context.Context
	address string
	client  httpClient
}

func (c *samplerCaller) run() {
	var latencies []time.Duration
	failed := 0
	url := "http://" + c.address + c.sampler.prefix + "/get?" + fake.SizeParam + "=1000"
	for c.ctx.Err() == nil {
		started := time.Now()
		if err := fetch(c.client, url); err != nil {
			failed++
			continue
		}
		latencies = append(latencies, time.Since(started))
	}
	c.sampler.mu.Lock()
	defer c.sampler.mu.Unlock()
	c.sampler.latencies = append(c.sampler.latencies, latencies...)
	c.sampler.failed += failed
}

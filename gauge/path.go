package gauge

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

// Way is the cost of one way to reach a worker.
type Way struct {
	P50, P99 time.Duration
	// CPU is the processor time of caller, worker and what lies between, for
	// each request.
	CPU time.Duration
}

// Path compares requests through an entry node with requests sent to a worker
// directly, in turn within one run.
type Path struct {
	Requests int
	Direct   Way
	Through  Way
	// PerCore is the number of requests a second that a node carries on one
	// core, from the difference of the processor times.
	PerCore float64
	// ConnectionBytes is the memory of one idle caller's connection.
	ConnectionBytes int64
}

const (
	pathCallers = 16
	pathRounds  = 10
	roundTime   = 500 * time.Millisecond
	idleConns   = 2000
)

// MeasurePath measures the request path with one node and 12 workers.
func MeasurePath(ctx context.Context) (*Path, error) {
	files := Synthesize(12, 1, 1)
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
		direct.round(ctx)
		through.round(ctx)
	}
	if failed := direct.failed + through.failed; failed > 0 {
		return nil, errors.Errorf("%d requests failed", failed)
	}
	result := &Path{Requests: len(direct.took) + len(through.took), Direct: direct.way(), Through: through.way()}
	result.PerCore = float64(time.Second) / float64(result.Through.CPU-result.Direct.CPU)
	result.ConnectionBytes, err = connectionBytes(node)
	return result, err
}

// sampler sends requests one way and keeps their latencies.
type sampler struct {
	addresses []string
	prefix    string
	mu        sync.Mutex
	took      []time.Duration
	cpu       time.Duration
	failed    int
}

func (s *sampler) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	before := processorTime()
	var callers sync.WaitGroup
	client := load.NewClient(time.Minute)
	for i := range pathCallers {
		caller := &samplerCaller{sampler: s, ctx: ctx, address: s.addresses[i%len(s.addresses)], client: client}
		callers.Go(caller.run)
	}
	callers.Wait()
	client.CloseIdleConnections()
	s.cpu += processorTime() - before
}

func (s *sampler) way() Way {
	slices.Sort(s.took)
	return Way{
		P50: quantile(s.took, 0.5),
		P99: quantile(s.took, 0.99),
		CPU: s.cpu / time.Duration(max(1, len(s.took))),
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// connectionBytes returns the memory that a caller's idle connection takes,
// the trial's own end of it included.
func connectionBytes(address string) (int64, error) {
	before := memoryInUse()
	conns := make([]net.Conn, 0, idleConns)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	answer := make([]byte, 4096)
	for range idleConns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, errors.Wrap(err, "opening idle connections")
		}
		conns = append(conns, conn)
		if _, err := io.WriteString(conn, "GET /s0/get HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return 0, errors.Wrap(err, "using idle connections")
		}
		if _, err := conn.Read(answer); err != nil {
			return 0, errors.Wrap(err, "using idle connections")
		}
	}
	return (memoryInUse() - before) / idleConns, nil
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// samplerCaller is one caller of a sampler.
type samplerCaller struct {
	sampler *sampler
	ctx     context.Context
	address string
	client  httpClient
}

func (c *samplerCaller) run() {
	var took []time.Duration
	failed := 0
	url := "http://" + c.address + c.sampler.prefix + "/get?" + fake.SizeParam + "=1000"
	for c.ctx.Err() == nil {
		started := time.Now()
		if err := fetch(c.client, url); err != nil {
			failed++
			continue
		}
		took = append(took, time.Since(started))
	}
	c.sampler.mu.Lock()
	defer c.sampler.mu.Unlock()
	c.sampler.took = append(c.sampler.took, took...)
	c.sampler.failed += failed
}

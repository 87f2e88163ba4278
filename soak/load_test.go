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
	"sync/atomic"
	"time"

	"rattanpath/core"
	"rattanpath/fake/stub"
)

const (
	// peakFactor is the load of a service in its peak and lowFactor that between its peaks, as
	// multiples of its mean. peakPeriod is the time between two peaks.
	peakFactor = 5.0
	lowFactor  = 0.05
	peakPeriod = 16 * time.Second
	// peakTime makes the mean of the load 1.
	peakTime = 3070 * time.Millisecond
	// maxTries is how often a job is sent until it is accepted.
	maxTries = 5
	// minPollInterval and maxPollInterval bound the time between two questions for a job.
	minPollInterval = 400 * time.Millisecond
	maxPollInterval = 1200 * time.Millisecond
	// specBytes is the size of the description of a job.
	specBytes = 1500
)

// loadClass is a kind of short job.
type loadClass struct {
	// weight is the share of the load.
	weight    float64
	steps     int
	tasks     int
	cpu       int64
	memMB     int64
	runtimeMS int64
}

// loadClasses are the kinds of jobs of the services, by turns.
var loadClasses = []loadClass{
	{weight: 0.40, steps: 2, tasks: 6, cpu: 4600, memMB: 9400, runtimeMS: 680},
	{weight: 0.05, steps: 2, tasks: 8, cpu: 9900, memMB: 37_000, runtimeMS: 1800},
	{weight: 0.49, steps: 2, tasks: 6, cpu: 4600, memMB: 9400, runtimeMS: 680},
	{weight: 0.06, steps: 2, tasks: 8, cpu: 9900, memMB: 37_000, runtimeMS: 1800},
}

// loadStep is a step of a job.
type loadStep struct {
	jobSpec
	DependsOn []int `json:"dependsOn,omitempty"`
}

// load submits short jobs to the queues of all services.
type load struct {
	cluster *cluster
	http    *http.Client
	// perSecond is the mean number of jobs of all services.
	perSecond float64
	jobs      sync.WaitGroup
	// sent counts all jobs, accepted those that were accepted and completed those that were shown
	// as completed.
	sent, accepted, completed atomic.Int64
}

func newLoad(c *cluster, perSecond float64) *load {
	return &load{cluster: c, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, perSecond: perSecond}
}

// loop submits the jobs of a service until stop is closed.
func (l *load) loop(service string, index int, start time.Time, stop <-chan struct{}) {
	class := loadClasses[index%len(loadClasses)]
	random := rand.New(rand.NewPCG(l.cluster.seed, uint64(index)))
	offset := time.Duration(index) * peakPeriod / time.Duration(len(loadClasses))
	for i := 0; ; i++ {
		rate := l.perSecond * class.weight * factorAt(time.Since(start)-offset)
		wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if wait > peakPeriod/16 {
			// The load may have changed by then.
			wait = peakPeriod / 16
			if sleepUntil(wait, stop) {
				return
			}
			continue
		}
		if sleepUntil(wait, stop) {
			return
		}
		job := &loadJob{load: l, service: service, id: jobID(fmt.Sprint(service, "load", i)), random: rand.New(rand.NewPCG(random.Uint64(), 0))}
		steps := class.draw(random)
		l.cluster.book.add(job.id, steps[0].jobSpec)
		l.jobs.Go(func() { job.run(l.cluster.ctx, steps) })
	}
}

// factorAt returns the load at a time as a multiple of the mean.
func factorAt(since time.Duration) float64 {
	if (since%peakPeriod+peakPeriod)%peakPeriod < peakTime {
		return peakFactor
	}
	return lowFactor
}

// sleepUntil waits, and reports whether stop was closed.
func sleepUntil(wait time.Duration, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// draw returns the steps of a job, each of which depends on the one before.
func (l loadClass) draw(random *rand.Rand) []loadStep {
	spread := func(mean int64) int64 { return max(1, int64(float64(mean)*(0.5+random.Float64()))) }
	spec := jobSpec{Count: int(spread(int64(l.tasks))), CPU: spread(l.cpu), MemMB: spread(l.memMB), EstRuntimeMS: spread(l.runtimeMS)}
	steps := []loadStep{{jobSpec: spec}}
	for i := 1; i < 1+random.IntN(l.steps); i++ {
		steps = append(steps, loadStep{jobSpec: spec, DependsOn: []int{i - 1}})
	}
	return steps
}

// loadJob is a job of the load.
type loadJob struct {
	load    *load
	service string
	id      string
	random  *rand.Rand
}

// run submits the job, and asks for it until it is completed.
func (j *loadJob) run(ctx context.Context, steps []loadStep) {
	body, _ := json.Marshal(map[string]any{"spec": strings.Repeat("x", specBytes), "steps": steps})
	j.load.sent.Add(1)
	if !j.submit(ctx, body) {
		return
	}
	j.load.accepted.Add(1)
	for core.Sleep(ctx, minPollInterval+time.Duration(j.random.Int64N(int64(maxPollInterval-minPollInterval)))) == nil {
		if _, text, _ := j.call(ctx, http.MethodGet, nil); strings.Contains(text, `"completed"`) {
			j.load.completed.Add(1)
			return
		}
	}
}

// submit sends the job until it is accepted, and reports whether it was.
func (j *loadJob) submit(ctx context.Context, body []byte) bool {
	for range maxTries {
		status, _, retryAfter := j.call(ctx, http.MethodPost, body)
		if status == http.StatusOK {
			return true
		}
		if core.Sleep(ctx, max(clientInterval, retryAfter)) != nil {
			return false
		}
	}
	return false
}

// call sends a request to any node. The status is 0 if there was no response.
func (j *loadJob) call(ctx context.Context, method string, body []byte) (status int, text string, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	n := j.load.cluster.nodes[j.random.IntN(len(j.load.cluster.nodes))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.Callers()+stub.PrefixOf(j.service)+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error(), 0
	}
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	response, err := j.load.http.Do(request)
	if err != nil {
		return 0, err.Error(), 0
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, string(data), time.Duration(seconds) * time.Second
}

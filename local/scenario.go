package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/query"
	"rattanpath/tasks"
)

const (
	// taskCPU is the CPU time that a task requires, in thousandths of a core.
	taskCPU = 1000
	// waitTimeout limits the wait until a job has reached a state.
	waitTimeout = 15 * time.Second
	// requestTimeout limits a request to a node.
	requestTimeout = 3 * time.Second
	// pollInterval is the time between two requests or checks while waiting.
	pollInterval = 20 * time.Millisecond
	// batchSize is the number of jobs that runJobs submits.
	batchSize = 20
)

// RunScenario runs the steps of the scenario and writes their progress and a report
// to out. It fails if a step fails or an invariant was violated.
func (c *Cluster) RunScenario(ctx context.Context, out io.Writer) error {
	started := time.Now()
	steps := []struct {
		title string
		run   func(context.Context) (string, error)
	}{
		{"start the nodes", c.startNodes},
		{"run two-step jobs", c.runJobs},
		{"start a serving job", c.startServingJob},
		{"stop a node while jobs run", c.runJobsDuringStop},
		{"crash a host", c.crashHost},
		{"make the store unresponsive (1 s)", c.interruptStore},
		{"cancel the serving job", c.cancelServingJob},
	}
	for _, step := range steps {
		note, err := step.run(ctx)
		if err != nil {
			return errors.WithMessage(err, step.title)
		}
		if _, err := fmt.Fprintf(out, "%6.1fs  %-34s %s\n", time.Since(started).Seconds(), step.title, note); err != nil {
			return errors.Wrap(err, "writing the progress")
		}
	}
	if violations := c.checker.Violations(); len(violations) > 0 {
		return errors.New(strings.Join(violations, "; "))
	}
	_, err := fmt.Fprintf(out, "%d jobs, %d runs; no task had two active runs, no host exceeded its capacity\n", c.submitted, c.checker.Starts())
	return errors.Wrap(err, "writing the report")
}

func (c *Cluster) startNodes(ctx context.Context) (string, error) {
	for range c.options.Nodes {
		if err := c.startNode(ctx); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d nodes, %d hosts", len(c.nodes), len(c.runners)), nil
}

func (c *Cluster) runJobs(ctx context.Context) (string, error) {
	started := time.Now()
	var ids []string
	for range batchSize {
		id, err := c.submit(ctx, "")
		if err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if err := c.awaitPhase(ctx, id, tasks.Completed); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d jobs completed in %v", len(ids), time.Since(started).Round(time.Millisecond)), nil
}

// batchPlan is the plan of jobs that complete, servingPlan that of the serving job.
var (
	batchPlan = tasks.Plan{Spec: "demo", Steps: []tasks.Step{
		{Count: 4, Room: tasks.Resources{CPU: taskCPU, MemMB: 1}, Estimate: taskDuration},
		{Count: 2, Room: tasks.Resources{CPU: taskCPU, MemMB: 1}, Estimate: taskDuration, After: []int{0}},
	}}
	servingPlan = tasks.Plan{Spec: "demo", Steps: []tasks.Step{
		{Count: servingCount, Room: tasks.Resources{CPU: taskCPU, MemMB: 1}, Lasting: true, MaxPerHost: 1},
	}}
)

// servingCount is the number of serving tasks.
const servingCount = 3

// servingID is the ID of the serving job.
const servingID = servingPrefix + "00000000000000"

func (c *Cluster) startServingJob(ctx context.Context) (string, error) {
	if _, err := c.submit(ctx, servingID); err != nil {
		return "", err
	}
	return c.awaitServing(ctx)
}

// awaitServing waits until every task of the serving job has an active run.
func (c *Cluster) awaitServing(ctx context.Context) (string, error) {
	started := time.Now()
	for time.Since(started) < waitTimeout {
		active := 0
		for i := range servingCount {
			active += c.checker.ActiveRuns(tasks.ID{Job: servingID, Index: i})
		}
		if active == servingCount {
			return fmt.Sprintf("%d serving tasks active after %v", servingCount, time.Since(started).Round(time.Millisecond)), nil
		}
		if err := core.Sleep(ctx, pollInterval); err != nil {
			return "", err
		}
	}
	return "", errors.Errorf("not all %d serving tasks became active within %v", servingCount, waitTimeout)
}

func (c *Cluster) runJobsDuringStop(ctx context.Context) (string, error) {
	id, err := c.submit(ctx, "")
	if err != nil {
		return "", err
	}
	name, err := c.stopNode(ctx)
	if err != nil {
		return "", err
	}
	if err := c.awaitPhase(ctx, id, tasks.Completed); err != nil {
		return "", err
	}
	note, err := c.runJobs(ctx)
	return name + " stopped; " + note, err
}

func (c *Cluster) crashHost(ctx context.Context) (string, error) {
	detail, err := query.New(requestTimeout).Explain(ctx, c.adminAddress(), servingID)
	if err != nil {
		return "", err
	}
	host := firstHost(detail)
	if host == "" {
		return "", errors.New("no host runs a task of the serving job")
	}
	c.runners[host].SetUnresponsive(true)
	c.runners[host].Crash()
	note, err := c.awaitServing(ctx)
	return host + " crashed; " + note, err
}

func (c *Cluster) interruptStore(ctx context.Context) (string, error) {
	for _, n := range c.nodes {
		c.store.SetFailure(n.name, fake.Unresponsive)
	}
	if err := core.Sleep(ctx, time.Second); err != nil {
		return "", err
	}
	for _, n := range c.nodes {
		c.store.SetFailure(n.name, fake.NoFailure)
	}
	return c.runJobs(ctx)
}

func (c *Cluster) cancelServingJob(ctx context.Context) (string, error) {
	job, err := query.New(requestTimeout).Cancel(ctx, c.adminAddress(), servingID)
	if err != nil {
		return "", err
	}
	return "previous phase: " + job.Phase, c.awaitPhase(ctx, servingID, tasks.Cancelled)
}

// submit submits a job to the nodes in turn until one accepts it. With an empty ID
// it submits a batch job under a new ID, otherwise the serving job.
func (c *Cluster) submit(ctx context.Context, id string) (string, error) {
	c.submitted++
	plan := batchPlan
	if id == "" {
		id = fmt.Sprintf("%016x", c.submitted)
	} else {
		plan = servingPlan
	}
	body, err := c.options.EncodeJob(plan)
	if err != nil {
		return "", err
	}
	return id, c.retryRequest(ctx, http.MethodPost, id, body, nil)
}

// awaitPhase polls a job until it has reached a phase.
func (c *Cluster) awaitPhase(ctx context.Context, id string, phase tasks.Phase) error {
	state, err := c.options.Platform.Codec.EncodeState(phase, true)
	if err != nil {
		return err
	}
	return c.retryRequest(ctx, http.MethodGet, id, nil, state)
}

// retryRequest sends a request to the nodes in turn until one responds with status
// 200 and a body that contains want.
func (c *Cluster) retryRequest(ctx context.Context, method, id string, body, want []byte) error {
	deadline := time.Now().Add(waitTimeout)
	for attempt := 0; ; attempt++ {
		addresses := c.callerAddresses()
		status, got, err := c.request(ctx, method, addresses[attempt%len(addresses)], id, body)
		if err == nil && status == http.StatusOK && bytes.Contains(got, want) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%s of job %s: got status %d, body %q and error %v after retries for %v", method, id, status, got, err, waitTimeout)
		}
		if err := core.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (c *Cluster) request(ctx context.Context, method, address, id string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "building the request")
	}
	request.Host = queueHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "sending the request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, errors.Wrap(err, "reading the response")
}

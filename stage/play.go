package stage

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
	// taskCPU is what a task occupies, in thousandths of a core.
	taskCPU = 1000
	// patience bounds the wait for one thing.
	patience = 15 * time.Second
	// askTime bounds one request.
	askTime = 3 * time.Second
	// askPause is the time between two looks at a job.
	askPause = 20 * time.Millisecond
	// batch is how many jobs a step hands in.
	batch = 20
)

// Play takes the stage through its steps, writes what happens to out, and fails
// if a step did or a promise was broken.
func (s *Stage) Play(ctx context.Context, out io.Writer) error {
	begun := time.Now()
	steps := []struct {
		title string
		do    func(context.Context) (string, error)
	}{
		{"nodes start", s.startAll},
		{"jobs of two steps run", s.runJobs},
		{"a job serves", s.serve},
		{"a node stops while jobs run", s.runWhileStopping},
		{"a host is lost", s.loseHost},
		{"the store is silent for a second", s.loseStore},
		{"the serving job is cancelled", s.endService},
	}
	for _, step := range steps {
		note, err := step.do(ctx)
		if err != nil {
			return errors.WithMessage(err, step.title)
		}
		if _, err := fmt.Fprintf(out, "%6.1fs  %-34s %s\n", time.Since(begun).Seconds(), step.title, note); err != nil {
			return errors.Wrap(err, "writing the progress")
		}
	}
	if faults := s.judge.Faults(); len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	_, err := fmt.Fprintf(out, "%d jobs, %d runs, none twice at once and none beyond a host's room\n", s.jobs, s.judge.Starts())
	return errors.Wrap(err, "writing the report")
}

func (s *Stage) startAll(ctx context.Context) (string, error) {
	for range s.options.Nodes {
		if err := s.start(ctx); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d nodes, %d hosts", len(s.nodes), len(s.runners)), nil
}

func (s *Stage) runJobs(ctx context.Context) (string, error) {
	begun := time.Now()
	var ids []string
	for range batch {
		id, err := s.handIn(ctx, "")
		if err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if err := s.await(ctx, id, tasks.Completed); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d done in %v", len(ids), time.Since(begun).Round(time.Millisecond)), nil
}

// twoSteps is the plan of jobs that end, and serving that of one that doesn't.
var (
	twoSteps = tasks.Plan{Spec: "demo", Steps: []tasks.Step{
		{Count: 4, Room: tasks.Resources{CPU: taskCPU, MemMB: 1}, Estimate: taskTime},
		{Count: 2, Room: tasks.Resources{CPU: taskCPU, MemMB: 1}, Estimate: taskTime, After: []int{0}},
	}}
	serving = tasks.Plan{Spec: "demo", Steps: []tasks.Step{
		{Count: servingCount, Room: tasks.Resources{CPU: taskCPU, MemMB: 1}, Lasting: true, MaxPerHost: 1},
	}}
)

// servingCount is how many tasks serve.
const servingCount = 3

// servingID is the ID of the job that serves.
const servingID = lastingMark + "00000000000000"

func (s *Stage) serve(ctx context.Context) (string, error) {
	if _, err := s.handIn(ctx, servingID); err != nil {
		return "", err
	}
	return s.awaitServing(ctx)
}

// awaitServing waits until every task of the serving job is on a host.
func (s *Stage) awaitServing(ctx context.Context) (string, error) {
	begun := time.Now()
	for time.Since(begun) < patience {
		active := 0
		for i := range servingCount {
			active += s.judge.Active(tasks.ID{Job: servingID, Index: i})
		}
		if active == servingCount {
			return fmt.Sprintf("%d tasks serve after %v", servingCount, time.Since(begun).Round(time.Millisecond)), nil
		}
		if err := core.Sleep(ctx, askPause); err != nil {
			return "", err
		}
	}
	return "", errors.Errorf("not all %d tasks serve after %v", servingCount, patience)
}

func (s *Stage) runWhileStopping(ctx context.Context) (string, error) {
	id, err := s.handIn(ctx, "")
	if err != nil {
		return "", err
	}
	name, err := s.stop(ctx)
	if err != nil {
		return "", err
	}
	if err := s.await(ctx, id, tasks.Completed); err != nil {
		return "", err
	}
	note, err := s.runJobs(ctx)
	return name + " is gone; " + note, err
}

func (s *Stage) loseHost(ctx context.Context) (string, error) {
	detail, err := query.New(askTime).Explain(ctx, s.operators(), servingID)
	if err != nil {
		return "", err
	}
	host := hostOf(detail)
	if host == "" {
		return "", errors.New("no host has a task of the serving job")
	}
	s.runners[host].Silence(true)
	s.runners[host].Crash()
	note, err := s.awaitServing(ctx)
	return host + "; " + note, err
}

func (s *Stage) loseStore(ctx context.Context) (string, error) {
	for _, n := range s.nodes {
		s.store.Fail(n.name, fake.Silent)
	}
	if err := core.Sleep(ctx, time.Second); err != nil {
		return "", err
	}
	for _, n := range s.nodes {
		s.store.Fail(n.name, fake.Serving)
	}
	return s.runJobs(ctx)
}

func (s *Stage) endService(ctx context.Context) (string, error) {
	job, err := query.New(askTime).Cancel(ctx, s.operators(), servingID)
	if err != nil {
		return "", err
	}
	return "it was " + job.Phase, s.await(ctx, servingID, tasks.Cancelled)
}

// handIn hands a job in at one node after the other until one takes it. An empty
// ID stands for a new one.
func (s *Stage) handIn(ctx context.Context, id string) (string, error) {
	s.jobs++
	plan := twoSteps
	if id == "" {
		id = fmt.Sprintf("%016x", s.jobs)
	} else {
		plan = serving
	}
	body, err := s.options.EncodeJob(plan)
	if err != nil {
		return "", err
	}
	return id, s.repeat(ctx, http.MethodPost, id, body, nil)
}

// await asks for a job until it has got to a phase.
func (s *Stage) await(ctx context.Context, id string, phase tasks.Phase) error {
	state, err := s.options.Platform.Codec.EncodeState(phase, true)
	if err != nil {
		return err
	}
	return s.repeat(ctx, http.MethodGet, id, nil, state)
}

// repeat sends a request to one node after the other until the answer is good
// and has a part.
func (s *Stage) repeat(ctx context.Context, method, id string, body, part []byte) error {
	deadline := time.Now().Add(patience)
	for turn := 0; ; turn++ {
		addresses := s.callers()
		status, text, err := s.ask(ctx, method, addresses[turn%len(addresses)], id, body)
		if err == nil && status == http.StatusOK && bytes.Contains(text, part) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%s of job %s: got status %d, %q and error %v for %v", method, id, status, text, err, patience)
		}
		if err := core.Sleep(ctx, askPause); err != nil {
			return err
		}
	}
}

func (s *Stage) ask(ctx context.Context, method, address, id string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "making a request")
	}
	request.Host = queueHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "asking a node")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, errors.Wrap(err, "reading an answer")
}

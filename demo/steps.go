package demo

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanpath/change"
	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/fleet"
	"rattanpath/load"
)

const (
	// hostListLag is the time by which reads of the host list lag behind changes.
	hostListLag = time.Second
	warmUpTime  = 2 * time.Second
	// leaveGracePeriod is the time after which a drained or leaving host must not
	// get requests any more.
	leaveGracePeriod = 3 * time.Second
	// lateRequestWindow is the time for which requests to a drained or leaving host
	// are counted after the grace period.
	lateRequestWindow = 2 * time.Second
	// readyTimeout is the time within which a node that starts during a log outage
	// must become ready.
	readyTimeout = 4 * time.Second
	drainFile    = "95-drain.yaml"
	tuningFile   = "96-tuning.yaml"
)

// setupSteps returns the steps that start the fleet.
func (r *runner) setupSteps() []step {
	return []step{
		{"start workers and entry nodes", r.startFleet},
		{"publish the configuration", r.publishChange},
	}
}

// faultSteps returns the changes and faults that the fleet goes through under
// load.
func (r *runner) faultSteps() []step {
	return []step{
		{"send requests", r.warmUp},
		{"publish a change", r.publishChange},
		{"two operators publish concurrently", r.publishConcurrently},
		{"publish while the log loses responses", r.publishWithLostResponses},
		{"drain a host for maintenance", r.drainHost},
		{"mark a worker as leaving", r.markWorkerLeaving},
		{"stop an entry node gracefully", r.stopNode},
		{"start an empty node while the log is down", r.startDuringLogOutage},
		{"kill an entry node and restart it", r.killNode},
		{"publish another change", r.publishChange},
	}
}

func (r *runner) startFleet(ctx context.Context) (string, error) {
	declaration, err := config.Load(r.files)
	if err != nil {
		return "", err
	}
	if err := r.fleet.AddWorkers(declaration); err != nil {
		return "", err
	}
	if err := r.fleet.StartAll(ctx, r.options.Nodes); err != nil {
		return "", err
	}
	if err := core.Sleep(ctx, hostListLag); err != nil {
		return "", err
	}
	r.fleet.Platform.HostList.SetLag(hostListLag)
	return fmt.Sprintf("%d workers, %d nodes", len(declaration.Hosts), r.options.Nodes), nil
}

// publishChange publishes a change of one setting.
func (r *runner) publishChange(ctx context.Context) (string, error) {
	r.files[tuningFile] = fmt.Sprintf("Maintenance:\n  AtOnce: %d\n", 10+r.changes)
	elapsed, err := r.publish(ctx)
	return formatRollout(r.revision, elapsed), err
}

func formatRollout(revision int64, elapsed time.Duration) string {
	return fmt.Sprintf("revision %d active on all nodes after %s", revision, elapsed.Round(time.Millisecond))
}

func (r *runner) warmUp(ctx context.Context) (string, error) {
	err := core.Sleep(ctx, warmUpTime)
	return fmt.Sprintf("%d requests completed", r.recorder.Total()), err
}

// publishConcurrently has two operators publish changes based on the same revision
// and checks that one is accepted and the other rejected.
func (r *runner) publishConcurrently(ctx context.Context) (string, error) {
	first, second := maps.Clone(r.files), maps.Clone(r.files)
	first[tuningFile] = "Maintenance:\n  AtOnce: 7\n"
	second[tuningFile] = "Maintenance:\n  AtOnce: 8\n"
	operators := []*operator{
		{runner: r, id: "racer-1", files: first},
		{runner: r, id: "racer-2", files: second},
	}
	var wg sync.WaitGroup
	for _, op := range operators {
		wg.Go(func() { op.run(ctx) })
	}
	wg.Wait()
	accepted, rejected := 0, 0
	for _, op := range operators {
		var rejection *change.RejectedError
		switch {
		case op.err == nil:
			accepted++
		case errors.As(op.err, &rejection):
			rejected++
		default:
			return "", op.err
		}
	}
	if accepted != 1 || rejected != 1 {
		return "", errors.Errorf("%d changes were accepted and %d rejected; want 1 and 1", accepted, rejected)
	}
	return "one change accepted, the other rejected", r.loadCurrent(ctx)
}

// operator publishes a change concurrently with other operators.
type operator struct {
	runner *runner
	id     string
	files  config.Files
	// err is the result of publishing.
	err error
}

// run publishes the files based on the demo's current revision.
func (o *operator) run(ctx context.Context) {
	publisher := change.NewPublisher(o.runner.fleet.Streams())
	_, o.err = publisher.Publish(ctx, change.Request{ID: o.id, Writer: o.id, Base: o.runner.revision, Files: o.files})
}

// loadCurrent replaces the demo's revision and files by the fleet's current ones.
func (r *runner) loadCurrent(ctx context.Context) error {
	state, err := r.fleet.Current(ctx)
	if err != nil {
		return err
	}
	r.revision = state.Revision
	r.files = maps.Clone(state.Files)
	return nil
}

func (r *runner) publishWithLostResponses(ctx context.Context) (string, error) {
	r.fleet.Platform.SetFaults(fake.LogFaults{LoseAnswers: true})
	defer r.fleet.Platform.SetFaults(fake.LogFaults{})
	return r.publishChange(ctx)
}

// drainHost drains a host, counts requests that reach it nevertheless, and returns
// it to service.
func (r *runner) drainHost(ctx context.Context) (string, error) {
	worker, err := r.workerOfFirstRequest()
	if err != nil {
		return "", err
	}
	r.files[drainFile] = fmt.Sprintf("Maintenance:\n  Drain: [%s]\n", worker.Name)
	if _, err := r.publish(ctx); err != nil {
		return "", err
	}
	late, err := r.countLateRequests(ctx, worker)
	if err != nil {
		return "", err
	}
	delete(r.files, drainFile)
	_, err = r.publish(ctx)
	return fmt.Sprintf("%s: %d new requests after the drain was active", worker.Name, late), err
}

// workerOfFirstRequest returns a worker of the pool that serves the first of the
// demo's kinds of requests.
func (r *runner) workerOfFirstRequest() (*fake.Worker, error) {
	declaration, err := config.Load(r.files)
	if err != nil {
		return nil, err
	}
	pool := declaration.Config.Services[r.options.Requests[0].Service].Pool
	return r.fleet.Platform.Worker(declaration.PoolHosts(pool)[0]), nil
}

// countLateRequests waits for the grace period and counts the requests that the
// worker still gets after it.
func (r *runner) countLateRequests(ctx context.Context, worker *fake.Worker) (int64, error) {
	if err := core.Sleep(ctx, leaveGracePeriod); err != nil {
		return 0, err
	}
	before := worker.Started()
	if err := core.Sleep(ctx, lateRequestWindow); err != nil {
		return 0, err
	}
	late := worker.Started() - before
	r.report.LateWork += int(late)
	return late, nil
}

func (r *runner) markWorkerLeaving(ctx context.Context) (string, error) {
	worker, err := r.workerOfFirstRequest()
	if err != nil {
		return "", err
	}
	r.fleet.Platform.HostList.MarkLeaving(worker.Name)
	late, err := r.countLateRequests(ctx, worker)
	return fmt.Sprintf("%s: %d new requests %s later", worker.Name, late, leaveGracePeriod), err
}

func (r *runner) stopNode(ctx context.Context) (string, error) {
	err := r.fleet.Stop(ctx, fleet.NodeName(1))
	r.report.CutOffByStops = r.recorder.Count(load.TransportError)
	return fmt.Sprintf("%d requests dropped", r.report.CutOffByStops), err
}

// startDuringLogOutage starts a node without state while the log is down. The node
// must get the current configuration from its peers.
func (r *runner) startDuringLogOutage(ctx context.Context) (string, error) {
	r.fleet.Platform.SetFaults(fake.LogFaults{Down: true})
	defer r.fleet.Platform.SetFaults(fake.LogFaults{})
	name := fleet.NodeName(1)
	started := time.Now()
	if err := r.fleet.Start(ctx, name); err != nil {
		return "", err
	}
	for time.Since(started) < readyTimeout {
		revision, err := r.fleet.Revision(ctx, r.fleet.Host(name))
		if err == nil && revision == r.revision && r.fleet.InRotation(name) {
			elapsed := time.Since(started).Round(time.Millisecond)
			return fmt.Sprintf("ready with revision %d from peers after %s", revision, elapsed), nil
		}
		if err := core.Sleep(ctx, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	return "", errors.Errorf("%s is not ready with revision %d after %s", name, r.revision, readyTimeout)
}

func (r *runner) killNode(ctx context.Context) (string, error) {
	name := fleet.NodeName(2)
	before := r.recorder.Count(load.TransportError)
	if err := r.fleet.Kill(ctx, name); err != nil {
		return "", err
	}
	if err := r.fleet.Start(ctx, name); err != nil {
		return "", err
	}
	if err := core.Sleep(ctx, warmUpTime); err != nil {
		return "", err
	}
	failed := r.recorder.Count(load.TransportError) - before
	return fmt.Sprintf("%d requests lost their connection and were not safe to retry", failed), nil
}

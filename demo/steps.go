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
	// listLag is how far the host list is behind.
	listLag = time.Second
	warmUp  = 2 * time.Second
	// settle is the time within which a leaving host must stop getting work.
	settle = 3 * time.Second
	// watch is the time for which a host that left is watched.
	watch      = 2 * time.Second
	outage     = 4 * time.Second
	drainFile  = "95-drain.yaml"
	tuningFile = "96-tuning.yaml"
)

// opening brings the fleet up.
func (r *run) opening() []step {
	return []step{
		{"start workers and entry nodes", r.start},
		{"publish the folder", r.publishStep},
	}
}

// faults is what the fleet goes through under load.
func (r *run) faults() []step {
	return []step{
		{"callers send requests", r.warm},
		{"publish a change", r.publishStep},
		{"two operators publish at once", r.race},
		{"publish while the log loses answers", r.lostAnswer},
		{"drain a host for maintenance", r.drain},
		{"a worker leaves the platform's list", r.leave},
		{"stop an entry node gracefully", r.stopNode},
		{"log down: replace the node by an empty one", r.replaceDuringOutage},
		{"kill an entry node and replace it", r.killNode},
		{"publish once more", r.publishStep},
	}
}

func (r *run) start(ctx context.Context) (string, error) {
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
	if err := core.Sleep(ctx, listLag); err != nil {
		return "", err
	}
	r.fleet.Platform.List.SetLag(listLag)
	return fmt.Sprintf("%d workers, %d nodes", len(declaration.Hosts), r.options.Nodes), nil
}

// publishStep publishes a change of one setting.
func (r *run) publishStep(ctx context.Context) (string, error) {
	r.files[tuningFile] = fmt.Sprintf("Maintenance:\n  AtOnce: %d\n", 10+r.changes)
	took, err := r.publish(ctx)
	return inForce(r.revision, took), err
}

func inForce(revision int64, took time.Duration) string {
	return fmt.Sprintf("revision %d in force everywhere after %s", revision, took.Round(time.Millisecond))
}

func (r *run) warm(ctx context.Context) (string, error) {
	err := core.Sleep(ctx, warmUp)
	return fmt.Sprintf("%d answered", r.recorder.Total()), err
}

// race lets two operators publish against the same revision.
func (r *run) race(ctx context.Context) (string, error) {
	mine, theirs := maps.Clone(r.files), maps.Clone(r.files)
	mine[tuningFile] = "Maintenance:\n  AtOnce: 7\n"
	theirs[tuningFile] = "Maintenance:\n  AtOnce: 8\n"
	racers := []*racer{
		{demo: r, id: "racer-1", files: mine},
		{demo: r, id: "racer-2", files: theirs},
	}
	var wg sync.WaitGroup
	for _, racer := range racers {
		wg.Go(func() { racer.run(ctx) })
	}
	wg.Wait()
	won, lost := 0, 0
	for _, racer := range racers {
		var conflict *change.ConflictError
		switch {
		case racer.err == nil:
			won++
		case errors.As(racer.err, &conflict):
			lost++
		default:
			return "", racer.err
		}
	}
	if won != 1 || lost != 1 {
		return "", errors.Errorf("%d operators won and %d were told that they lost; want 1 and 1", won, lost)
	}
	return "one won, the other was told", r.refresh(ctx)
}

// racer is one of several operators who publish at once.
type racer struct {
	demo  *run
	id    string
	files config.Files
	// err is what the operator is told.
	err error
}

// run publishes against the revision in force when the race began.
func (r *racer) run(ctx context.Context) {
	publisher := change.NewPublisher(r.demo.fleet.Streams())
	_, r.err = publisher.Publish(ctx, change.Request{ID: r.id, Writer: r.id, Base: r.demo.revision, Files: r.files})
}

// refresh takes over what is in force.
func (r *run) refresh(ctx context.Context) error {
	state, err := r.fleet.Current(ctx)
	if err != nil {
		return err
	}
	r.revision = state.Revision
	r.files = maps.Clone(state.Files)
	return nil
}

func (r *run) lostAnswer(ctx context.Context) (string, error) {
	r.fleet.Platform.SetFaults(fake.Faults{LoseAnswers: true})
	defer r.fleet.Platform.SetFaults(fake.Faults{})
	return r.publishStep(ctx)
}

// drain takes a host out of service, reboots it, and takes it back.
func (r *run) drain(ctx context.Context) (string, error) {
	worker, err := r.workerOfFirstRequest()
	if err != nil {
		return "", err
	}
	r.files[drainFile] = fmt.Sprintf("Maintenance:\n  Drain: [%s]\n", worker.Name)
	if _, err := r.publish(ctx); err != nil {
		return "", err
	}
	after, err := r.watchIdle(ctx, worker)
	if err != nil {
		return "", err
	}
	delete(r.files, drainFile)
	_, err = r.publish(ctx)
	return fmt.Sprintf("%s: %d new requests after the change was in force", worker.Name, after), err
}

// workerOfFirstRequest returns a worker of the pool that serves the first kind
// of request.
func (r *run) workerOfFirstRequest() (*fake.Worker, error) {
	declaration, err := config.Load(r.files)
	if err != nil {
		return nil, err
	}
	pool := declaration.Config.Services[r.options.Requests[0].Service].Pool
	return r.fleet.Platform.Worker(declaration.PoolHosts(pool)[0]), nil
}

// watchIdle waits until a host must have stopped getting work and counts what
// it gets after that.
func (r *run) watchIdle(ctx context.Context, worker *fake.Worker) (int64, error) {
	if err := core.Sleep(ctx, settle); err != nil {
		return 0, err
	}
	before := worker.Served()
	if err := core.Sleep(ctx, watch); err != nil {
		return 0, err
	}
	after := worker.Served() - before
	r.report.LateWork += int(after)
	return after, nil
}

func (r *run) leave(ctx context.Context) (string, error) {
	worker, err := r.workerOfFirstRequest()
	if err != nil {
		return "", err
	}
	r.fleet.Platform.List.Leave(worker.Name)
	after, err := r.watchIdle(ctx, worker)
	return fmt.Sprintf("%s: %d new requests %s later", worker.Name, after, settle), err
}

func (r *run) stopNode(ctx context.Context) (string, error) {
	err := r.fleet.Stop(ctx, fleet.NodeName(1))
	r.report.CutOffByStops = r.recorder.Count(load.TransportError)
	return fmt.Sprintf("%d requests cut off", r.report.CutOffByStops), err
}

// replaceDuringOutage starts an empty node while the log is down and checks
// that it serves what is in force.
func (r *run) replaceDuringOutage(ctx context.Context) (string, error) {
	r.fleet.Platform.SetFaults(fake.Faults{Down: true})
	defer r.fleet.Platform.SetFaults(fake.Faults{})
	name := fleet.NodeName(1)
	started := time.Now()
	if err := r.fleet.Start(ctx, name); err != nil {
		return "", err
	}
	for time.Since(started) < outage {
		revision, err := r.fleet.Revision(ctx, r.fleet.Host(name))
		if err == nil && revision == r.revision && r.fleet.InRotation(name) {
			took := time.Since(started).Round(time.Millisecond)
			return fmt.Sprintf("ready with revision %d from peers after %s", revision, took), nil
		}
		if err := core.Sleep(ctx, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	return "", errors.Errorf("%s is not ready with revision %d after %s", name, r.revision, outage)
}

func (r *run) killNode(ctx context.Context) (string, error) {
	name := fleet.NodeName(2)
	before := r.recorder.Count(load.TransportError)
	if err := r.fleet.Kill(ctx, name); err != nil {
		return "", err
	}
	if err := r.fleet.Start(ctx, name); err != nil {
		return "", err
	}
	if err := core.Sleep(ctx, warmUp); err != nil {
		return "", err
	}
	broken := r.recorder.Count(load.TransportError) - before
	return fmt.Sprintf("%d callers saw their connection break and no retry was safe", broken), nil
}

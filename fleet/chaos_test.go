package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rattanpath"
	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/load"
)

// chaosRequests covers idempotent and other requests of several sizes, including
// one that exceeds its deadline.
var chaosRequests = []load.RequestSpec{
	{Service: "ReadingRoom", Path: "/lookup", Idempotent: true, Work: 5 * time.Millisecond, Size: 2000},
	{Service: "ReadingRoom", Path: "/request", Work: 5 * time.Millisecond, Size: 200, Body: 300},
	{Service: "ReadingRoom", Path: "/request", Work: 3 * time.Second, Size: 200, Body: 300},
	{Service: "Accession", Path: "/entry", Work: 10 * time.Millisecond, Size: 100_000, Body: 5000},
	{Service: "Accession", Path: "/entry", Work: 10 * time.Millisecond, Size: 100},
	{Service: "Catalogue", Path: "/query", Idempotent: true, Work: 20 * time.Millisecond, Size: 200_000},
}

// shortLimitsOverlay shortens deadlines and queues so that requests exceed both.
const shortLimitsOverlay = `
Services:
  ReadingRoom: {Deadline: 1s, Queue: {Limit: 8, Wait: 300ms}}
  Accession: {Deadline: 1s, Queue: {Limit: 8, Wait: 300ms}}
  Catalogue: {Deadline: 2s, Queue: {Limit: 8, Wait: 300ms}}
`

// startFleet starts the fleet of the archive example and waits until its
// configuration is active on all nodes and they are in rotation.
func startFleet(t *testing.T, nodes int) *Fleet {
	t.Helper()
	example, err := rattanpath.Example("archive")
	if err != nil {
		t.Fatal(err)
	}
	files, err := config.ReadFS(example, "archive")
	if err != nil {
		t.Fatal(err)
	}
	files["99-chaos.yaml"] = shortLimitsOverlay
	declaration, err := config.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	f := New(0, logr.Discard())
	f.AdjustSettings = func(settings *core.Settings) { settings.Linger = 300 * time.Millisecond }
	t.Cleanup(func() { f.Close(context.Background()) })
	if err := f.AddWorkers(declaration); err != nil {
		t.Fatal(err)
	}
	if err := f.StartAll(t.Context(), nodes); err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Publish(t.Context(), "first", 0, files); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitInRotation(t.Context(), nodes); err != nil {
		t.Fatal(err)
	}
	return f
}

// runLoad sends requests while faults runs, and returns their results.
func runLoad(t *testing.T, f *Fleet, faults func()) *load.Recorder {
	t.Helper()
	recorder := load.NewRecorder()
	caller := &load.Caller{Targets: f, Requests: chaosRequests, Recorder: recorder, Pause: 5 * time.Millisecond, Client: load.NewClient(20 * time.Second)}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var callers sync.WaitGroup
	callers.Go(func() { caller.Run(ctx, 48) })
	faults()
	stop()
	callers.Wait()
	return recorder
}

// poolWorkers returns the workers of a pool in the current declarations.
func poolWorkers(t *testing.T, f *Fleet, pool string) []*fake.Worker {
	t.Helper()
	state, err := f.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var workers []*fake.Worker
	for _, name := range state.Declaration().PoolHosts(pool) {
		workers = append(workers, f.Platform.Worker(name))
	}
	return workers
}

// TestResponsesMatchExecutionsUnderFaults injects faults of workers, nodes, the
// log and the host list under load, together and twice. It fails if the verdicts
// that callers got contradict what the workers ran.
func TestResponsesMatchExecutionsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 4)
	readingWorkers, intakeWorkers := poolWorkers(t, f, "Reading"), poolWorkers(t, f, "Intake")
	recorder := runLoad(t, f, func() {
		for round := range 2 {
			readingWorkers[0].SetMode(fake.Truncate)
			readingWorkers[1].SetMode(fake.FailAll)
			readingWorkers[2].SetMode(fake.Hang)
			intakeWorkers[0].SetMode(fake.Truncate)
			intakeWorkers[1].SetMode(fake.Slow)
			time.Sleep(500 * time.Millisecond)
			f.Platform.SetFaults(fake.LogFaults{Down: true})
			readingWorkers[3+round].Close()
			intakeWorkers[3+round].Close()
			if err := f.Kill(t.Context(), NodeName(round)); err != nil {
				t.Errorf("got %v, want the node killed", err)
			}
			if err := f.Start(t.Context(), NodeName(round)); err != nil {
				t.Errorf("got %v, want the node started", err)
			}
			f.Platform.HostList.SetDown(true)
			time.Sleep(500 * time.Millisecond)
			f.Platform.HostList.SetDown(false)
			f.Platform.SetFaults(fake.LogFaults{LoseAnswers: true, Delay: 50 * time.Millisecond})
			f.publishChange(t, fmt.Sprintf("change-%d", round))
			readingWorkers[1].SetMode(fake.Healthy)
			intakeWorkers[0].SetMode(fake.Healthy)
			time.Sleep(500 * time.Millisecond)
		}
		// A pool without a worker: its requests can't reach any, so that some are not run for certain.
		for _, worker := range intakeWorkers {
			worker.Close()
		}
		time.Sleep(500 * time.Millisecond)
	})
	findings := recorder.Audit(f.Platform.Executions.Starts())
	if !findings.Clean() {
		t.Errorf("got findings %+v, want none; causes %v", findings, recorder.Causes())
	}
	for result, name := range map[load.Result]string{load.Complete: "complete", load.NotRun: "not run", load.MayHaveRun: "may have run"} {
		if recorder.Count(result) == 0 {
			t.Errorf("got 0 requests with the result %q, want some: the faults had no effect", name)
		}
	}
	t.Logf("%d requests: %d complete, %d not run, %d may have run, %d transport errors; causes %v", recorder.Total(),
		recorder.Count(load.Complete), recorder.Count(load.NotRun), recorder.Count(load.MayHaveRun), recorder.Count(load.TransportError), recorder.Causes())
}

// publishChange publishes a change of one setting and waits until it is active on
// all nodes.
func (f *Fleet) publishChange(t *testing.T, id string) {
	t.Helper()
	state, err := f.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	files := config.Files{"98-change.yaml": "# " + id + "\nMaintenance: {AtOnce: 3}\n"}
	for name, text := range state.Files {
		if !strings.HasPrefix(name, "98") {
			files[name] = text
		}
	}
	if _, _, err := f.Publish(t.Context(), id, state.Revision, files); err != nil {
		t.Errorf("publishing %s: got %v, want no error", id, err)
	}
}

// TestGracefulStopBreaksNoConnection stops and restarts each node in turn under
// load. It fails if a node that shuts down drops a request in flight.
func TestGracefulStopBreaksNoConnection(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 3)
	recorder := runLoad(t, f, func() {
		for i := range 3 {
			if err := f.Stop(t.Context(), NodeName(i)); err != nil {
				t.Errorf("got %v, want a graceful stop", err)
			}
			if err := f.Start(t.Context(), NodeName(i)); err != nil {
				t.Errorf("got %v, want the node started", err)
			}
			if err := f.AwaitInRotation(t.Context(), 3); err != nil {
				t.Errorf("got %v, want 3 nodes in rotation", err)
			}
		}
	})
	if got := recorder.Count(load.TransportError); got != 0 {
		t.Errorf("got %d transport errors in %d requests, want 0; causes %v", got, recorder.Total(), recorder.Causes())
	}
	if findings := recorder.Audit(f.Platform.Executions.Starts()); !findings.Clean() {
		t.Errorf("got findings %+v, want none", findings)
	}
}

// TestLeavingWorkerReceivesNoNewRequests marks a worker as leaving under load. It
// fails if a node still sends requests to the worker 3 s later.
func TestLeavingWorkerReceivesNoNewRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 3)
	worker := poolWorkers(t, f, "Reading")[0]
	afterGrace, beforeLeaving := int64(0), int64(0)
	runLoad(t, f, func() {
		time.Sleep(300 * time.Millisecond)
		beforeLeaving = worker.Started()
		f.Platform.HostList.MarkLeaving(worker.Name)
		time.Sleep(3 * time.Second)
		startedByGraceEnd := worker.Started()
		time.Sleep(2 * time.Second)
		afterGrace = worker.Started() - startedByGraceEnd
	})
	if beforeLeaving == 0 {
		t.Error("got 0 requests at the worker before it left, want some")
	}
	if afterGrace != 0 {
		t.Errorf("got %d requests at the worker 3 s after it left, want 0", afterGrace)
	}
}

// TestNodesTogetherRespectWorkerSlots sends more concurrent requests than a pool
// has slots, through 9 nodes, the most that users run. It fails if the nodes
// together exceed the slots of a worker.
func TestNodesTogetherRespectWorkerSlots(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 9)
	recorder := load.NewRecorder()
	caller := &load.Caller{
		Targets:  f,
		Requests: []load.RequestSpec{{Service: "Accession", Path: "/entry", Work: 200 * time.Millisecond, Size: 10}},
		Recorder: recorder,
		Client:   load.NewClient(20 * time.Second),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	caller.Run(ctx, 200)
	if got := f.Platform.Executions.Overshoot(); got != 0 {
		t.Errorf("got a worker with %d requests more than its slots, want 0", got)
	}
	const slots = 8 * 8
	if got := recorder.Count(load.Complete); got <= slots {
		t.Errorf("got %d complete responses, want more than the %d slots of the pool, so that slots were reused", got, slots)
	}
}

// TestFailingWorkerReceivesFewRequests makes one of 12 workers fail every request
// immediately. Because its slots are free sooner than those of healthy workers,
// it would attract most requests. The test also checks that the worker gets its
// share again after it has recovered.
func TestFailingWorkerReceivesFewRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 3)
	workers := poolWorkers(t, f, "Reading")
	spec := load.RequestSpec{Service: "ReadingRoom", Path: "/request", Work: 10 * time.Millisecond, Size: 10}
	const requests = 6000
	sendRequests := func() (toFailing, total int64) {
		before, failingBefore := totalStarted(workers), workers[0].Started()
		caller := &load.Caller{Targets: f, Requests: []load.RequestSpec{spec}, Recorder: load.NewRecorder(), Client: load.NewClient(20 * time.Second)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var callers sync.WaitGroup
		callers.Go(func() { caller.Run(ctx, 48) })
		for totalStarted(workers)-before < requests {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		callers.Wait()
		toFailing, total = workers[0].Started()-failingBefore, totalStarted(workers)-before
		t.Logf("got %d of %d requests at one of %d workers", toFailing, total, len(workers))
		return toFailing, total
	}
	workers[0].SetMode(fake.FailAll)
	toFailing, total := sendRequests()
	if fairShare := total / int64(len(workers)); toFailing > fairShare/4 {
		t.Errorf("got %d of %d requests at the failing worker, want at most a quarter of its fair share, %d", toFailing, total, fairShare/4)
	}
	workers[0].SetMode(fake.Healthy)
	time.Sleep(8 * time.Second)
	sendRequests()
	toFailing, total = sendRequests()
	if fairShare := total / int64(len(workers)); toFailing < fairShare/2 {
		t.Errorf("got %d of %d requests at the recovered worker, want at least half of its fair share, %d", toFailing, total, fairShare/2)
	}
}

func totalStarted(workers []*fake.Worker) int64 {
	total := int64(0)
	for _, worker := range workers {
		total += worker.Started()
	}
	return total
}

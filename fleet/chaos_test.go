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

// chaosRequests are requests of every kind, some beyond their deadline.
var chaosRequests = []load.RequestSpec{
	{Service: "ReadingRoom", Path: "/lookup", Idempotent: true, Work: 5 * time.Millisecond, Size: 2000},
	{Service: "ReadingRoom", Path: "/request", Work: 5 * time.Millisecond, Size: 200, Body: 300},
	{Service: "ReadingRoom", Path: "/request", Work: 3 * time.Second, Size: 200, Body: 300},
	{Service: "Accession", Path: "/entry", Work: 10 * time.Millisecond, Size: 100_000, Body: 5000},
	{Service: "Accession", Path: "/entry", Work: 10 * time.Millisecond, Size: 100},
	{Service: "Catalogue", Path: "/query", Idempotent: true, Work: 20 * time.Millisecond, Size: 200_000},
}

// chaosOverlay shortens deadlines and queues, so that both are met with.
const chaosOverlay = `
Services:
  ReadingRoom: {Deadline: 1s, Queue: {Limit: 8, Wait: 300ms}}
  Accession: {Deadline: 1s, Queue: {Limit: 8, Wait: 300ms}}
  Catalogue: {Deadline: 2s, Queue: {Limit: 8, Wait: 300ms}}
`

// startFleet starts the archive's fleet with nodes that have it in force.
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
	files["99-chaos.yaml"] = chaosOverlay
	declaration, err := config.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	f := New(0, logr.Discard())
	f.Tune = func(settings *core.Settings) { settings.Linger = 300 * time.Millisecond }
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
	if err := f.AwaitBalanced(t.Context(), nodes); err != nil {
		t.Fatal(err)
	}
	return f
}

// runLoad lets callers send requests while faults happen and returns what the
// callers were told.
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

// hostsOf returns the workers of a pool by the archive's declarations.
func hostsOf(t *testing.T, f *Fleet, pool string) []*fake.Worker {
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

// TestAccountsAgree provokes failures of workers, nodes, log and list under
// load, together and twice, and compares what callers were told with what
// workers ran.
func TestAccountsAgree(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 4)
	reading, intake := hostsOf(t, f, "Reading"), hostsOf(t, f, "Intake")
	recorder := runLoad(t, f, func() {
		for round := range 2 {
			reading[0].SetMode(fake.CutOff)
			reading[1].SetMode(fake.FailAll)
			reading[2].SetMode(fake.Hang)
			intake[0].SetMode(fake.CutOff)
			intake[1].SetMode(fake.Slow)
			time.Sleep(500 * time.Millisecond)
			f.Platform.SetFaults(fake.Faults{Down: true})
			reading[3+round].Close()
			intake[3+round].Close()
			if err := f.Kill(t.Context(), NodeName(round)); err != nil {
				t.Errorf("got %v, want the node killed", err)
			}
			if err := f.Start(t.Context(), NodeName(round)); err != nil {
				t.Errorf("got %v, want the node started", err)
			}
			f.Platform.List.SetDown(true)
			time.Sleep(500 * time.Millisecond)
			f.Platform.List.SetDown(false)
			f.Platform.SetFaults(fake.Faults{LoseAnswers: true, Delay: 50 * time.Millisecond})
			f.publishChange(t, fmt.Sprintf("change-%d", round))
			reading[1].SetMode(fake.Healthy)
			intake[0].SetMode(fake.Healthy)
			time.Sleep(500 * time.Millisecond)
		}
	})
	findings := recorder.Audit(f.Platform.Account.Started())
	if !findings.Clean() {
		t.Errorf("got findings %+v, want none; causes %v", findings, recorder.Causes())
	}
	for result, name := range map[load.Result]string{load.Complete: "whole", load.NotRun: "not run", load.MayHaveRun: "may have run"} {
		if recorder.Count(result) == 0 {
			t.Errorf("got no request that ended as %s, want some: nothing was provoked", name)
		}
	}
	t.Logf("%d requests: %d whole, %d not run, %d may have run, %d broken; causes %v", recorder.Total(),
		recorder.Count(load.Complete), recorder.Count(load.NotRun), recorder.Count(load.MayHaveRun), recorder.Count(load.TransportError), recorder.Causes())
}

// publishChange publishes a change of one setting and waits for every node.
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
		t.Errorf("got %v from publishing %s, want it in force", err, id)
	}
}

// TestPlannedStopsCutOffNothing stops and replaces every node in turn under
// load; no caller may see a connection break.
func TestPlannedStopsCutOffNothing(t *testing.T) {
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
			if err := f.AwaitBalanced(t.Context(), 3); err != nil {
				t.Errorf("got %v, want 3 nodes", err)
			}
		}
	})
	if got := recorder.Count(load.TransportError); got != 0 {
		t.Errorf("got %d broken connections of %d requests, want 0; causes %v", got, recorder.Total(), recorder.Causes())
	}
	if findings := recorder.Audit(f.Platform.Account.Started()); !findings.Clean() {
		t.Errorf("got findings %+v, want none", findings)
	}
}

// TestLeavingWorkerGetsNoNewWork lists a worker as leaving under load; 3 s
// later no node may send it anything, and what it had must have ended.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 3)
	worker := hostsOf(t, f, "Reading")[0]
	late, before := int64(0), int64(0)
	runLoad(t, f, func() {
		time.Sleep(300 * time.Millisecond)
		before = worker.Served()
		f.Platform.List.Leave(worker.Name)
		time.Sleep(3 * time.Second)
		atLimit := worker.Served()
		time.Sleep(2 * time.Second)
		late = worker.Served() - atLimit
	})
	if before == 0 {
		t.Error("got no request at the worker before it left, want some")
	}
	if late != 0 {
		t.Errorf("got %d requests at the worker 3 s after it left, want 0", late)
	}
}

// TestSlotsHoldOverNodes lets callers ask for more than a pool holds, at as
// many nodes as the users have at most; no worker may get more than its slots.
func TestSlotsHoldOverNodes(t *testing.T) {
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
	if got := f.Platform.Account.Overshoot(); got != 0 {
		t.Errorf("got %d requests beyond its slots at a worker, want 0", got)
	}
	const slots = 8 * 8
	if got := recorder.Count(load.Complete); got <= slots {
		t.Errorf("got %d whole answers, want more than the %d slots, so that slots were used again", got, slots)
	}
}

// TestFailingWorkerGetsLittle lets one of 12 workers fail everything at once,
// which frees its slots sooner than work does. It must not attract work, and
// must get its part again once it is well.
func TestFailingWorkerGetsLittle(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := startFleet(t, 3)
	workers := hostsOf(t, f, "Reading")
	spec := load.RequestSpec{Service: "ReadingRoom", Path: "/request", Work: 10 * time.Millisecond, Size: 10}
	const requests = 6000
	run := func() (bad, total int64) {
		before, badBefore := served(workers), workers[0].Served()
		caller := &load.Caller{Targets: f, Requests: []load.RequestSpec{spec}, Recorder: load.NewRecorder(), Client: load.NewClient(20 * time.Second)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var callers sync.WaitGroup
		callers.Go(func() { caller.Run(ctx, 48) })
		for served(workers)-before < requests {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		callers.Wait()
		bad, total = workers[0].Served()-badBefore, served(workers)-before
		t.Logf("%d of %d requests at one of %d workers", bad, total, len(workers))
		return bad, total
	}
	workers[0].SetMode(fake.FailAll)
	bad, total := run()
	if fair := total / int64(len(workers)); bad > fair/4 {
		t.Errorf("got %d of %d requests at the failing worker, want at most a quarter of its part, %d", bad, total, fair/4)
	}
	workers[0].SetMode(fake.Healthy)
	time.Sleep(8 * time.Second)
	run()
	bad, total = run()
	if fair := total / int64(len(workers)); bad < fair/2 {
		t.Errorf("got %d of %d requests at the worker that is well again, want at least half of its part, %d", bad, total, fair/2)
	}
}

func served(workers []*fake.Worker) int64 {
	total := int64(0)
	for _, worker := range workers {
		total += worker.Served()
	}
	return total
}

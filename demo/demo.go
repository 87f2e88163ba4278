package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/fleet"
	"rattanpath/load"
)

// Options configures a demo.
type Options struct {
	Nodes   int
	Callers int
	// Files are the declarations of the fleet.
	Files config.Files
	// Requests are the kinds of requests that callers send. Hosts of the pool that
	// serves the first one are drained and marked as leaving.
	Requests []load.RequestSpec
	Logger   logr.Logger
}

// retention is the number of records that each stream of the log retains.
const retention = 1000

// runner runs one demo.
type runner struct {
	options  Options
	out      io.Writer
	fleet    *fleet.Fleet
	recorder *load.Recorder
	report   *Report
	started  time.Time
	revision int64
	files    config.Files
	changes  int
}

// step is one step of the demo; run returns a note for the progress output.
type step struct {
	title string
	run   func(context.Context) (string, error)
}

// Run runs the demo and writes its progress and report to out. It returns an
// error if a step fails or a guarantee is violated. The report is never nil.
func Run(ctx context.Context, options Options, out io.Writer) (*Report, error) {
	r := &runner{
		options:  options,
		out:      out,
		fleet:    fleet.New(retention, options.Logger),
		recorder: load.NewRecorder(),
		report:   &Report{},
		started:  time.Now(),
		files:    maps.Clone(options.Files),
	}
	defer r.fleet.Close(context.WithoutCancel(ctx))
	if err := r.runSteps(ctx, r.setupSteps()); err != nil {
		return r.report, err
	}
	err := r.runUnderLoad(ctx)
	r.fillReport()
	if _, printErr := io.WriteString(out, r.report.Text()); printErr != nil {
		return r.report, printErr
	}
	if err != nil {
		return r.report, err
	}
	return r.report, r.report.Err()
}

// runUnderLoad runs the fault steps while callers send requests.
func (r *runner) runUnderLoad(ctx context.Context) error {
	caller := &load.Caller{
		Targets:  r.fleet,
		Requests: r.options.Requests,
		Recorder: r.recorder,
		Pause:    10 * time.Millisecond,
		Client:   load.NewClient(time.Minute),
	}
	if err := r.fleet.AwaitInRotation(ctx, r.options.Nodes); err != nil {
		return err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { caller.Run(loadCtx, r.options.Callers) })
	err := r.runSteps(ctx, r.faultSteps())
	stop()
	wg.Wait()
	return err
}

func (r *runner) runSteps(ctx context.Context, steps []step) error {
	for _, step := range steps {
		note, err := step.run(ctx)
		if err != nil {
			return errors.Wrap(err, step.title)
		}
		_, _ = fmt.Fprintf(r.out, "%6.1fs  %-44s %s\n", time.Since(r.started).Seconds(), step.title, note)
	}
	return nil
}

// fillReport fills in the results of all requests and audits them against what
// the workers ran.
func (r *runner) fillReport() {
	r.report.Sent = r.recorder.Total()
	r.report.Whole = r.recorder.Count(load.Complete)
	r.report.NotRun = r.recorder.Count(load.NotRun)
	r.report.MayHaveRun = r.recorder.Count(load.MayHaveRun)
	r.report.BrokenOff = r.recorder.Count(load.TransportError)
	r.report.Lost = r.recorder.FailedIdempotent()
	r.report.Findings = r.recorder.Audit(r.fleet.Platform.Executions.Starts())
	r.report.Causes = r.recorder.Causes()
	r.report.P50 = r.recorder.Latency(50)
	r.report.P99 = r.recorder.Latency(99)
}

// publish publishes the current files and reports the time until they were active
// on all nodes.
func (r *runner) publish(ctx context.Context) (time.Duration, error) {
	r.changes++
	revision, elapsed, err := r.fleet.Publish(ctx, fmt.Sprintf("demo-%d", r.changes), r.revision, r.files)
	if err != nil {
		return 0, err
	}
	r.revision = revision
	r.report.InForce = append(r.report.InForce, elapsed)
	return elapsed, nil
}

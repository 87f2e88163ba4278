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

// Options are the sizes of a demo.
type Options struct {
	Nodes   int
	Callers int
	// Files are the declarations that the fleet runs.
	Files config.Files
	// Requests are the requests that callers send.
	Requests []load.RequestSpec
	Logger   logr.Logger
}

// retention is the number of records that the demo's log keeps.
const retention = 1000

// run is one demo under way.
type run struct {
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

// step is one part of the demo.
type step struct {
	title string
	do    func(context.Context) (string, error)
}

// Run plays the demo, writes its progress and its report to out, and fails if
// a step did or a promise was broken.
func Run(ctx context.Context, options Options, out io.Writer) (*Report, error) {
	r := &run{
		options:  options,
		out:      out,
		fleet:    fleet.New(retention, options.Logger),
		recorder: load.NewRecorder(),
		report:   &Report{},
		started:  time.Now(),
		files:    maps.Clone(options.Files),
	}
	defer r.fleet.Close(context.WithoutCancel(ctx))
	if err := r.play(ctx, r.opening()); err != nil {
		return r.report, err
	}
	err := r.underLoad(ctx)
	r.finish()
	if _, printErr := io.WriteString(out, r.report.Text()); printErr != nil {
		return r.report, printErr
	}
	if err != nil {
		return r.report, err
	}
	return r.report, r.report.Broken()
}

// underLoad plays the faults while callers send requests.
func (r *run) underLoad(ctx context.Context) error {
	callers := &load.Caller{
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
	wg.Go(func() { callers.Run(loadCtx, r.options.Callers) })
	err := r.play(ctx, r.faults())
	stop()
	wg.Wait()
	return err
}

func (r *run) play(ctx context.Context, steps []step) error {
	for _, step := range steps {
		note, err := step.do(ctx)
		if err != nil {
			return errors.Wrap(err, step.title)
		}
		_, _ = fmt.Fprintf(r.out, "%6.1fs  %-44s %s\n", time.Since(r.started).Seconds(), step.title, note)
	}
	return nil
}

// finish compares what callers were told with what workers ran.
func (r *run) finish() {
	r.report.Sent = r.recorder.Total()
	r.report.Whole = r.recorder.Count(load.Complete)
	r.report.NotRun = r.recorder.Count(load.NotRun)
	r.report.MayHaveRun = r.recorder.Count(load.MayHaveRun)
	r.report.BrokenOff = r.recorder.Count(load.TransportError)
	r.report.Lost = r.recorder.FailedIdempotent()
	r.report.Findings = r.recorder.Audit(r.fleet.Platform.Account.Started())
	r.report.Causes = r.recorder.Causes()
	r.report.P50 = r.recorder.Latency(50)
	r.report.P99 = r.recorder.Latency(99)
}

// publish brings the demo's files in force and notes how long that took.
func (r *run) publish(ctx context.Context) (time.Duration, error) {
	r.changes++
	revision, took, err := r.fleet.Publish(ctx, fmt.Sprintf("demo-%d", r.changes), r.revision, r.files)
	if err != nil {
		return 0, err
	}
	r.revision = revision
	r.report.InForce = append(r.report.InForce, took)
	return took, nil
}

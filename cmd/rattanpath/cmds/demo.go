package cmds

import (
	"context"
	"io"
	"time"

	"github.com/go-logr/logr"

	"rattanpath"
	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/demo"
	"rattanpath/engine"
	"rattanpath/load"
	"rattanpath/local"
	"rattanpath/platform"
)

// demoTimeout bounds the whole demo, so that a hanging one fails.
const demoTimeout = 2 * time.Minute

// demoCommand groups the demos, which run a fleet in this process.
type demoCommand struct {
	Requests requestsDemo `cmd:"" default:"withargs" help:"Run entry nodes under load, with configuration changes and faults."`
	Jobs     jobsDemo     `cmd:"" help:"Run management nodes with jobs and inject faults."`
}

// jobsDemo runs management nodes on fakes of the store and of hosts.
type jobsDemo struct {
	Nodes int  `help:"Number of management nodes." default:"3"`
	Hosts int  `help:"Number of upstream hosts." default:"6"`
	Logs  bool `help:"Write the nodes' logs to standard error."`
}

// Run runs the demo and prints its steps.
func (c *jobsDemo) Run(e *env) error {
	logger := logr.Discard()
	if c.Logs {
		logger = core.NewLogger(e.errOut, "demo")
	}
	ctx, cancel := context.WithTimeout(e.ctx, demoTimeout)
	defer cancel()
	cluster, err := local.New(ctx, local.Options{
		Nodes: c.Nodes, Hosts: c.Hosts, Platform: platform.New(engine.Settings{}),
		EncodeConfig: platform.EncodeConfig, EncodeHost: platform.EncodeHost, EncodeJob: platform.EncodeJob,
		Logger: logger,
	})
	if err != nil {
		return err
	}
	err = cluster.RunScenario(ctx, e.out)
	if closeErr := cluster.Close(ctx); err == nil {
		err = closeErr
	}
	return err
}

// requestsDemo runs entry nodes and their callers.
type requestsDemo struct {
	Nodes   int  `help:"Number of entry nodes." default:"8"`
	Callers int  `help:"Number of concurrent callers." default:"48"`
	Logs    bool `help:"Write the nodes' logs to standard error."`
}

// Run runs the demo with the example folder archive.
func (c *requestsDemo) Run(e *env) error {
	example, err := rattanpath.Example("archive")
	if err != nil {
		return err
	}
	files, err := config.ReadFS(example, "archive")
	if err != nil {
		return err
	}
	logger := logr.Discard()
	if c.Logs {
		logger = core.NewLogger(e.errOut, "demo")
	}
	progress := e.out
	if e.json {
		progress = io.Discard
	}
	ctx, cancel := context.WithTimeout(e.ctx, demoTimeout)
	defer cancel()
	report, err := demo.Run(ctx, demo.Options{
		Nodes:    c.Nodes,
		Callers:  c.Callers,
		Files:    files,
		Requests: demoRequests,
		Logger:   logger,
	}, progress)
	if e.json && report != nil {
		if err := e.print(report, ""); err != nil {
			return err
		}
	}
	return err
}

// demoRequests are the kinds of requests that callers send to the services of
// the example folder archive: lookups, entries that must not run twice, and long
// requests.
var demoRequests = []load.RequestSpec{
	{Service: "ReadingRoom", Path: "/lookup", Idempotent: true, Work: 5 * time.Millisecond, Size: 2000},
	{Service: "ReadingRoom", Path: "/request", Work: 5 * time.Millisecond, Size: 200, Body: 300},
	{Service: "Catalogue", Path: "/query", Idempotent: true, Work: 10 * time.Millisecond, Size: 200_000},
	{Service: "Accession", Path: "/entry", Work: 10 * time.Millisecond, Size: 100, Body: 5000},
	{Service: "BoxList", Path: "/list", Idempotent: true, Work: 20 * time.Millisecond, Size: 20_000},
	{Service: "Reindex", Path: "/series", Idempotent: true, Work: 300 * time.Millisecond, Size: 1000},
}

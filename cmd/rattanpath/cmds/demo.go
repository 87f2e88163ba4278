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
	"rattanpath/platform"
	"rattanpath/stage"
)

// demoTimeout bounds a demo that hangs.
const demoTimeout = 2 * time.Minute

// demoCommand runs whole fleets in this process.
type demoCommand struct {
	Requests requestsDemo `cmd:"" default:"withargs" help:"Entry nodes under load, taken through changes and faults."`
	Jobs     jobsDemo     `cmd:"" help:"Managing nodes that run jobs, taken through faults."`
}

// jobsDemo plays managing nodes on stand-ins of the store and of hosts.
type jobsDemo struct {
	Nodes int  `help:"Managing nodes." default:"3"`
	Hosts int  `help:"Upstream hosts." default:"6"`
	Logs  bool `help:"Write the nodes' logs to standard error."`
}

// Run plays the demo.
func (c *jobsDemo) Run(e *env) error {
	logger := logr.Discard()
	if c.Logs {
		logger = core.NewLogger(e.errOut, "demo")
	}
	ctx, cancel := context.WithTimeout(e.ctx, demoTimeout)
	defer cancel()
	s, err := stage.New(ctx, stage.Options{
		Nodes: c.Nodes, Hosts: c.Hosts, Platform: platform.Connect(engine.Settings{}),
		EncodeConfig: platform.EncodeConfig, EncodeHost: platform.EncodeHost, EncodeJob: platform.EncodeJob,
		Logger: logger,
	})
	if err != nil {
		return err
	}
	err = s.Play(ctx, e.out)
	if closed := s.Close(ctx); err == nil {
		err = closed
	}
	return err
}

// requestsDemo plays entry nodes and their callers.
type requestsDemo struct {
	Nodes   int  `help:"Entry nodes." default:"8"`
	Callers int  `help:"Callers that send at once." default:"48"`
	Logs    bool `help:"Write the nodes' logs to standard error."`
}

// Run plays the demo on the archive's folder.
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
		Requests: demoShapes,
		Logger:   logger,
	}, progress)
	if e.json && report != nil {
		if err := e.print(report, ""); err != nil {
			return err
		}
	}
	return err
}

// demoShapes are the archive's requests: lookups, entries that must not run
// twice, and long ones.
var demoShapes = []load.RequestSpec{
	{Service: "ReadingRoom", Path: "/lookup", Idempotent: true, Work: 5 * time.Millisecond, Size: 2000},
	{Service: "ReadingRoom", Path: "/request", Work: 5 * time.Millisecond, Size: 200, Body: 300},
	{Service: "Catalogue", Path: "/query", Idempotent: true, Work: 10 * time.Millisecond, Size: 200_000},
	{Service: "Accession", Path: "/entry", Work: 10 * time.Millisecond, Size: 100, Body: 5000},
	{Service: "BoxList", Path: "/list", Idempotent: true, Work: 20 * time.Millisecond, Size: 20_000},
	{Service: "Reindex", Path: "/series", Idempotent: true, Work: 300 * time.Millisecond, Size: 1000},
}

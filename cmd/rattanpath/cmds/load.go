package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/load"
)

// loadCommand sends requests and checks their results against the requests that
// workers ran.
type loadCommand struct {
	To       []string      `help:"Addresses of entry nodes, IP:port." required:""`
	Service  string        `help:"Service to call." required:""`
	Path     string        `help:"Path below the service." default:"/"`
	Post     bool          `help:"Send non-idempotent requests."`
	Work     time.Duration `help:"Time that a worker spends on each request." default:"5ms"`
	Size     int           `help:"Size of each response, in bytes." default:"1000"`
	Callers  int           `help:"Number of concurrent callers." default:"8"`
	For      time.Duration `help:"How long to send." default:"5s"`
	Platform string        `help:"URL of the fake platform, whose counts of started requests are compared with the callers' results; empty skips the comparison." default:""`
}

// loadReport summarizes the results of the requests.
type loadReport struct {
	Sent       int
	Whole      int
	NotRun     int
	MayHaveRun int
	Broken     int
	Causes     map[string]int
	P50        time.Duration
	P99        time.Duration
	Findings   load.Findings
}

// Run sends requests, prints a report, and fails if the results that callers got
// contradict what workers ran.
func (c *loadCommand) Run(e *env) error {
	results := load.NewRecorder()
	caller := &load.Caller{
		Targets:  load.StaticTargets(c.To),
		Requests: []load.RequestSpec{{Service: c.Service, Path: c.Path, Idempotent: !c.Post, Work: c.Work, Size: c.Size}},
		Recorder: results,
		Client:   load.NewClient(time.Minute),
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.For)
	defer cancel()
	caller.Run(ctx, c.Callers)
	report := newLoadReport(results)
	if c.Platform != "" {
		startCounts, err := fetchStartCounts(c.Platform)
		if err != nil {
			return err
		}
		report.Findings = results.Audit(startCounts)
	}
	text := fmt.Sprintf("sent %d: %d whole, %d not run, %d may have run, %d broken; p50 %s, p99 %s\ncauses %v\nfindings %+v\n",
		report.Sent, report.Whole, report.NotRun, report.MayHaveRun, report.Broken, report.P50, report.P99, report.Causes, report.Findings)
	if err := e.print(report, text); err != nil {
		return err
	}
	if !report.Findings.Clean() {
		return errors.New("the results that callers got contradict what workers ran")
	}
	return nil
}

func newLoadReport(results *load.Recorder) loadReport {
	return loadReport{
		Sent:       results.Total(),
		Whole:      results.Count(load.Complete),
		NotRun:     results.Count(load.NotRun),
		MayHaveRun: results.Count(load.MayHaveRun),
		Broken:     results.Count(load.TransportError),
		Causes:     results.Causes(),
		P50:        results.Latency(50),
		P99:        results.Latency(99),
	}
}

func fetchStartCounts(platform string) (map[string]int, error) {
	response, err := http.Get(platform + "/trial/account")
	if err != nil {
		return nil, errors.Wrap(err, "fetching the start counts of requests")
	}
	defer func() { _ = response.Body.Close() }()
	var report fake.ExecutionReport
	err = json.NewDecoder(response.Body).Decode(&report)
	return report.Started, errors.Wrap(err, "decoding the start counts of requests")
}

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

// loadCommand sends requests and audits what came of them.
type loadCommand struct {
	To       []string      `help:"Addresses of entry nodes, IP:port." required:""`
	Service  string        `help:"Service to call." required:""`
	Path     string        `help:"Path below the service." default:"/"`
	Post     bool          `help:"Send requests that are not idempotent."`
	Work     time.Duration `help:"Time that a worker runs each request." default:"5ms"`
	Size     int           `help:"Bytes of each answer." default:"1000"`
	Callers  int           `help:"Callers that send at once." default:"8"`
	For      time.Duration `help:"How long to send." default:"5s"`
	Platform string        `help:"URL of the stand-ins, whose account of what ran is compared; empty compares nothing." default:""`
}

// loadReport is what came of the requests.
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

// Run sends requests, prints a report, and fails if a caller was told what is
// not true.
func (c *loadCommand) Run(e *env) error {
	ledger := load.NewRecorder()
	caller := &load.Caller{
		Targets:  load.StaticTargets(c.To),
		Requests: []load.RequestSpec{{Service: c.Service, Path: c.Path, Idempotent: !c.Post, Work: c.Work, Size: c.Size}},
		Recorder: ledger,
		Client:   load.NewClient(time.Minute),
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.For)
	defer cancel()
	caller.Run(ctx, c.Callers)
	report := reportOf(ledger)
	if c.Platform != "" {
		started, err := fetchAccount(c.Platform)
		if err != nil {
			return err
		}
		report.Findings = ledger.Audit(started)
	}
	text := fmt.Sprintf("sent %d: %d whole, %d not run, %d may have run, %d broken; p50 %s, p99 %s\ncauses %v\nfindings %+v\n",
		report.Sent, report.Whole, report.NotRun, report.MayHaveRun, report.Broken, report.P50, report.P99, report.Causes, report.Findings)
	if err := e.print(report, text); err != nil {
		return err
	}
	if !report.Findings.Clean() {
		return errors.New("callers were told what is not true")
	}
	return nil
}

func reportOf(ledger *load.Recorder) loadReport {
	return loadReport{
		Sent:       ledger.Total(),
		Whole:      ledger.Count(load.Complete),
		NotRun:     ledger.Count(load.NotRun),
		MayHaveRun: ledger.Count(load.MayHaveRun),
		Broken:     ledger.Count(load.TransportError),
		Causes:     ledger.Causes(),
		P50:        ledger.Latency(50),
		P99:        ledger.Latency(99),
	}
}

func fetchAccount(platform string) (map[string]int, error) {
	response, err := http.Get(platform + "/trial/account")
	if err != nil {
		return nil, errors.Wrap(err, "asking for the account")
	}
	defer func() { _ = response.Body.Close() }()
	var report fake.AccountReport
	err = json.NewDecoder(response.Body).Decode(&report)
	return report.Started, errors.Wrap(err, "reading the account")
}

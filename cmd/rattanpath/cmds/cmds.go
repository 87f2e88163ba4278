package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"rattanpath/change"
	"rattanpath/config"
)

// Exit codes of all commands.
const (
	exitOK       = 0
	exitFailure  = 1
	exitInvalid  = 2
	exitConflict = 3
	exitUnknown  = 4
)

// commands defines the command line for kong.
type commands struct {
	Format string `help:"Output format: ${enum}." enum:"text,json" default:"text" env:"RATTANPATH_FORMAT"`

	Serve  serveCommand  `cmd:"" help:"Run an entry node."`
	Manage manageCommand `cmd:"" help:"Run a management node, which accepts jobs and runs them on the fleet. RATTANPATH_SETTINGS names its settings file."`
	Config configCommand `cmd:"" help:"Check, show, explain, compare, fetch and publish declarations."`
	Status statusCommand `cmd:"" help:"Show the status of every entry node."`
	Node   nodeCommand   `cmd:"" help:"Show the state of a management node, and how old its information is."`
	Jobs   jobsCommand   `cmd:"" help:"List, explain and cancel jobs."`
	Hosts  hostsCommand  `cmd:"" help:"Show the hosts of pools, as known to the nodes that own the services."`
	Trace  traceCommand  `cmd:"" help:"Show the timeline of a job from the logs of nodes."`

	Organisations organisationsCommand  `cmd:"" help:"Show what organisations use, wait for and may use of their caps and shares."`
	Explain       requestExplainCommand `cmd:"" help:"Say where a caller's request or job would go now, and why, without sending it."`

	Demo    demoCommand    `cmd:"" help:"Run a whole fleet on loopback in this process, inject changes and faults, and report which guarantees held."`
	Fake    fakeCommand    `cmd:"" help:"Run a fake of the outside platform; for testing only."`
	Load    loadCommand    `cmd:"" help:"Send requests to entry nodes and check the responses; for testing only."`
	Measure measureCommand `cmd:"" help:"Measure costs on this machine; for testing only."`
}

// env is passed to the Run method of each command.
type env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	json   bool
}

// print writes value as JSON or text as it is, depending on the output format.
func (e *env) print(value any, text string) error {
	if !e.json {
		_, err := io.WriteString(e.out, text)
		return err
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// exitRequest is the panic value by which kong's exit hook leaves the parser; Run
// recovers it.
type exitRequest int

// Run parses args, runs the selected command and returns the exit code.
func Run(args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if request, ok := recover().(exitRequest); ok {
			code = int(request)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("rattanpath"),
		kong.Description("Manages the capacity and maintenance of a fleet. Exit codes: 0 success, 1 failure, 2 invalid usage or declarations, 3 conflict with another operator's change, 4 outcome unknown."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.UsageOnError(),
	)
	if err != nil {
		return reportError(errOut, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "rattanpath: %v\n", err)
		return exitInvalid
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = parsed.Run(&env{ctx: ctx, out: out, errOut: errOut, json: c.Format == "json"})
	return reportError(errOut, err)
}

// reportError prints err and returns its exit code; for nil it returns exitOK.
func reportError(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	var problems config.Problems
	var rejected *change.RejectedError
	var unknown *change.UnknownOutcomeError
	_, _ = fmt.Fprintln(errOut, err)
	switch {
	case errors.As(err, &problems):
		return exitInvalid
	case errors.As(err, &rejected):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	default:
		return exitFailure
	}
}

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

// Exit codes of every command.
const (
	exitOK       = 0
	exitFailure  = 1
	exitInvalid  = 2
	exitConflict = 3
	exitUnknown  = 4
)

// commands is the command line.
type commands struct {
	Format string `help:"Form of what is printed: ${enum}." enum:"text,json" default:"text" env:"RATTANPATH_FORMAT"`

	Serve  serveCommand  `cmd:"" help:"Run an entry node."`
	Manage manageCommand `cmd:"" help:"Run a node that takes jobs in and runs them on the fleet, with the settings file that RATTANPATH_SETTINGS names."`
	Config configCommand `cmd:"" help:"Check, show, explain, compare and publish declarations."`
	Status statusCommand `cmd:"" help:"Show what every entry node is doing."`
	Node   nodeCommand   `cmd:"" help:"Show what a managing node believes, and how old that is."`
	Jobs   jobsCommand   `cmd:"" help:"List, explain and cancel jobs."`
	Hosts  hostsCommand  `cmd:"" help:"Show the hosts of pools as the owners of services see them."`
	Trace  traceCommand  `cmd:"" help:"Tell the story of a job from the logs of nodes."`
	Demo   demoCommand   `cmd:"" help:"Run a whole fleet on loopback in this process and show what held."`
	Fake   fakeCommand   `cmd:"" help:"Run stand-ins of the platform; for trials only."`
	Load   loadCommand   `cmd:"" help:"Send requests to entry nodes and audit the answers; for trials only."`

	Measure measureCommand `cmd:"" help:"Measure costs on this machine; for trials only."`
}

// env is what a command works with.
type env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	json   bool
}

// print writes value as JSON, or text for people.
func (e *env) print(value any, text string) error {
	if !e.json {
		_, err := io.WriteString(e.out, text)
		return err
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// exitRequest carries kong's wish to exit out of the parser.
type exitRequest int

// Run runs the command line args and returns its exit code.
func Run(args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if request, ok := recover().(exitRequest); ok {
			code = int(request)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("rattanpath"),
		kong.Description("Manages the capacity and the maintenance of a fleet. Exit codes: 0 done, 1 failed, 2 wrong usage or declarations, 3 another operator was first, 4 the outcome is not known."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.UsageOnError(),
	)
	if err != nil {
		return fail(errOut, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "rattanpath: %v\n", err)
		return exitInvalid
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = parsed.Run(&env{ctx: ctx, out: out, errOut: errOut, json: c.Format == "json"})
	return fail(errOut, err)
}

// fail prints an error and returns the exit code that belongs to it.
func fail(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	var problems config.Problems
	var conflict *change.RejectedError
	var unknown *change.UnknownOutcomeError
	_, _ = fmt.Fprintln(errOut, err)
	switch {
	case errors.As(err, &problems):
		return exitInvalid
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	default:
		return exitFailure
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"rattanpath/cmd/rattanpath/cmds"
	"rattanpath/fake"
)

// awaitTimeout bounds how long the await command polls a URL.
const awaitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rattanpath": func() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestConfig runs the scripts that check declarations. They start no background
// processes.
func TestConfig(t *testing.T) {
	runScripts(t, "_fixtures/config")
}

// TestFleet runs the scripts that start the fake platform and entry nodes as
// separate processes.
func TestFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	runScripts(t, "_fixtures/fleet")
}

func runScripts(t *testing.T, dir string) {
	t.Helper()
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:             dir,
		ContinueOnError: false,
		UpdateScripts:   os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			return setupPorts(e)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":  awaitCommand,
			"exits":  exitsCommand,
			"put":    putCommand,
			"signal": signalCommand,
			"write":  writeCommand,
		},
	})
}

// scriptNodes is the largest number of nodes that a script can start.
const scriptNodes = 4

// setupPorts reserves free ports. It sets PLATFORM and RATTANPATH_PLATFORM to the
// URL of the platform, PLATFORM_ADDRESS to its address, NODEPORT to the first port
// of the nodes, and LISTENi, PEERi and ADMINi to the addresses of node i.
func setupPorts(e *testscript.Env) error {
	base, err := fake.FreePorts(1 + scriptNodes*fake.PortsPerNode)
	if err != nil {
		return err
	}
	platform := fake.LoopbackAddress(base)
	e.Setenv("PLATFORM_ADDRESS", platform)
	e.Setenv("PLATFORM", "http://"+platform)
	e.Setenv("RATTANPATH_PLATFORM", "http://"+platform)
	e.Setenv("RATTANPATH_LINGER", "200ms")
	e.Setenv("NODEPORT", strconv.Itoa(base+1))
	for i := range scriptNodes {
		host := fake.EntryHost("", base+1+i*fake.PortsPerNode)
		e.Setenv(fmt.Sprintf("LISTEN%d", i), host.Address)
		e.Setenv(fmt.Sprintf("PEER%d", i), host.PeerAddress)
		e.Setenv(fmt.Sprintf("ADMIN%d", i), host.AdminAddress)
	}
	return nil
}

// awaitCommand polls a URL until the response, or the error, contains all given
// texts: await URL TEXT... Negated, it polls until one of them is missing.
func awaitCommand(ts *testscript.TestScript, negated bool, args []string) {
	deadline := time.Now().Add(awaitTimeout)
	var body string
	for time.Now().Before(deadline) {
		body = get(args[0])
		if containsAll(body, args[1:]) != negated {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s: got %q, want %q (negated: %t)", args[0], body, args[1:], negated)
}

func containsAll(body string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(body, text) {
			return false
		}
	}
	return true
}

func get(url string) string {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.Status + " " + string(body)
}

// exitsCommand runs a command and checks its exit code: exits CODE COMMAND
// ARGUMENT...
func exitsCommand(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if want := args[0]; strconv.Itoa(got) != want {
		ts.Fatalf("got exit code %d, want %s", got, want)
	}
}

// putCommand sends a PUT request that must succeed: put URL BODY.
func putCommand(ts *testscript.TestScript, _ bool, args []string) {
	request, err := http.NewRequest(http.MethodPut, args[0], strings.NewReader(args[1]))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("PUT %s: got status %s, want %d", args[0], response.Status, http.StatusOK)
	}
}

// signalCommand sends a signal to the first background command that has an
// argument ending in ARGUMENT: signal TERM|STOP|CONT|KILL ARGUMENT.
func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{
		"TERM": syscall.SIGTERM,
		"STOP": syscall.SIGSTOP,
		"CONT": syscall.SIGCONT,
		"KILL": syscall.SIGKILL,
	}
	for _, cmd := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(cmd.Args, " ")+" ", args[1]+" ") {
			ts.Check(cmd.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("got no background command with argument %s, want one", args[1])
}

// writeCommand writes a file with an unsupported encoding or size: write FILE
// utf16|latin1|big.
func writeCommand(ts *testscript.TestScript, _ bool, args []string) {
	contents := map[string]string{
		"utf16":  "\xff\xfeP\x00o\x00o\x00l\x00s\x00",
		"latin1": "Pools:\n  A:\n    Hosts: [caf\xe9]\n",
		"big":    strings.Repeat("# padding\n", 1<<20),
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(contents[args[1]]), 0o600))
}

package stub

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"rattanpath/cmd/rattanpath/cmds"
	"rattanpath/fake"
	"rattanpath/platform"
)

const (
	// nodeVariable makes the test binary run as the rattanpath command.
	nodeVariable = "RATTANPATH_STUB_NODE"
	// portsPerNode is the number of ports of a management node: for callers, readiness checks,
	// other nodes and operators, in this order.
	portsPerNode = 4
	// MemoryMB and MaxFDs are the limits in the settings of nodes.
	MemoryMB = 96
	MaxFDs   = 200
)

// RunIfNode runs the rattanpath command and exits if a Process started this test binary.
func RunIfNode() {
	if os.Getenv(nodeVariable) != "" {
		os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
}

// Launch starts the test binary as a process with arguments and an environment, and with a file
// for its output.
type Launch func(args, env []string, output *os.File) (*os.Process, error)

// Process is a management node that runs as a process of its own, the test binary executed
// again. It may be started again after its end.
type Process struct {
	Name string
	// Launch is how the test starts the process.
	Launch Launch
	// LogPath is the file with the output of all its lives.
	LogPath  string
	basePort int
	settings string
	// limits are those in the settings.
	limits Limits

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// state is how the process has ended.
	state *os.ProcessState
}

// NewProcess returns a node that uses a platform's server and keeps its files in a folder.
func NewProcess(name, dir, server string, launch Launch) (*Process, error) {
	return NewLimitedProcess(name, dir, server, launch, Limits{MemoryMB: MemoryMB, MaxFDs: MaxFDs})
}

// Limits are the limits in the settings of a node, 0 for those that are left out.
type Limits struct {
	CPUShare float64
	MemoryMB int
	MaxFDs   int
}

// NewLimitedProcess returns a node as NewProcess does, with other limits in its settings.
func NewLimitedProcess(name, dir, server string, launch Launch, limits Limits) (*Process, error) {
	port, err := fake.FreePorts(portsPerNode)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Launch: launch, LogPath: filepath.Join(dir, name+".log"), limits: limits, basePort: port, settings: filepath.Join(dir, name+".yaml")}
	return p, errors.Wrap(os.WriteFile(p.settings, []byte(p.settingsText(server)), 0o600), "writing the settings")
}

func (p *Process) address(offset int) string { return fake.LoopbackAddress(p.basePort + offset) }

// Callers returns the address for callers.
func (p *Process) Callers() string { return p.address(0) }

// Health returns the address of the readiness check.
func (p *Process) Health() string { return p.address(1) }

// Peers returns the address for other nodes.
func (p *Process) Peers() string { return p.address(2) }

// Admin returns the address for operators.
func (p *Process) Admin() string { return p.address(3) }

func (p *Process) settingsText(server string) string {
	return fmt.Sprintf(`nodeName: %q
ip: "127.0.0.1"
listen:
  front: %q
  ready: %q
internalPorts: [%d, %d]
heartbeatMs: %d
limits: {cpuShare: %g, cores: 1, memoryMb: %d, maxFds: %d}
bounds: {contactMs: 3000, graceS: 1, holdMaxMs: %d, status_s: 120, leaseMs: 3000, moveS: 1.5, maintenanceS: 2}
platform: {address: %q, form: "log", parts: 32, recordBytes: 262144, callBytes: 2097152, ttlMinMs: 1000}
cloud: {address: %q, dutyPerS: 64.0}
`, p.Name, p.Callers(), p.Health(), p.basePort+2, p.basePort+3, hostHeartbeat.Milliseconds(), p.limits.CPUShare, p.limits.MemoryMB, p.limits.MaxFDs, longestLease.Milliseconds(), server, server)
}

// Start starts the process, which must not be running.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	env := append(os.Environ(), nodeVariable+"=1", platform.SettingsVariable+"="+p.settings)
	// PID waits, so that no call of the process comes before its ID.
	p.mu.Lock()
	defer p.mu.Unlock()
	process, err := p.Launch([]string{"manage"}, env, log)
	if err != nil {
		return err
	}
	p.process, p.exited, p.state = process, make(chan struct{}), nil
	go p.runWait(process, p.exited)
	return nil
}

// runWait waits for the end of a process.
func (p *Process) runWait(process *os.Process, exited chan<- struct{}) {
	state, _ := process.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(exited)
}

// PID returns the ID of the process that was started last, 0 if none was.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return 0
	}
	return p.process.Pid
}

// Exited returns a channel that is closed at the end of the process that was started last.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// IsRunning reports whether the process that was started last has not ended.
func (p *Process) IsRunning() bool {
	select {
	case <-p.Exited():
		return false
	default:
		return true
	}
}

// ExitState returns how the process that was started last has ended, or nil.
func (p *Process) ExitState() *os.ProcessState {
	if p.IsRunning() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Signal sends a signal, unless the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.process.Signal(signal)
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Exited()
}

// LogTail returns the end of the log.
func (p *Process) LogTail(size int) string {
	data, _ := os.ReadFile(p.LogPath)
	return string(data[max(0, len(data)-size):])
}

package cmds

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/platform"
)

// hangupPhase is the environment variable that makes this test a process with a node that gets
// a SIGHUP in the given phase.
const hangupPhase = "RATTANPATH_TEST_HANGUP"

// hangupNode sends SIGHUP to its own process in one phase.
type hangupNode struct{ phase string }

// hangUp sends the signal in the given phase, and waits until it has had its effect.
func (n hangupNode) hangUp(phase string) error {
	if n.phase != phase {
		return nil
	}
	err := syscall.Kill(os.Getpid(), syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	return err
}

func (n hangupNode) StartTimeout() time.Duration { return 10 * time.Second }
func (n hangupNode) StopTimeout() time.Duration  { return 10 * time.Second }
func (n hangupNode) Start(context.Context) error { return n.hangUp("start") }
func (n hangupNode) Stop(context.Context) error  { return n.hangUp("stop") }

// Guards against a node that a SIGHUP ends while it starts or stops: its cells are then not
// released, and others wait for their leases.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	if phase := os.Getenv(hangupPhase); phase != "" {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if err := runNode(ctx, hangupNode{phase}, &reloader{read: platform.ReadSettings, logger: logr.Discard()}); err != nil {
			t.Errorf("got error %v, want none", err)
		}
		return
	}
	for _, phase := range []string{"start", "stop"} {
		t.Run(phase, func(t *testing.T) {
			child := exec.Command(os.Args[0], "-test.run=^TestHangupDoesNotEndTheProcess$")
			child.Env = append(os.Environ(), hangupPhase+"="+phase)
			if output, err := child.CombinedOutput(); err != nil {
				t.Errorf("got error %v, want a process that ends by itself: %s", err, output)
			}
		})
	}
}

// Guards against judging hosts without being asked to, which costs the owners of large pools
// started tasks.
func TestHostsAreJudgedOnRequestOnly(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "../../../platform/_fixtures/settings.yaml")
	for _, want := range []bool{false, true} {
		command := manageCommand{JudgeHosts: want}
		settings, err := command.readSettings()
		if err != nil || settings.JudgeHosts != want {
			t.Errorf("got hosts judged: %t and error %v, want %t", settings.JudgeHosts, err, want)
		}
	}
}

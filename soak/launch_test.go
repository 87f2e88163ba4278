package soak

import (
	"os"
	"os/exec"
	"syscall"
)

// launch implements stub.Launch.
func launch(args, env []string, output *os.File) (*os.Process, error) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = env, output, output
	// A test that is ended from outside leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := cmd.Start()
	return cmd.Process, err
}

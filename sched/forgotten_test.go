package sched

import (
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// knows reports whether the node's cell keeps the state of a host.
func (n *node) knows(host string) bool {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	return n.cell.hosts[host] != nil
}

// TestReturnedHostRefusesLateStart guards against a start command that a host carries out
// only after it has crashed, was forgotten and is back under its ID: its task has been
// started again elsewhere.
func TestReturnedHostRefusesLateStart(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 20 * time.Second} }
		n := tc.claim("a")
		// The host's clock is then ahead of that of its next incarnation, so that the
		// lease in the command isn't over.
		time.Sleep(20 * time.Second)
		for _, runner := range tc.runners {
			runner.DelayCommands(1, 10*time.Second)
		}
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		host := n.hostOf("job", 0)
		for id, runner := range tc.runners {
			if id != host {
				runner.DelayCommands(0, 0)
			}
		}
		time.Sleep(100 * time.Millisecond)
		runner := tc.runners[host]
		runner.Crash()
		runner.SetUnresponsive(true)
		n.hosts.SetUnlisted(host, true)
		// Until then a later incarnation may hold a lease for the command.
		time.Sleep(9 * time.Second)
		if n.knows(host) {
			t.Fatal("got a host that is still known 9 s after its crash, want it forgotten")
		}
		runner.SetUnresponsive(false)
		runner.Restart()
		n.hosts.SetUnlisted(host, false)
		// With runs of its own the host is called before the late command arrives.
		if err := tc.submit(n, "other", simplePlan(10, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if got := tc.checker.Starts(); got != 11 {
			t.Errorf("got %d starts of 11 tasks, want 11: the late one must be refused", got)
		}
	})
}

// TestForgottenHostsExpire guards against a cell whose memory grows with each host that
// ever left its pool.
func TestForgottenHostsExpire(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(time.Second)
		for id := range tc.runners {
			n.hosts.SetUnlisted(id, true)
		}
		forgotten := func() int {
			n.cell.mu.Lock()
			defer n.cell.mu.Unlock()
			return len(n.cell.forgotten)
		}
		time.Sleep(forgottenRetention / 2)
		if got := forgotten(); got != 3 {
			t.Errorf("got %d forgotten hosts remembered within the retention time, want 3", got)
		}
		time.Sleep(forgottenRetention)
		if got := forgotten(); got != 0 {
			t.Errorf("got %d forgotten hosts remembered after the retention time, want 0", got)
		}
	})
}

// TestForgottenHostCantLoseCell guards against an owner that gives up its cell because a
// host refuses a command from before the owner forgot it: the higher token is the owner's
// own.
func TestForgottenHostCantLoseCell(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		n := tc.claim("a")
		time.Sleep(time.Second)
		n.cell.mu.Lock()
		defer n.cell.mu.Unlock()
		before := n.cell.hosts["h0"]
		token := n.cell.token(before)
		n.cell.forgetHost(before)
		after := n.cell.host("h0")
		if got := n.cell.token(after); got <= token {
			t.Errorf("got token %d for the returned host, want more than %d", got, token)
		}
		if n.cell.handleFenced(before, token) || n.cell.isLost() {
			t.Error("got a lost cell after the refusal of a command to the forgotten host, want it kept")
		}
		if !n.cell.handleFenced(after, n.cell.token(after)) {
			t.Error("got the cell kept after the refusal of its newest token, want it lost")
		}
	})
}

package sched

import (
	"testing"
	"time"
)

// The messages of the lines on an owner that reaches few of its hosts, and on one that reaches them
// again.
const (
	lowReachMessage = "fewer than half of the hosts answer"
	reachMessage    = "half of the hosts or more answer again"
)

// servingHosts returns the hosts of the first tasks of the job.
func (n *node) servingHosts(count int) []string {
	var hosts []string
	for index := range count {
		hosts = append(hosts, n.hostOf("job", index))
	}
	return hosts
}

// TestLowReachIsLogged guards against an owner of which nothing tells whether its own path is cut
// or its hosts are gone: in the one case their records go on being written.
func TestLowReachIsLogged(t *testing.T) {
	const outage = 6 * time.Second
	for _, test := range []struct {
		name string
		// cut takes a host away from the owner.
		cut func(tc *testCluster, n *node, host string)
		// writing is the most silent hosts that go on writing records.
		writing string
	}{
		{"the path is cut", func(_ *testCluster, n *node, host string) { n.hosts.SetPartitioned(host, true) }, "3"},
		{"the hosts are gone", func(tc *testCluster, _ *node, host string) { tc.runners[host].Crash() }, "0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 5, func(tc *testCluster) {
				log := tc.useServingTasks()
				n := tc.startServing(3)
				time.Sleep(3 * time.Second)
				for _, host := range n.servingHosts(3) {
					test.cut(tc, n, host)
				}
				time.Sleep(outage)
				lines := log.lines(lowReachMessage)
				if got, limit := len(lines), int(outage/reachLogInterval); got < 3 || got > limit {
					tc.t.Fatalf("got the lines %v in %v, want 3 to %d", lines, outage, limit)
				}
				wantValues(tc.t, lines[0], map[string]string{"listed": "5", "called": "3", "silent": "3", "servingRuns": "3", "for": "0s"})
				writing := "0"
				for _, line := range lines {
					writing = max(writing, line["writing"])
				}
				if writing != test.writing {
					tc.t.Errorf("got at most %s silent hosts that write records in %v, want %s", writing, lines, test.writing)
				}
			})
		})
	}
}

// TestReachAgainIsLogged guards against lines after hosts answer again, and against an end that
// isn't logged.
func TestReachAgainIsLogged(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(3)
		hosts := n.servingHosts(3)
		for _, host := range hosts {
			n.hosts.SetPartitioned(host, true)
		}
		awaitLines(tc.t, log, lowReachMessage, 2, 5*time.Second)
		for _, host := range hosts {
			n.hosts.SetPartitioned(host, false)
		}
		time.Sleep(3 * time.Second)
		before := len(log.lines(lowReachMessage))
		time.Sleep(5 * time.Second)
		if got := len(log.lines(lowReachMessage)); got != before {
			tc.t.Errorf("got %d lines after the hosts had answered again, want none", got-before)
		}
		again := log.lines(reachMessage)
		if len(again) != 1 {
			tc.t.Fatalf("got the lines %v, want 1", again)
		}
		wantValues(tc.t, again[0], map[string]string{"listed": "3", "called": "3", "silent": "0"})
		wantDuration(tc.t, again[0], "after", time.Second, 5*time.Second)
	})
}

// TestSingleSilentHostIsNoLowReach guards against lines while half of the hosts or more answer, as
// when a single one of them is lost.
func TestSingleSilentHostIsNoLowReach(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(2)
		n.hosts.SetPartitioned(n.hostOf("job", 0), true)
		time.Sleep(8 * time.Second)
		if got := log.lines(lowReachMessage); len(got) != 0 {
			tc.t.Errorf("got the lines %v, want none", got)
		}
	})
}

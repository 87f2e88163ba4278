package sched

import (
	"bytes"
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// logBuffer collects the log of several nodes.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(line)
}

// logPair matches a key with its value in a log line.
var logPair = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)

// lines returns the lines with a message, each as its values by key.
func (b *logBuffer) lines(message string) []map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]string
	for line := range strings.Lines(b.out.String()) {
		values := make(map[string]string)
		for _, pair := range logPair.FindAllStringSubmatch(line, -1) {
			values[pair[1]] = strings.Trim(pair[2], `"`)
		}
		if values["msg"] == message {
			found = append(found, values)
		}
	}
	return found
}

// gapMessage is the message of the line on a gap that has ended.
const gapMessage = "serving task has a run again"

// useServingTasks makes all tasks serve, and returns the log of all nodes.
func (tc *testCluster) useServingTasks() *logBuffer {
	tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	log := &logBuffer{}
	tc.logOutput = log
	return log
}

// startServing claims the cell and starts a job of serving tasks, at most one per host.
func (tc *testCluster) startServing(count int) *node {
	tc.t.Helper()
	n := tc.claim("a")
	time.Sleep(100 * time.Millisecond)
	if err := tc.submit(n, "job", servingPlan(count, 1000)); err != nil {
		tc.t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	return n
}

// wantGap checks the line on the only gap and returns the parts of the gap.
func wantGap(t *testing.T, log *logBuffer, want map[string]string) map[string]time.Duration {
	t.Helper()
	lines := log.lines(gapMessage)
	if len(lines) != 1 {
		t.Fatalf("got %d gaps %v, want 1", len(lines), lines)
	}
	for key, value := range want {
		if got := lines[0][key]; got != value {
			t.Errorf("got %s=%q, want %q in %v", key, got, value, lines[0])
		}
	}
	parts := make(map[string]time.Duration)
	for _, part := range []string{"found", "waited", "retried", "started"} {
		took, err := time.ParseDuration(lines[0][part])
		if err != nil {
			t.Errorf("got %s=%q, want a duration", part, lines[0][part])
		}
		parts[part] = took
	}
	return parts
}

// wantBetween checks that a part of a gap is within limits, and that the others are short.
func wantBetween(t *testing.T, parts map[string]time.Duration, part string, low, high time.Duration) {
	t.Helper()
	for name, got := range parts {
		switch {
		case name == part && (got < low || got > high):
			t.Errorf("got %s=%v, want %v to %v", name, got, low, high)
		case name != part && got > shortPart(name):
			t.Errorf("got %s=%v, want at most %v", name, got, shortPart(name))
		}
	}
}

// shortPart returns how long a part of a gap takes at most that nothing delays. The last report
// before the end may be older by the wait of a heartbeat.
func shortPart(name string) time.Duration {
	if name == "found" {
		return heartbeatWait + retireProbeTimeout + 100*time.Millisecond
	}
	return 300 * time.Millisecond
}

// TestGapOfSilentHost guards against a gap whose time until the lease has expired is put down
// to another part, and against histograms that don't get it.
func TestGapOfSilentHost(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		log := tc.useServingTasks()
		set := metrics.NewSet()
		tc.configure = func(o *Options) { o.Metrics = NewMetrics(set) }
		n := tc.startServing(1)
		silent := n.hostOf("job", 0)
		tc.runners[silent].SetUnresponsive(true)
		time.Sleep(8 * time.Second)
		parts := wantGap(tc.t, log, map[string]string{"run": "2", "lastHost": silent, "how": "lost", "why": string(lossLease), "since": "host", "attempts": "1"})
		wantBetween(tc.t, parts, "found", 4*time.Second, 6500*time.Millisecond)
		var out bytes.Buffer
		set.WritePrometheus(&out)
		for part := range parts {
			if want := `rattanpath_cell_serving_gap_seconds_count{part="` + part + `",since="host"} 1`; !strings.Contains(out.String(), want) {
				tc.t.Errorf("got no metric %s, want it", want)
			}
		}
	})
}

// TestGapOfTakeover guards against a gap that doesn't show how long a new owner waited for the
// leases of the one before.
func TestGapOfTakeover(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(1)
		silent := n.hostOf("job", 0)
		// The owner loses its store, and the host is gone when the next owner claims.
		tc.store.SetFailure("a", fake.Unresponsive)
		tc.runners[silent].SetUnresponsive(true)
		tc.claim("b")
		time.Sleep(12 * time.Second)
		parts := wantGap(tc.t, log, map[string]string{"lastHost": silent, "how": "lost", "why": string(lossInheritedLease), "since": "claim", "node": "b", "attempts": "1"})
		wait := MaxTakeoverWait(testLease)
		wantBetween(tc.t, parts, "found", wait, wait+300*time.Millisecond)
	})
}

// TestGapWithoutHost guards against a gap that doesn't show that no host was free.
func TestGapWithoutHost(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(1)
		other := tc.idleHost(n, 1)
		n.cordon(tc, other, 3*time.Second)
		lost := tc.lose(n, 0)
		time.Sleep(5 * time.Second)
		parts := wantGap(tc.t, log, map[string]string{"lastHost": lost, "host": other, "why": string(lossRetired), "attempts": "1"})
		wantBetween(tc.t, parts, "waited", 2700*time.Millisecond, 3200*time.Millisecond)
	})
}

// cordon keeps new runs off a host.
func (n *node) cordon(tc *testCluster, host string, period time.Duration) {
	tc.t.Helper()
	if _, err := n.cell.Cordon([]string{host}, period, false); err != nil {
		tc.t.Fatal(err)
	}
}

// lose crashes the host of a task and retires it, so that the task is to run elsewhere at once.
func (tc *testCluster) lose(n *node, index int) string {
	tc.t.Helper()
	host := n.hostOf("job", index)
	tc.runners[host].Crash()
	if err := n.cell.Retire([]RetiredHost{{ID: host}}); err != nil {
		tc.t.Fatal(err)
	}
	return host
}

// idleHost returns a host without any of the first tasks of the job.
func (tc *testCluster) idleHost(n *node, count int) string {
	tc.t.Helper()
	busy := make(map[string]bool)
	for index := range count {
		busy[n.hostOf("job", index)] = true
	}
	for id := range tc.runners {
		if !busy[id] {
			return id
		}
	}
	tc.t.Fatal("got no host without a task, want one")
	return ""
}

// TestGapOfLostStart guards against a gap that doesn't show that a start was lost.
func TestGapOfLostStart(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(1)
		// The first start and the first stop get no answer.
		tc.runners[tc.idleHost(n, 1)].DelayCommands(2, time.Minute)
		lost := tc.lose(n, 0)
		time.Sleep(5 * time.Second)
		parts := wantGap(tc.t, log, map[string]string{"lastHost": lost, "run": "3", "attempts": "2"})
		wantBetween(tc.t, parts, "retried", 500*time.Millisecond, time.Second)
	})
}

// TestGapIsInherited guards against gaps that end unseen since the owner changed meanwhile.
func TestGapIsInherited(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		log := tc.useServingTasks()
		a := tc.startServing(1)
		other := tc.idleHost(a, 1)
		a.cordon(tc, other, time.Minute)
		tc.lose(a, 0)
		time.Sleep(time.Second)
		a.stop()
		<-a.done
		tc.claim("b").cordon(tc, other, 2*time.Second)
		time.Sleep(4 * time.Second)
		parts := wantGap(tc.t, log, map[string]string{"node": "b", "host": other, "lastHost": "", "how": "unknown", "why": gapInherited, "since": "claim", "attempts": "1"})
		wantBetween(tc.t, parts, "waited", 2*time.Second, 2300*time.Millisecond)
	})
}

// TestGapsAreDropped guards against gaps that outlive their job, and against some for tasks
// that are not serving or have never run.
func TestGapsAreDropped(t *testing.T) {
	runCluster(t, 1, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(2)
		if err := tc.submit(n, "batch", simplePlan(1, 1000)); err != nil {
			tc.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		tc.lose(n, 0)
		time.Sleep(200 * time.Millisecond)
		if got := n.gaps(); got != 1 {
			tc.t.Errorf("got %d gaps, want that of the serving task that had a run", got)
		}
		if err := n.cell.Cancel(context.Background(), Caller{}, tasks.Key{Queue: testQueue, ID: "job"}); err != nil {
			tc.t.Fatal(err)
		}
		if got := n.gaps(); got != 0 {
			tc.t.Errorf("got %d gaps after the job was cancelled, want 0", got)
		}
		if got := log.lines(gapMessage); len(got) != 0 {
			tc.t.Errorf("got the lines %v, want none", got)
		}
	})
}

// gaps returns the number of gaps that the cell keeps.
func (n *node) gaps() int {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	count := 0
	for _, e := range n.cell.jobs {
		count += len(e.gaps)
	}
	return count
}

// TestHostWithRunsLeavesPool guards against lost hosts that can't be told from machines that
// are moved: each of these leaves the list as well, but without runs or after it was retired.
func TestHostWithRunsLeavesPool(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.startServing(2)
		lost, retired, idle := n.hostOf("job", 0), n.hostOf("job", 1), tc.idleHost(n, 2)
		if err := n.cell.Retire([]RetiredHost{{ID: retired}}); err != nil {
			tc.t.Fatal(err)
		}
		// The record of a machine that is moved goes after the retirement has ended.
		time.Sleep(retirementPeriod + time.Second)
		for _, host := range []string{idle, lost, retired} {
			n.hosts.SetUnlisted(host, true)
		}
		time.Sleep(time.Second)
		sinceRetired := make(map[string]time.Duration)
		for _, line := range log.lines("host with runs left the pool") {
			since, err := time.ParseDuration(line["sinceRetired"])
			if err != nil || line["runs"] != "1" || line["serving"] != "1" {
				tc.t.Errorf("got the line %v, want one on a serving run", line)
			}
			sinceRetired[line["host"]] = since
		}
		if len(sinceRetired) != 2 || sinceRetired[lost] != 0 || sinceRetired[retired] < retirementPeriod {
			tc.t.Errorf("got the times since retirement %v, want 0 of %s and at least %v of %s", sinceRetired, lost, retirementPeriod, retired)
		}
	})
}

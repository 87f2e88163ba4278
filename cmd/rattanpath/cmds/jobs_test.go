package cmds

import (
	"os"
	"testing"
	"time"

	"rattanpath/views"
)

// TestManagerOutput compares the text output of the commands jobs, hosts and
// node with a golden file; UPDATE_GOLDEN=1 rewrites it.
func TestManagerOutput(t *testing.T) {
	job := views.Job{ID: "5c0e7a21d94b36f8", Queue: "a.example/x/", Service: "index", Phase: "open", Age: 1500 * time.Millisecond, Waiting: 1, Running: 1, Done: 2}
	got := jobsTable([]views.Job{job}) + "\n" + jobText(views.JobDetail{
		Job: job, Confirmed: 40 * time.Millisecond, Why: "no host has room for a task",
		Tasks: []views.Task{
			{Step: 0, Index: 0, State: "done", Run: 1},
			{Step: 1, Index: 0, State: "running", Run: 2, Host: "i-1", Failed: 1, Percent: 40, Doubt: "the host does not answer"},
			{Step: 1, Index: 1, State: "waiting"},
		},
	}) + "\n" + hostsTable([]views.Pool{{Service: "index", Hosts: []views.Host{
		{ID: "i-1", CPU: 32000, UsedCPU: 1500, Runs: 2, Lasting: 1, State: "usable"},
		{ID: "i-2", CPU: 32000, State: "draining"},
	}, Interference: []views.Interference{
		{Serving: "index:4", Image: "scan:1", BestEffort: true, Verdict: "disturbs", Slowdown: 0.42, Confidence: 8.1, Age: 2500 * time.Millisecond},
	}}}) + "\n" + nodeText(views.Node{
		Node: "front-1", Version: 12, ConfigAge: 80 * time.Millisecond, HostsAge: -1, MembersAge: 200 * time.Millisecond, Depot: true,
		Cells: []views.Cell{{Service: "index", Epoch: 3, Confirmed: 20 * time.Millisecond, Open: 4, Kept: 90}},
		Clients: []views.ClientLimits{
			{Listener: "callers", Connections: 12, MaxConnections: 1733, Bytes: 70_000, MaxBytes: 28_400_000, Refusals: map[string]uint64{"size": 2, "bytes": 1}},
			{Listener: "admin", MaxConnections: 64, MaxBytes: 4_437_500},
		},
	})
	const path = "_fixtures/manager.golden"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

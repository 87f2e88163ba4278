package cmds

import (
	"os"
	"testing"
	"time"

	"rattanpath/views"
)

// TestStatusTable compares the status table with a golden file;
// UPDATE_GOLDEN=1 rewrites it.
func TestStatusTable(t *testing.T) {
	fresh := views.Source{Fresh: true, Age: 120 * time.Millisecond}
	failing := views.Source{Age: 65 * time.Minute, Reason: "the log is down"}
	never := views.Source{Age: -1, Reason: "refused"}
	got := statusTable([]nodeStatus{
		{Node: "node-0", Status: &views.Status{Node: "node-0", Ready: true, Revision: 12, Log: fresh, Roster: fresh, InFlight: 3, Peers: make([]views.Peer, 7)}},
		{Node: "node-1", Status: &views.Status{Node: "node-1", Ready: true, Revision: 12, Log: failing, Roster: fresh}},
		{Node: "node-2", Status: &views.Status{Node: "node-2", Log: never, Roster: never}},
		{Node: "node-3", Reason: "calling a node: connection refused"},
	})
	const path = "_fixtures/status.golden"
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

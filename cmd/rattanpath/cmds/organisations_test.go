package cmds

import (
	"os"
	"testing"
	"time"

	"rattanpath/views"
)

// TestOrganisationsOutput compares the text output of the command organisations with a golden
// file; UPDATE_GOLDEN=1 rewrites it.
func TestOrganisationsOutput(t *testing.T) {
	got := organisationsText([]views.CellOrganisations{
		{
			Service: "index", Node: "front-1", Epoch: 3, Version: 12, Confirmed: 40 * time.Millisecond,
			Leader: 7, AllottedAge: 300 * time.Millisecond, AllottedFor: 2200 * time.Millisecond,
			Organisations: []views.OrganisationUse{
				{Name: "", Weight: 1, Used: views.Resources{CPU: 500}, Share: 0.01, Entitled: -1},
				{
					Name: "acme", Weight: 2, Cap: views.Resources{CPU: 16000}, Base: views.Resources{CPU: 4000},
					Allotted: views.Resources{CPU: 9000}, Allowed: views.Resources{CPU: 9000}, Used: views.Resources{CPU: 8500, MemMB: 900},
					Waiting: views.Resources{CPU: 3000, MemMB: 300}, Share: 0.4, Entitled: 0.66, EntitledAge: 20 * time.Millisecond,
					CapHeld: 700 * time.Millisecond, Refused: map[string]int64{"share": 4},
				},
			},
		},
		{
			Service: "media", Node: "front-2", Epoch: 1, Version: 13, Confirmed: 10 * time.Millisecond, Pending: true,
			Organisations: []views.OrganisationUse{{
				Name: "acme", Weight: 3, Cap: views.Resources{CPU: 12000}, Base: views.Resources{CPU: 3000}, Entitled: -1, ShareHeld: time.Second,
			}},
		},
		{Service: "video", Problem: "no owner is known for the service"},
	})
	const path = "_fixtures/organisations.golden"
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

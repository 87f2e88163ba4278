package queue

import (
	"testing"

	"rattanpath/tasks"
)

// TestVersionsSince guards against a cap, or a service without a base, that counts as unchanged although
// it was changed in a version between or may have been in one that wasn't read.
func TestVersionsSince(t *testing.T) {
	configOf := func(version, limit int64, standby bool) *Config {
		organisations := []Organisation{{Name: "acme", Cap: tasks.Resources{CPU: limit}}}
		return NewConfig(version, nil, []Service{{Name: "one", Standby: standby}}, Limits{}).WithOrganisations(organisations, nil)
	}
	tests := []struct {
		version, limit int64
		standby        bool
		complete       bool
		wantCaps       int64
		wantActive     int64
	}{
		{2, 100, false, false, 2, 2}, {3, 100, false, true, 2, 2}, {5, 200, false, true, 2, 2}, {6, 199, false, true, 6, 2},
		{7, 199, true, true, 6, 7}, {8, 199, true, true, 6, 8}, {9, 0, false, true, 6, 9}, {10, 300, false, true, 10, 9},
		{12, 300, false, false, 12, 12}, {13, 300, false, true, 12, 12},
	}
	var previous *Config
	for _, test := range tests {
		config := configOf(test.version, test.limit, test.standby)
		config.Follow(previous, test.complete)
		if caps, active := config.CapsSince("acme"), config.ActiveSince("one"); caps != test.wantCaps || active != test.wantActive {
			t.Errorf("got the cap since %d and the service since %d of version %d, want %d and %d", caps, active, test.version, test.wantCaps, test.wantActive)
		}
		previous = config
	}
	if got := previous.CapsSince("beta"); got != 13 {
		t.Errorf("got %d for an organisation that isn't configured, want the newest version", got)
	}
}

package local_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"rattanpath/engine"
	"rattanpath/local"
	"rattanpath/platform"
)

// TestRunScenario runs all steps. It fails if a step fails or an invariant is
// violated.
func TestRunScenario(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds of real time")
	}
	cluster, err := local.New(t.Context(), local.Options{
		Nodes: 2, Hosts: 4, Platform: platform.New(engine.Settings{}),
		EncodeConfig: platform.EncodeConfig, EncodeHost: platform.EncodeHost, EncodeJob: platform.EncodeJob,
		Logger: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := cluster.RunScenario(t.Context(), &out); err != nil {
		t.Errorf("RunScenario: got error %v, want none; output:\n%s", err, out.String())
	}
	if err := cluster.Close(t.Context()); err != nil {
		t.Error(err)
	}
	if want := "no task had two active runs"; !strings.Contains(out.String(), want) {
		t.Errorf("got output\n%s\nwant it to contain %q", out.String(), want)
	}
}

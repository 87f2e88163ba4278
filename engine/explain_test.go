package engine_test

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rattanpath/cmd/rattanpath/cmds"
	"rattanpath/core"
	"rattanpath/query"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/views"
)

// TestExplainThroughNodes explains requests at the owner of a service and at another node, and
// compares the explanations with the responses to the requests themselves. It guards against
// explanations that store anything, and against keys in logs and admin pages.
func TestExplainThroughNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := newFleet(t)
	logs := &lockedBuffer{}
	f.logger = core.NewLogger(logs, "node")
	f.store.Put("op", "config", []byte(strings.Replace(testConfig, `"version":1,`, `"version":2,"tenants":[{"name":"one","apiKeys":["secret-1"]},{"name":"two","apiKeys":["secret-2"]}],`, 1)))
	first, a := f.start("a")
	second, _ := f.start("b")
	const path, newPath = "/x/0000000000000001", "/x/0000000000000002"
	waitForResponse(t, "POST", a, path, testBody, 401, "")
	deadline := time.Now().Add(waitTimeout)
	for {
		if status, _ := sendKey(t, "POST", a, path, "secret-1", testBody); status == 200 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("got no job accepted, want one")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// All tasks of the job end, so that nothing else is stored meanwhile.
	waitForKeyedResponse(t, a, path, "secret-1", `"completed"`)
	time.Sleep(300 * time.Millisecond)
	topics := []string{sched.Topic("s"), "status", "op"}
	records := func() string {
		var all strings.Builder
		for _, topic := range topics {
			all.WriteString(recordsOf(t, f.store.Client("test"), topic))
		}
		return all.String()
	}
	before, client := records(), query.New(waitTimeout)
	var shown strings.Builder
	tests := []struct {
		method, path, key, body string
		status                  int
		reason                  string
	}{
		{"POST", newPath, "secret-1", testBody, 200, "the job would be accepted"},
		{"POST", path, "secret-1", testBody, 200, "a job of that ID exists"},
		{"POST", path, "secret-2", testBody, 409, "another organisation"},
		{"GET", path, "secret-1", "", 200, "a job of that ID exists"},
		{"GET", newPath, "secret-1", "", 410, "no such job"},
		{"DELETE", path, "secret-2", "", 403, "another organisation"},
		{"POST", newPath, "secret-3", testBody, 401, "key unknown"},
		{"POST", newPath, "", testBody, 401, "key missing"},
		{"POST", newPath, "secret-1", "{", 400, "the body is no job"},
		{"POST", newPath, "secret-1", `{"spec":"x","steps":[]}`, 400, "the job has no steps"},
		{"POST", newPath, "secret-1", strings.Repeat(" ", 300<<10), 413, "larger than"},
		{"POST", "/x/000000000000000g", "secret-1", testBody, 404, "16 hexadecimal digits"},
		{"POST", "/y/0000000000000002", "secret-1", testBody, 404, "no queue has this host and path"},
	}
	for name, address := range f.adminAddresses {
		for _, test := range tests {
			request := views.ExplainRequest{Host: "a.example", Method: test.method, Path: test.path, Body: []byte(test.body)}
			if test.key != "" {
				hash := queue.HashKey(test.key)
				request.KeyHash = hash[:]
			}
			got, err := client.ExplainRequest(t.Context(), address, request)
			if err != nil || got.Node != name || got.Status != test.status || !strings.Contains(got.Reason, test.reason) {
				t.Errorf("got %+v and error %v at %s for %s %s with key %q, want status %d: %s", got, err, name, test.method, test.path, test.key, test.status, test.reason)
			}
			if test.status == 200 && test.path == newPath && (got.Placement == nil || got.Placement.Start != "now" || len(got.Placement.Steps) != 1 || len(got.Placement.Steps[0].Hosts) != 2) {
				t.Errorf("got placement %+v at %s, want a start now and two hosts", got.Placement, name)
			}
			_, _ = fmt.Fprintf(&shown, "%+v %+v", got, got.Placement)
		}
	}
	body := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(body, []byte(testBody), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RATTANPATH_KEY", "secret-1")
	var out, errOut strings.Builder
	args := []string{"explain", "--node", f.adminAddresses["b"], "--host", "a.example", "--path", newPath, body}
	if code := cmds.Run(args, &out, &errOut); code != 0 || !strings.Contains(out.String(), "response      200: the job would be accepted") || !strings.Contains(out.String(), "idle CPU") {
		t.Errorf("got exit code %d, output\n%s\nand error %q of the command, want the hosts for the job", code, out.String(), errOut.String())
	}
	shown.WriteString(out.String() + errOut.String())
	if got := records(); got != before {
		t.Errorf("got records\n%s\nafter the explanations, want\n%s", got, before)
	}
	for _, body := range []string{"", "[]", `{"KeyHash":"c2VjcmV0LTE="}`, strings.Repeat("x", 2<<20), `{"Body":"` + strings.Repeat("x", 2<<20) + `"}`} {
		status, text := send(t, "POST", f.adminAddresses["a"], views.ExplainPath, body)
		if status != http.StatusBadRequest {
			t.Errorf("got status %d and %q for a body of %d bytes, want 400", status, text, len(body))
		}
		shown.WriteString(text)
	}
	shown.WriteString(logs.String())
	hash := queue.HashKey("secret-1")
	if text := shown.String(); strings.Contains(text, "secret-") || strings.Contains(text, hex.EncodeToString(hash[:])) {
		t.Error("got a key or its hash in logs or explanations, want none")
	}
	if err := first.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if err := second.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}

// waitForKeyedResponse waits until the response to a query with a key contains a text.
func waitForKeyedResponse(t *testing.T, address, path, key, want string) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		status, body := sendKey(t, "GET", address, path, key, "")
		if strings.Contains(body, want) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got status %d and %q, want %s", status, body, want)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

package engine_test

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/fx"

	"rattanpath/query"
)

// TestNodeStartedAfterQueueMoved submits a job, assigns its queue to another service and
// starts a further node. It guards against that node accepting the job once more, and against
// a count of waiting jobs that leaves it out.
func TestNodeStartedAfterQueueMoved(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := newFleet(t)
	before := strings.Replace(testConfig, `"services":[`, `"services":[{"name":"t"},`, 1)
	f.store.Put("op", "config", []byte(before))
	first, a := f.start("a")
	tooLarge := strings.Replace(testBody, `"cpu":1000`, `"cpu":99000`, 1)
	const path = "/x/0000000000000001"
	waitForResponse(t, "POST", a, path, tooLarge, 200, "")
	after := strings.NewReplacer(`"version":1`, `"version":2`, `"service":"s"`, `"service":"t"`).Replace(before)
	f.store.Put("op", "config", []byte(after))
	second, b := f.start("b")
	for _, address := range []string{b, a} {
		waitForResponse(t, "POST", address, path, tooLarge, 200, "")
		waitForResponse(t, "GET", address, "/x/", "", 200, `"pending":1`)
		waitForResponse(t, "GET", address, path, "", 200, "queued")
	}
	client := query.New(5 * time.Second)
	for service, want := range map[string]int{"s": 1, "t": 0} {
		jobs, err := client.Jobs(t.Context(), f.adminAddresses["b"], service)
		if err != nil || len(jobs) != want {
			t.Errorf("got jobs %+v and error %v of service %s, want %d", jobs, err, service, want)
		}
	}
	waitForResponse(t, "POST", b, "/x/0000000000000002", tooLarge, 200, "")
	waitForResponse(t, "GET", a, "/x/", "", 200, `"pending":2`)
	for _, app := range []*fx.App{first, second} {
		if err := app.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

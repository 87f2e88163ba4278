package engine_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/sched"
	"rattanpath/views"
)

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// sendKey sends a request with a key and returns the status code and the body.
func sendKey(t *testing.T, method, address, path, key, body string) (int, string) {
	t.Helper()
	return sendWith(t, method, address, path, body, http.Header{"X-Key": {key}})
}

// waitForKeyRefusal waits until a node refuses a key.
func waitForKeyRefusal(t *testing.T, address, path, key string) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		got, body := sendKey(t, "GET", address, path, key, "")
		if got == http.StatusUnauthorized {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got status %d and body %q for a withdrawn key, want 401", got, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// recordsOf returns the newest records of a topic as one text.
func recordsOf(t *testing.T, client *fake.StoreClient, topic string) string {
	t.Helper()
	snapshot, err := client.Newest(t.Context(), topic)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, record := range snapshot.Records {
		text.WriteString(record.Key + " " + string(record.Value) + "\n")
	}
	return text.String()
}

// TestKeysAreNotShownByNodes submits, queries and cancels jobs with keys, at the owner and at
// another node. It guards against keys in log lines, admin pages, metrics and records, and
// checks that a withdrawn key is refused by both nodes.
func TestKeysAreNotShownByNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of real time")
	}
	f := newFleet(t)
	logs := &lockedBuffer{}
	f.logger = core.NewLogger(logs, "node")
	withTenants := func(version int, tenants string) []byte {
		return []byte(strings.Replace(testConfig, `"version":1,`, fmt.Sprintf(`"version":%d,"tenants":%s,`, version, tenants), 1))
	}
	f.store.Put("op", "config", withTenants(2, `[{"name":"one","apiKeys":["secret-1"]},{"name":"two","apiKeys":["secret-2",7]},{"name":"odd","apiKeys":"secret-3","weight":"secret-4"}]`))
	first, a := f.start("a")
	second, b := f.start("b")
	const path = "/x/0000000000000001"
	waitForResponse(t, "POST", a, path, testBody, 401, "")
	var shown strings.Builder
	for i, address := range []string{a, b} {
		path := fmt.Sprintf("/x/%016x", i+1)
		tests := []struct {
			method, key string
			want        int
		}{
			{"POST", "secret-1", 200}, {"POST", "secret-1", 200}, {"POST", "secret-2", 409}, {"POST", "secret-3", 401}, {"POST", "", 401},
			{"GET", "secret-1", 200}, {"GET", "secret-2", 403}, {"DELETE", "secret-2", 403}, {"DELETE", "secret-1", 200}, {"GET", "secret-5", 401},
		}
		for _, test := range tests {
			got, body := sendKey(t, test.method, address, path, test.key, testBody)
			if got != test.want {
				t.Errorf("got status %d and body %q for %s with key %q, want %d", got, body, test.method, test.key, test.want)
			}
			shown.WriteString(body)
		}
	}
	f.store.Put("op", "config", withTenants(3, `[]`))
	for _, address := range []string{a, b} {
		waitForKeyRefusal(t, address, path, "secret-1")
	}
	for _, address := range f.adminAddresses {
		for _, path := range []string{views.MetricsPath, views.NodePath, views.JobsPath, views.JobPath + "0000000000000001", views.PoolsPath} {
			status, body := send(t, "GET", address, path, "")
			if status != 200 {
				t.Errorf("got status %d and body %q for %s, want 200", status, body, path)
			}
			shown.WriteString(body)
		}
	}
	for _, topic := range []string{sched.Topic("s"), "status", "cells"} {
		shown.WriteString(recordsOf(t, f.store.Client("test"), topic))
	}
	shown.WriteString(logs.String())
	if !strings.Contains(shown.String(), `"Organisation":"one"`) || strings.Contains(shown.String(), "secret-") {
		t.Errorf("got %d bytes shown and stored, want the organisation of jobs in them and no key", shown.Len())
	}
	for _, app := range []*fx.App{first, second} {
		if err := app.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/fake"
	"rattanpath/pool"
)

// Guards against a host that counts as listed for ever though its record has expired, because the node is
// short of processor time and reads the records less than once a second.
func TestSlowReaderRemovesHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		s.Put("hosts", "h", []byte("x"))
		start := time.Now()
		decode := func(id string, _ []byte) (*pool.Host, error) { return &pool.Host{ID: id}, nil }
		w := pool.NewWatcher(s.Client("a"), "hosts", decode, nil, func() time.Duration { return time.Since(start) }, logr.Discard())
		refresh := func() {
			if err := w.Refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		refresh()
		s.Put("hosts", "h", nil)
		for range 20 {
			time.Sleep(1200 * time.Millisecond)
			refresh()
		}
		if got := w.View().Hosts["h"]; got != nil {
			t.Error("got a host 24s after its record expired, want none")
		}
	})
}

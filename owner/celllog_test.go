package owner

import (
	"bytes"
	"context"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/store"
)

// The messages of the lines on the cells of a node and on services without one.
const (
	cellsMessage    = "cells of the node changed"
	unservedMessage = "assigned service has no running cell"
)

// lineBuffer holds log lines and is safe for concurrent use.
type lineBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(line)
}

// values returns the value of a key in each line with a message, in order.
func (b *lineBuffer) values(message, key string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	pattern := regexp.MustCompile(`msg="` + message + `".* ` + key + `=("[^"]*"|\S+)`)
	var values []string
	for _, match := range pattern.FindAllStringSubmatch(b.out.String(), -1) {
		values = append(values, strings.Trim(match[1], `"`))
	}
	return values
}

// wantLines checks the values of a key in the lines with a message.
func wantLines(t *testing.T, log *lineBuffer, message, key string, want ...string) {
	t.Helper()
	if got := log.values(message, key); !slices.Equal(got, want) {
		t.Errorf("got %s=%q in the lines %q, want %q", key, got, message, want)
	}
}

// stuckJournal makes writes take no notice of the end of their context while stuck is set.
type stuckJournal struct {
	claim.Journal
	stuck *atomic.Bool
}

func (j *stuckJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	for j.stuck.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return j.Journal.Append(ctx, write)
}

// startLoggedNode starts a node and returns its log.
func startLoggedNode(ctx context.Context, group Group, journal claim.Journal, config ConfigSource) (*testNode, *lineBuffer) {
	log, start := &lineBuffer{}, time.Now()
	logger := core.NewLogger(log, "a")
	member := NewMember(group, "a", "a:1", time.Second, false, logger)
	supervisor := NewSupervisor(member, config, fixedConfig{}, 32, sched.Options{
		Node:         "a",
		Journal:      journal,
		HostClient:   fake.NewHostClient(nil, nil),
		Clock:        func() time.Duration { return time.Since(start) + time.Second },
		MaxLease:     6 * time.Second,
		JobRetention: time.Minute,
		BatchBytes:   1 << 20,
		Link:         sched.NewLink(0),
		Logger:       logger,
		Metrics:      sched.NewMetrics(metrics.NewSet()),
	}, logger)
	go member.Run(ctx)
	go supervisor.Run(ctx)
	return &testNode{member: member, supervisor: supervisor}, log
}

// noConfig is a source without a configuration.
type noConfig struct{}

func (noConfig) Config() *queue.Config    { return nil }
func (noConfig) Changed() <-chan struct{} { return nil }

// TestCellsAreLogged guards against a log that doesn't tell which cells a node ran at a time, and
// against lines on services whose cells are claimed at once.
func TestCellsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		node, log := startLoggedNode(ctx, s.Client("a"), s.Client("a"), fixedConfig{})
		for node.supervisor.Cell(testService) == nil {
			time.Sleep(time.Millisecond)
		}
		wantLines(t, log, cellsMessage, "services", testService)
		time.Sleep(5 * time.Second)
		b := startNode(ctx, s, s.Client("b"), "b", 0)
		time.Sleep(2 * time.Second)
		b.member.Leave(ctx)
		node.member.Leave(ctx)
		time.Sleep(2 * time.Second)
		counts := log.values(cellsMessage, "count")
		if len(counts) < 2 || counts[len(counts)-1] != "0" {
			t.Errorf("got the counts %v of cells, want the last one to be 0", counts)
		}
		for i := 1; i < len(counts); i++ {
			if counts[i] == counts[i-1] {
				t.Errorf("got the counts %v of cells, want a line at each change only", counts)
			}
		}
		wantLines(t, log, unservedMessage, "why")
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestLostCellIsLogged guards against a node of which nothing tells that it no longer runs a cell
// which another node has claimed.
func TestLostCellIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		group := &unreachableGroup{Group: s.Client("a"), failsFrom: time.Now().Add(4 * renewInterval)}
		_, log := startLoggedNode(ctx, group, s.Client("a"), fixedConfig{})
		time.Sleep(4 * renewInterval)
		startNode(ctx, s, s.Client("b"), "b", 0)
		time.Sleep(10 * time.Second)
		wantLines(t, log, cellsMessage, "count", "1", "0")
		wantLines(t, log, unservedMessage, "why", unservedExpired)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestUnservedServiceIsLogged guards against a node that is to run a cell and doesn't, of which
// nothing tells why.
func TestUnservedServiceIsLogged(t *testing.T) {
	const readTime = 6 * time.Second
	for _, test := range []struct {
		name   string
		config ConfigSource
		// renewals is how long the membership can be renewed.
		renewals time.Duration
		service  string
		why      []string
		cells    []string
	}{
		{"slow claim", fixedConfig{}, time.Hour, testService, []string{unservedClaiming}, []string{"1"}},
		{"membership lost while claiming", fixedConfig{}, 3 * time.Second, testService, []string{unservedClaiming, unservedExpired}, nil},
		{"no configuration", noConfig{}, time.Hour, allServices, []string{unservedUnconfigured}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := fake.NewStore()
				group := &unreachableGroup{Group: s.Client("a"), failsFrom: time.Now().Add(test.renewals)}
				_, log := startLoggedNode(ctx, group, &slowJournal{s.Client("a"), readTime}, test.config)
				time.Sleep(2 * readTime)
				wantLines(t, log, unservedMessage, "why", test.why...)
				wantLines(t, log, cellsMessage, "count", test.cells...)
				if got := log.values(unservedMessage, "service"); len(got) > 0 && got[0] != test.service {
					t.Errorf("got service=%q, want %q", got[0], test.service)
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestSlowStopIsLogged guards against a node that keeps a partition while it stops, of which
// nothing tells that its cell no longer runs.
func TestSlowStopIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fake.NewStore()
		var stuck atomic.Bool
		_, log := startLoggedNode(ctx, s.Client("a"), &stuckJournal{s.Client("a"), &stuck}, fixedConfig{})
		time.Sleep(3 * time.Second)
		stuck.Store(true)
		time.Sleep(time.Second)
		cancel()
		time.Sleep(3 * time.Second)
		wantLines(t, log, unservedMessage, "why", unservedStopping)
		wantLines(t, log, cellsMessage, "count", "1", "0")
		stuck.Store(false)
		time.Sleep(10 * time.Second)
	})
}

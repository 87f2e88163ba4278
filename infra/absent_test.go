package infra

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/sched"
)

// absentScene is a leader whose pool reports hosts, and that reads lists of the machines.
type absentScene struct {
	term *term
	now  time.Duration
	runs int
}

func newAbsentScene() *absentScene {
	s := &absentScene{runs: 1}
	s.term = &term{
		Controller: &Controller{options: Options{Clock: func() time.Duration { return s.now }, MaxLease: testHostLease}, logger: logr.Discard()},
		pools:      make(map[string]*poolState), departed: make(map[string][]*departedHost),
		absent: absentHosts{since: make(map[sched.RetiredHost]time.Duration)},
	}
	return s
}

// list reads a list that has the host or lacks it, after a report of the pool's owner.
func (s *absentScene) list(has bool) {
	s.term.recordReport("east", sched.Report{Epoch: 1, Hosts: []sched.HostReport{{ID: "h", Incarnation: testIncarnation, Runs: s.runs}}})
	s.now += listInterval
	m := Machine{Name: "m", Pool: "east", State: Down}
	if has {
		m.State, m.Host = Up, "h"
	}
	s.term.machines, s.term.listedAt = []Machine{m}, s.now
	s.term.findAbsent()
}

// TestAbsenceIsOfTwoListsInARow guards against a host that counts as gone by two lists that lack it,
// between which another one had it.
func TestAbsenceIsOfTwoListsInARow(t *testing.T) {
	for _, test := range []struct {
		name    string
		between func(*absentScene)
		want    int
	}{
		{"listed between, with runs", func(s *absentScene) { s.list(true) }, 0},
		{"listed between, reported without runs", func(s *absentScene) {
			s.runs = 0
			s.list(true)
			s.runs = 1
		}, 0},
		{"not listed between", func(*absentScene) {}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newAbsentScene()
			s.list(true)
			s.list(false)
			test.between(s)
			s.list(false)
			if got := len(s.term.departed["east"]); got != test.want {
				t.Errorf("got %d hosts that count as gone, want %d", got, test.want)
			}
		})
	}
}

// TestListedHostIsNoLongerGone guards against a host that a new owner is told is gone although the
// lists have it again.
func TestListedHostIsNoLongerGone(t *testing.T) {
	s := newAbsentScene()
	s.list(true)
	s.list(false)
	s.list(false)
	if got := len(s.term.departed["east"]); got != 1 {
		t.Fatalf("got %d hosts that count as gone, want 1", got)
	}
	s.list(true)
	if got := len(s.term.departed["east"]); got != 0 {
		t.Errorf("got %d hosts that count as gone once listed again, want none", got)
	}
}

package guard

import (
	"testing"
)

// TestAdmit checks that a new connection takes the place of the one whose client has kept
// the process waiting longest, an unknown one first, and of none that is being served.
func TestAdmit(t *testing.T) {
	gate := newTestGate(DefaultLimits(0, 0), 3)
	var conns []*Conn
	for range 3 {
		conns = append(conns, gate.Admit(&scriptedConn{}))
	}
	conns[0].account.waitingSince.Store(1)
	conns[1].account.stopWaiting()
	conns[2].account.waitingSince.Store(2)
	conns[2].account.SetKnown(false)
	isOpen := func(c *Conn) bool { return gate.conns[c] }
	conns = append(conns, gate.Admit(&scriptedConn{}))
	if isOpen(conns[2]) || !isOpen(conns[0]) || !isOpen(conns[3]) {
		t.Error("got another connection closed than that of the unknown client")
	}
	conns = append(conns, gate.Admit(&scriptedConn{}))
	if isOpen(conns[0]) || !isOpen(conns[1]) {
		t.Error("got another connection closed than the one that is awaited longest")
	}
	for _, c := range conns[3:] {
		c.account.stopWaiting()
	}
	if got := gate.Admit(&scriptedConn{}); got != nil {
		t.Error("got a connection admitted while all others are served, want none")
	}
	if got, want := gate.count(Connections), uint64(3); got != want {
		t.Errorf("got %d refusals counted, want %d", got, want)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	if len(gate.conns) != 0 || len(gate.budget.accounts) != 0 {
		t.Errorf("got %d connections and %d accounts after all were closed, want none", len(gate.conns), len(gate.budget.accounts))
	}
}

package guard

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Reason is why a client was refused or disconnected.
type Reason int

// The reasons. They are label values of metrics.
const (
	// Connections means that a connection was closed because there were too many.
	Connections Reason = iota
	// Bytes means that too many bytes were held for all clients of the listener.
	Bytes
	// Share means that too many were held for one connection.
	Share
	// Fields means that a header or a query had too many fields.
	Fields
	// Size means that a body or a message was too large.
	Size
	// Progress means that a body or a message came too slowly.
	Progress
	// Unread means that a response wasn't read in time.
	Unread
	// Unwanted means that a body was not read because the request was answered without it.
	Unwanted
	reasonCount
)

// reasonNames are the names of reasons in metrics, logs and views.
var reasonNames = [reasonCount]string{"connections", "bytes", "share", "fields", "size", "progress", "unread", "unwanted"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// logInterval is the time between two log lines about refusals of a listener.
const logInterval = time.Second

// Gate is the limits of one listener, with its open connections.
type Gate struct {
	name   string
	limits Limits
	// maxConns is how many connections may be open.
	maxConns int
	budget   *Budget
	logger   logr.Logger

	// refusals counts refused and disconnected clients by reason.
	refusals [reasonCount]*metrics.Counter

	mu    sync.Mutex
	conns map[*Conn]bool
	// logged holds the counts of refusals in the last log line, which was written at loggedAt.
	logged   [reasonCount]uint64
	loggedAt time.Time
	// peakConns is the largest number of connections so far.
	peakConns int
}

// NewGate returns the gate of a listener, which admits a number of connections at a time.
func NewGate(name string, limits Limits, connections int, budget *Budget, set *metrics.Set, logger logr.Logger) *Gate {
	g := &Gate{name: name, limits: limits, maxConns: connections, budget: budget, logger: logger.WithName("guard"), conns: make(map[*Conn]bool)}
	for reason := range reasonCount {
		g.refusals[reason] = set.NewCounter(`rattanpath_guard_refusals_total{listener="` + name + `",reason="` + reason.String() + `"}`)
	}
	set.NewGauge(`rattanpath_guard_connections{listener="`+name+`"}`, func() float64 { return float64(g.Status().Connections) })
	set.NewGauge(`rattanpath_guard_bytes{listener="`+name+`"}`, func() float64 { return float64(g.Status().Bytes) })
	return g
}

func (g *Gate) count(reason Reason) uint64 { return g.refusals[reason].Get() }

// Status is the state of a gate.
type Status struct {
	Listener string
	// Connections are open, and Bytes held, at most MaxConnections and MaxBytes. The
	// peaks are the largest numbers so far.
	Connections, MaxConnections, PeakConnections int
	Bytes, MaxBytes, PeakBytes                   int64
	// Refusals counts the refused or disconnected clients by reason.
	Refusals map[string]uint64
}

// Status returns the state of the gate. Refusals holds the reasons that have occurred.
func (g *Gate) Status() Status {
	used, peak, limit := g.budget.Used()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{
		Listener: g.name, Connections: len(g.conns), MaxConnections: g.maxConns, Bytes: used, MaxBytes: limit,
		PeakConnections: g.peakConns, PeakBytes: peak, Refusals: make(map[string]uint64),
	}
	for reason := range reasonCount {
		if count := g.count(reason); count > 0 {
			s.Refusals[reason.String()] = count
		}
	}
	return s
}

// record counts a refusal, and logs the counts if the last line is old enough.
func (g *Gate) record(reason Reason) {
	g.refusals[reason].Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.loggedAt) < logInterval {
		return
	}
	g.loggedAt = time.Now()
	g.logger.Info("clients refused", "listener", g.name, "connections", len(g.conns), "reasons", g.newRefusals())
}

// newRefusals returns the counts since the last call, such as "bytes=3 size=1". The gate's
// mutex must be held.
func (g *Gate) newRefusals() string {
	var parts []string
	for reason := range reasonCount {
		count := g.count(reason)
		if more := count - g.logged[reason]; more > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", reason, more))
		}
		g.logged[reason] = count
	}
	return strings.Join(parts, " ")
}

// Listen returns a listener whose connections pass the gate.
func (g *Gate) Listen(listener net.Listener) net.Listener {
	return &gatedListener{Listener: listener, gate: g}
}

type gatedListener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection that the gate admits.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.gate.Admit(conn); admitted != nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(l.gate.limits.SocketBytes)
				_ = tcp.SetWriteBuffer(l.gate.limits.SocketBytes)
			}
			return admitted, nil
		}
		_ = conn.Close()
	}
}

// Admit returns the connection under the limits of the gate. If there are too many, it closes
// the one whose client has kept the process waiting longest, or returns nil if the process
// waits for none.
func (g *Gate) Admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, gate: g}
	c.account = g.budget.Open(c.evict)
	c.account.restartWaiting()
	c.inHeader.Store(true)
	admitted, victim := g.add(c)
	if !admitted || victim != nil {
		g.record(Connections)
	}
	if victim != nil {
		_ = victim.Close()
	}
	if !admitted {
		c.account.Close()
		return nil
	}
	return c
}

// add adds a connection if there is room, or else in place of the victim that it returns.
func (g *Gate) add(c *Conn) (admitted bool, victim *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.maxConns {
		if victim = g.longestWaiting(); victim == nil {
			return false, nil
		}
		delete(g.conns, victim)
	}
	g.conns[c] = true
	g.peakConns = max(g.peakConns, len(g.conns))
	return true, victim
}

// longestWaiting returns the connection whose client has kept the process waiting longest,
// one of an unknown client if there is any, or nil if it waits for none. The gate's mutex
// must be held.
func (g *Gate) longestWaiting() *Conn {
	var longest *Conn
	var since int64
	var unknown bool
	for c := range g.conns {
		at, isUnknown := c.account.waitingSince.Load(), c.account.unknown.Load()
		switch {
		case at == 0 || longest != nil && unknown && !isUnknown:
		case longest == nil || isUnknown && !unknown || at < since:
			longest, since, unknown = c, at, isUnknown
		}
	}
	return longest
}

// checkTimes makes the reads and writes of all connections fail whose time has passed.
func (g *Gate) checkTimes() {
	now := clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.checkTimes(now)
	}
}

// remove forgets a connection that was closed.
func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

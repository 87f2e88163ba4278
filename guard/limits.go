package guard

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// connectionMemory is what an idle connection takes: its stacks, buffers and state.
	connectionMemory = 20 << 10
	// fieldMemory is what one field of a header takes in its decoded form.
	fieldMemory = 200
	// assumedMemory and assumedDescriptors are used if a settings file doesn't name the
	// limits of the machine: those of the smallest one.
	assumedMemory      = 184_000_000
	assumedDescriptors = 4100
	// connectionBytes is enough for a legal job of the largest size, encoded and decoded, and
	// messageBytes for it as a message to another node. minServiceBytes is enough for
	// some headers.
	connectionBytes = 6 << 20
	messageBytes    = 1 << 20
	minServiceBytes = 256 << 10
)

// Shares of the machine's memory that clients may take. A garbage collection may come
// as late as when the heap has doubled, so that what is held counts twice.
const (
	callerShare     = 1.0 / 10
	peerShare       = 1.0 / 16
	serviceShare    = 1.0 / 64
	connectionShare = 1.0 / 8
)

// Limits are the limits on the clients of a process.
type Limits struct {
	// CallerConnections, PeerConnections and ServiceConnections limit the open
	// connections of callers, of other nodes, and of each other listener: readiness and
	// admin.
	CallerConnections  int
	PeerConnections    int
	ServiceConnections int
	// CallerBytes, PeerBytes and ServiceBytes are the budgets of bytes that they may make
	// the process hold.
	CallerBytes  int64
	PeerBytes    int64
	ServiceBytes int64
	// ConnectionBytes limits what one connection may hold.
	ConnectionBytes int64
	// SocketBytes is the size of the kernel's buffers of a connection over HTTP, one for
	// each direction, which would otherwise grow to some megabytes.
	SocketBytes int
	// UnknownShare is the share of a budget that callers without a valid key may hold.
	UnknownShare float64
	// HeaderBytes and HeaderFields limit the header of a request, and HeaderTimeout the
	// time for it. The names in a query count as fields.
	HeaderBytes   int
	HeaderFields  int
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// BodyTimeout limits the time for a body if the caller states no deadline.
	BodyTimeout time.Duration
	// ProgressBytes must arrive, or the rest of a body, within each ProgressPeriod.
	ProgressBytes  int
	ProgressPeriod time.Duration
	// WriteTimeout limits the time for which one write of a response, 4 KB or more, waits
	// for the client.
	WriteTimeout time.Duration
	// MessageBytes limits one message of another node, and MessageTimeout the time for it.
	MessageBytes   int
	MessageTimeout time.Duration
}

// DefaultLimits returns the limits for a machine with an amount of memory in bytes and a number
// of descriptors. Either is 0 if unknown.
func DefaultLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = assumedMemory
	}
	if descriptors <= 0 {
		descriptors = assumedDescriptors
	}
	share := func(part float64) int64 { return int64(part * float64(memory)) }
	return Limits{
		CallerConnections:  max(1, min(descriptors/2, int(share(connectionShare)/connectionMemory))),
		PeerConnections:    max(1, min(descriptors/8, 256)),
		ServiceConnections: max(8, min(descriptors/32, 64)),
		CallerBytes:        max(connectionBytes, share(callerShare)),
		PeerBytes:          max(2*messageBytes, share(peerShare)),
		ServiceBytes:       max(minServiceBytes, share(serviceShare)),
		ConnectionBytes:    connectionBytes,
		SocketBytes:        64 << 10,
		UnknownShare:       0.5,
		HeaderBytes:        16 << 10,
		HeaderFields:       256,
		HeaderTimeout:      3 * time.Second,
		IdleTimeout:        60 * time.Second,
		BodyTimeout:        60 * time.Second,
		ProgressBytes:      64,
		ProgressPeriod:     15 * time.Second,
		WriteTimeout:       15 * time.Second,
		MessageBytes:       messageBytes,
		MessageTimeout:     5 * time.Second,
	}
}

// What the platform's configuration allows a client. Limits of the process must not be smaller.
const (
	legalHeaderBytes   = 16_384
	legalHeaderFields  = 64
	legalHeaderTimeout = 3 * time.Second
	legalIdleTimeout   = 15 * time.Second
	legalBodyBytes     = 262_144
	// legalJobBytes is what a job of that size takes, encoded and decoded.
	legalJobBytes = 5 << 20
)

// Check returns an error that names every limit that is out of range or that a legal
// client would meet.
func (l *Limits) Check() error {
	var problems []string
	atLeast := func(name string, got, least int64) {
		if got < least {
			problems = append(problems, fmt.Sprintf("%s is %d, must be at least %d", name, got, least))
		}
	}
	atLeast("the number of callers' connections", int64(l.CallerConnections), 1)
	atLeast("the number of peers' connections", int64(l.PeerConnections), 1)
	atLeast("the number of readiness and admin connections", int64(l.ServiceConnections), 1)
	atLeast("the bytes of one connection", l.ConnectionBytes, legalJobBytes)
	atLeast("the bytes held for callers", l.CallerBytes, l.ConnectionBytes)
	atLeast("the bytes held for peers", l.PeerBytes, int64(l.MessageBytes))
	atLeast("the bytes held for readiness and admin", l.ServiceBytes, legalHeaderBytes+legalHeaderFields*fieldMemory)
	atLeast("the bytes of a socket's buffer", int64(l.SocketBytes), 4096)
	atLeast("the bytes of a header", int64(l.HeaderBytes), legalHeaderBytes)
	atLeast("the fields of a header", int64(l.HeaderFields), legalHeaderFields)
	atLeast("the bytes of progress", int64(l.ProgressBytes), 1)
	atLeast("the bytes of a peer's message", int64(l.MessageBytes), 2*legalBodyBytes)
	timeAtLeast := func(name string, got, least time.Duration) {
		if got < least {
			problems = append(problems, fmt.Sprintf("%s is %s, must be at least %s", name, got, least))
		}
	}
	timeAtLeast("the header timeout", l.HeaderTimeout, legalHeaderTimeout)
	timeAtLeast("the idle timeout", l.IdleTimeout, legalIdleTimeout)
	timeAtLeast("the body timeout", l.BodyTimeout, legalIdleTimeout)
	timeAtLeast("the period of progress", l.ProgressPeriod, time.Second)
	timeAtLeast("the write timeout", l.WriteTimeout, time.Second)
	timeAtLeast("the message timeout", l.MessageTimeout, time.Second)
	// Written so that NaN fails.
	if !(l.UnknownShare > 0 && l.UnknownShare <= 1) {
		problems = append(problems, fmt.Sprintf("the share of callers without a key is %v, must be above 0 and at most 1", l.UnknownShare))
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

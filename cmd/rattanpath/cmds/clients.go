package cmds

import (
	"time"

	"github.com/pkg/errors"

	"rattanpath/guard"
)

// clientFlags override the limits on clients that are derived from the settings file. A
// flag that is 0 keeps the derived limit.
type clientFlags struct {
	MaxCallers        int           `help:"Open connections of callers; 0 derives it from limits.memoryMb and limits.maxFds." env:"RATTANPATH_MAX_CALLERS"`
	MaxPeers          int           `help:"Open connections of other nodes; 0 derives it from limits.maxFds." env:"RATTANPATH_MAX_PEERS"`
	MaxHeldKB         int64         `help:"Kilobytes that callers may make the node hold; 0 derives it from limits.memoryMb." name:"max-held-kb" env:"RATTANPATH_MAX_HELD_KB"`
	MaxConnectionKB   int64         `help:"Kilobytes of them for one connection; 0 means 6,144." name:"max-connection-kb" env:"RATTANPATH_MAX_CONNECTION_KB"`
	UnknownShare      float64       `help:"Share of them for callers without a valid key; 0 means 0.5." env:"RATTANPATH_UNKNOWN_SHARE"`
	MaxHeaderFields   int           `help:"Fields of a request's header and names in its query; 0 means 256." env:"RATTANPATH_MAX_HEADER_FIELDS"`
	BodyTimeout       time.Duration `help:"Time for a body whose caller states no deadline; 0 means 60s." env:"RATTANPATH_BODY_TIMEOUT"`
	BodyProgress      int           `help:"Bytes of a body that must arrive in each period; 0 means 64." env:"RATTANPATH_BODY_PROGRESS"`
	BodyPeriod        time.Duration `help:"Length of that period; 0 means 15s." env:"RATTANPATH_BODY_PERIOD"`
	ResponseTimeout   time.Duration `help:"Time for which one write of a response waits for its reader; 0 means 15s." env:"RATTANPATH_RESPONSE_TIMEOUT"`
	MaxPeerMessageKB  int           `help:"Kilobytes of one message of another node; 0 means 1,024." name:"max-peer-message-kb" env:"RATTANPATH_MAX_PEER_MESSAGE_KB"`
	PeerMessageWithin time.Duration `help:"Time for the rest of a message of another node; 0 means 5s." env:"RATTANPATH_PEER_MESSAGE_WITHIN"`
}

// apply returns limits with the flags that are set, or an error if they are out of range.
func (f *clientFlags) apply(limits guard.Limits) (guard.Limits, error) {
	const kilobyte = 1 << 10
	override(&limits.CallerConnections, f.MaxCallers)
	override(&limits.PeerConnections, f.MaxPeers)
	override(&limits.CallerBytes, f.MaxHeldKB*kilobyte)
	override(&limits.ConnectionBytes, f.MaxConnectionKB*kilobyte)
	override(&limits.UnknownShare, f.UnknownShare)
	override(&limits.HeaderFields, f.MaxHeaderFields)
	override(&limits.BodyTimeout, f.BodyTimeout)
	override(&limits.ProgressBytes, f.BodyProgress)
	override(&limits.ProgressPeriod, f.BodyPeriod)
	override(&limits.WriteTimeout, f.ResponseTimeout)
	override(&limits.MessageBytes, f.MaxPeerMessageKB*kilobyte)
	override(&limits.MessageTimeout, f.PeerMessageWithin)
	return limits, errors.Wrap(limits.Check(), "limits on clients")
}

// override replaces a limit by a flag unless that is 0.
func override[T comparable](limit *T, flag T) {
	var zero T
	if flag != zero {
		*limit = flag
	}
}

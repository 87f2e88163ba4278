package remote

import "rattanpath/core"

// AppendReply is the response body of an append.
type AppendReply struct {
	Offset int64
}

// ReadReply is the response body of a read.
type ReadReply struct {
	Entries []core.Entry
}

// ExpiredReply is the response body of a read of expired records. First is the
// oldest offset that can be read.
type ExpiredReply struct {
	First int64
}

// HostsReply is the response body of a read of the host list.
type HostsReply struct {
	Hosts []core.Host
}

// Names of the query parameters of a read.
const (
	FromParam  = "From"
	LimitParam = "Limit"
	WaitParam  = "Wait"
)

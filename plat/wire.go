package plat

import "rattanpath/core"

// Appended answers an append.
type Appended struct {
	Offset int64
}

// Records answers a read.
type Records struct {
	Entries []core.Entry
}

// Expired answers a read of records that are kept no longer.
type Expired struct {
	First int64
}

// Hosts answers a read of the host list.
type Hosts struct {
	Hosts []core.Host
}

// Names of the parameters of a read.
const (
	FromParam  = "From"
	LimitParam = "Limit"
	WaitParam  = "Wait"
)

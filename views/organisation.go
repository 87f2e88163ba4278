package views

import "time"

// OrganisationsPath is the path of the organisations in the admin API of a management node.
const OrganisationsPath = "/organisations"

// Resources is an amount of CPU in thousandths of a core, memory and GPUs.
type Resources struct {
	CPU   int64
	MemMB int64
	GPU   int64
}

// CellOrganisations is the state of organisations in a cell, as its owner sees it.
type CellOrganisations struct {
	Service string
	// Problem is why the owner could not be asked; the other fields are then empty.
	Problem string `json:",omitempty"`
	Node    string
	Epoch   int64
	// Version is that of the configuration by which the owner acts.
	Version int64
	// Confirmed is as in Cell: the use is as old as that at most.
	Confirmed time.Duration
	// Leader is the epoch of the leader that made the allotment, 0 for none. It was received
	// AllottedAge ago and is valid for AllottedFor.
	Leader      int64
	AllottedAge time.Duration
	AllottedFor time.Duration
	// Pending means that the leader has not confirmed the version yet.
	Pending       bool
	Organisations []OrganisationUse
}

// OrganisationUse is the state of an organisation in a cell.
type OrganisationUse struct {
	Name   string
	Weight float64
	Cap    Resources
	// Base is what the cell always may have running, Allotted what it was lent in all, and
	// Allowed what it may have at present.
	Base     Resources
	Allotted Resources
	Allowed  Resources
	Used     Resources
	// Waiting is what ready tasks without a host need.
	Waiting Resources
	// Share is the dominant share of the pool that is in use, and Entitled the one up to which
	// the organisation came first EntitledAge ago, when organisations last competed. It is
	// negative if they never did.
	Share       float64
	Entitled    float64
	EntitledAge time.Duration
	// CapHeld and ShareHeld are for how long the cap and the share have kept tasks waiting
	// that a host has room for, 0 if they don't.
	CapHeld   time.Duration
	ShareHeld time.Duration
	// Refused is the number of jobs that the owner has refused, by reason.
	Refused map[string]int64 `json:",omitempty"`
}

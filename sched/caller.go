package sched

import "rattanpath/tasks"

// Caller is on whose behalf a cell is called. The zero value may access all jobs: it stands
// for operators, and for all callers where the configuration requires no keys.
type Caller struct {
	// Restricted means that the caller may access only the jobs of its organisation and
	// those that were accepted without one, some of which precede the first organisations.
	Restricted bool
	// Organisation is empty for a caller without a key.
	Organisation string
	// ConfigVersion is the version of the configuration on which the caller's node acted; 0
	// if it is unknown.
	ConfigVersion int64
}

// mayAccess reports whether the caller may submit, query and cancel a job that exists.
func (caller Caller) mayAccess(job *tasks.Job) bool {
	owner := job.Policy.Organisation
	return !caller.Restricted || owner == "" || owner == caller.Organisation
}

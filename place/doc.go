// Package place selects the host on which a task runs. It does no I/O and keeps no
// state.
package place

// Package quota decides how much an organisation may have running in each cell, so that
// cells which decide concurrently stay within its cap, and which organisations have more
// than their fair share of a pool. It does no I/O and keeps no state.
package quota

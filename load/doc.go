// Package load sends requests to entry nodes as callers do, checks that each
// answer is whole and belongs to its request, and keeps a ledger of what the
// callers were told. It is for trials and measurements.
package load

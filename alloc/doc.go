// Package alloc plans which machines move to another pool. It has no state and
// does no I/O.
package alloc

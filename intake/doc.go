// Package intake answers callers: it takes jobs in, shows how far they are,
// cancels them and counts them, whichever node has the cell of their service.
package intake

// Package cell decides for one service: it takes its jobs in, runs their tasks
// on the hosts of its pool, and keeps in the store all that another node needs
// to go on. One node at a time has the cell of a service; epochs fence the
// others off, at the store and at the hosts.
package cell

// Package permit keeps what an advisor has said of the hosts on which a step may
// run. It is pure.
package permit

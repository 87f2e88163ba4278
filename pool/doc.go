// Package pool watches the records that hosts write about themselves to the
// platform's store, and provides the set of known hosts.
package pool

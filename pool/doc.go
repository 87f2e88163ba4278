// Package pool watches the entries that hosts keep in the platform's store, and
// provides the hosts of each service's pool.
package pool

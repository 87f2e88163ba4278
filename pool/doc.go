// Package pool knows the hosts of each service's pool from the entries that
// they keep in the platform's store.
package pool

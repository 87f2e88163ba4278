// Package roster watches the platform's list of hosts and bridges the short
// gaps in which the list fails or misses a host.
package roster

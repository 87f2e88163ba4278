// Package route builds the routing table of an entry node from the active
// configuration and the host list. For each request it enforces slot limits and
// queues, balances load across hosts, and ejects hosts that keep failing.
package route

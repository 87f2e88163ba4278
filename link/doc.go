// Package link carries net/rpc calls between the system's own processes: a
// client that reconnects after failures and a server that bounds its
// connections.
package link

// Package link provides the net/rpc transport between nodes: a client that
// reconnects after failures and a server that limits its connections.
package link

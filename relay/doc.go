// Package relay calls upstream hosts through other nodes. While this node can't reach a host itself,
// another that does calls it, so that the host keeps its runs. While this node has more calls to make
// than it can make well, delegates make them: other nodes, each for a share of the hosts, in batches.
package relay

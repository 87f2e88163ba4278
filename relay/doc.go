// Package relay calls upstream hosts through other nodes while this node can't reach them
// itself: a host whose path to its owner is cut keeps its runs as long as any node reaches it.
package relay

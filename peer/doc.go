// Package peer implements the gossip between entry nodes: they exchange
// offsets, records, snapshots of the state, and load, so that a node that can't
// reach the log still receives the active configuration.
package peer

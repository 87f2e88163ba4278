// Package follow keeps a node's replica of the fleet's state up to date with the
// log. It tails the log and applies its records, restores and writes snapshots,
// and accepts records and states from peers while the log is unavailable.
// Snapshots are written before the records they cover expire from the log.
package follow

// Package follow keeps a node's copy of the fleet's state in step with the
// log: it reads and folds records, starts from snapshots and writes them ahead
// of the log's retention, and takes from peers what the log can't give.
package follow

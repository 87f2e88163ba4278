// Package replay is the replicated state machine of the fleet: it applies the
// records of the platform's log, in order, to the fleet's state. Applying is
// deterministic, so nodes that applied the same records have the same state.
// All rules are enforced here and not by the writer of a record.
package replay

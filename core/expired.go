package core

import "fmt"

// ExpiredError reports a read of records that the log has already removed.
type ExpiredError struct {
	// From is the requested offset, First the oldest one still in the log.
	From, First int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records at offset %d have expired: the log starts at offset %d", e.From, e.First)
}

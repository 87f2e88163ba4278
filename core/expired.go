package core

import "fmt"

// ExpiredError says that records were asked for that the log keeps no longer.
type ExpiredError struct {
	// From is the offset asked for and First the oldest one kept.
	From, First int64
}

// Error names both offsets.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records from offset %d have expired; the log now starts at %d", e.From, e.First)
}

// Package sink writes structured log lines without blocking the goroutines that
// log. It limits the rate of each message, and counts and reports dropped lines.
package sink

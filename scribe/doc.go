// Package scribe writes structured log lines without ever blocking who logs: each
// kind of line has a rate, and what can't be written is counted.
package scribe

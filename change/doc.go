// Package change publishes configurations: against the revision that a folder
// was read from, once, and with a truthful word on the outcome.
package change

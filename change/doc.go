// Package change publishes configurations through the log, with optimistic
// concurrency: a change states the revision it is based on and is rejected if
// another was published since. Retries are idempotent, and an outcome that
// could not be determined is reported as unknown.
package change

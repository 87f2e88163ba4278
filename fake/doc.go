// Package fake holds small stand-ins of the platform for trials: the log, the
// host list and workers, each able to fail in the ways that the platform
// fails. Nothing of it runs in service.
package fake

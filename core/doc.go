// Package core holds what the other packages share: request verdicts and errors,
// the plug-in registry, the settings of an entry node, the types of the platform's
// host list and log, and helpers for logging, clocks, goroutines and the admin
// server.
package core

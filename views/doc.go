// Package views holds the types that an entry node shows operators over its
// admin address, as JSON.
package views

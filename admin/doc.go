// Package admin answers operators over HTTP: health, status, outcomes of
// publishing, and metrics.
package admin

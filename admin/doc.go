// Package admin serves the operators' HTTP API of an entry node: health, status,
// outcomes of published configuration changes, and metrics.
package admin

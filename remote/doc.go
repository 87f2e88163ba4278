// Package remote is a client of the platform's append-only log and its host list.
package remote

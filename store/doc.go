// Package store holds the types and errors with which the system speaks of the
// platform's store: topics of records of which the newest of each key is kept.
package store

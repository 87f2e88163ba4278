// Package store defines the types and errors of the platform's store: topics of
// keyed records that are compacted to the newest record of each key, and groups
// that assign the partitions of a topic to their members.
package store

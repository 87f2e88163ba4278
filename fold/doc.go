// Package fold turns the records of the platform's log into the state of the
// fleet. Every reader folds the same records into the same state, and every
// rule is judged here rather than by the writer of a record.
package fold

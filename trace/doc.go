// Package trace assembles the story of one job from the logs of all nodes. It is
// pure.
package trace
